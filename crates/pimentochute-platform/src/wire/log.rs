//! The JSON messages of the log.

use std::borrow::Cow;

use bytes::Bytes;
use pimentochute_base::LogOffset;
use serde::{Deserialize, Serialize};

use super::{WireError, decode_json};
use crate::{LogRecord, ReadBatch};

/// The body of `POST /v1/streams/{stream}/records`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendRequest<'a> {
    /// The payload, as a string because payloads are UTF-8 JSON.
    pub payload: Cow<'a, str>,
}

/// The answer to an append.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendReply {
    /// The position of the record.
    pub offset: LogOffset,
}

/// The answer to `GET /v1/streams/{stream}/records`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadReply {
    /// The records in order of their offsets.
    pub records: Vec<ReplyRecord>,
    /// The first offset that is still kept.
    pub first_retained: LogOffset,
    /// The offset that the next append gets.
    pub tail: LogOffset,
}

/// A record of a [`ReadReply`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplyRecord {
    /// The position in the stream.
    pub offset: LogOffset,
    /// The payload.
    pub payload: String,
}

/// The answer with status 410: the requested offset is no longer kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct GoneReply {
    /// The first offset that is still kept.
    pub first_retained: LogOffset,
}

impl<'a> AppendRequest<'a> {
    /// Creates the request to append a payload.
    ///
    /// # Errors
    /// [`WireError::NotUtf8`] if the payload is not UTF-8.
    pub fn new(payload: &'a [u8]) -> Result<Self, WireError> {
        let text = std::str::from_utf8(payload).map_err(|error| WireError::NotUtf8 {
            valid_up_to: error.valid_up_to(),
        })?;
        Ok(Self {
            payload: Cow::Borrowed(text),
        })
    }
}

impl TryFrom<ReadBatch> for ReadReply {
    type Error = WireError;

    fn try_from(batch: ReadBatch) -> Result<Self, WireError> {
        let records = batch.records.iter().map(|record| {
            let request = AppendRequest::new(&record.payload)?;
            Ok(ReplyRecord {
                offset: record.offset,
                payload: request.payload.into_owned(),
            })
        });
        Ok(Self {
            records: records.collect::<Result<_, _>>()?,
            first_retained: batch.first_retained,
            tail: batch.tail,
        })
    }
}

/// Decodes the answer to an append.
///
/// # Errors
/// [`WireError::Malformed`] if the bytes are not such an answer.
pub fn decode_append(bytes: &[u8]) -> Result<AppendReply, WireError> {
    decode_json(bytes)
}

/// Decodes the answer with status 410 to a read.
///
/// # Errors
/// [`WireError::Malformed`] if the bytes are not such an answer.
pub fn decode_gone(bytes: &[u8]) -> Result<GoneReply, WireError> {
    decode_json(bytes)
}

/// Decodes the answer to a read from `from` on.
///
/// # Errors
/// Fails if the bytes are not such an answer, or if the offsets have a gap: a
/// reader that skips a record would diverge from the other readers of the stream.
pub fn decode_read(bytes: &[u8], from: LogOffset) -> Result<ReadBatch, WireError> {
    let reply: ReadReply = decode_json(bytes)?;
    let mut expected = from;
    for record in &reply.records {
        let found = record.offset;
        if found != expected {
            return Err(WireError::OffsetGap { expected, found });
        }
        expected = expected.next();
    }
    let holds = reply.first_retained <= from && reply.tail >= expected;
    if !(holds || reply.records.is_empty() && reply.first_retained <= reply.tail) {
        return Err(WireError::StreamBounds {
            first_retained: reply.first_retained,
            tail: reply.tail,
        });
    }
    Ok(into_batch(reply))
}

fn into_batch(reply: ReadReply) -> ReadBatch {
    let records = reply.records.into_iter().map(|record| LogRecord {
        offset: record.offset,
        payload: Bytes::from(record.payload),
    });
    ReadBatch {
        records: records.collect(),
        first_retained: reply.first_retained,
        tail: reply.tail,
    }
}
