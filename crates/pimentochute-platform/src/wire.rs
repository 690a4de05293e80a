//! The JSON messages of the external HTTP interfaces, with validation.
//!
//! The clients and the stand-ins share them. Decoders return an error, and never
//! panic, for bytes that are not a message of the interface.

mod host_list;
mod log;
mod worker;

use derive_more::{Display, Error};
use pimentochute_base::LogOffset;
use serde::Serialize;
use serde::de::DeserializeOwned;

pub use host_list::{HostListing, HostMemory, UnreadableEntry, decode_hosts};
pub use log::{
    AppendReply, AppendRequest, GoneReply, ReadReply, ReplyRecord, decode_append, decode_gone,
    decode_read,
};
pub use worker::{
    AcquireRequest, ForgetRequest, ReleaseRequest, RenewRequest, StartRequest, StopRequest,
    WorkerRefusal, decode_refusal,
};

/// Why a message cannot be decoded or encoded.
#[derive(Debug, Display, Error)]
pub enum WireError {
    /// The bytes are not JSON or do not have the expected fields.
    #[display("malformed text: {source}")]
    Malformed {
        /// The position and the reason.
        source: serde_json::Error,
    },
    /// The payload is not UTF-8, so it cannot be sent in a JSON string.
    #[display("the payload is not UTF-8 from byte {valid_up_to} on")]
    NotUtf8 {
        /// The number of leading bytes that are valid UTF-8.
        valid_up_to: usize,
    },
    /// The offsets of the records are not consecutive from the requested one on.
    #[display("a record has offset {found} in place of {expected}")]
    OffsetGap {
        /// The requested offset, or the one after the previous record.
        expected: LogOffset,
        /// The offset in the answer.
        found: LogOffset,
    },
    /// The records are outside the stated bounds of the stream.
    #[display("the stream from {first_retained} to {tail} does not hold the records")]
    StreamBounds {
        /// The first offset that is still kept, according to the answer.
        first_retained: LogOffset,
        /// The offset of the next append, according to the answer.
        tail: LogOffset,
    },
}

/// Decodes a JSON message.
///
/// # Errors
/// [`WireError::Malformed`] if the bytes are not JSON or have other fields.
pub fn decode_json<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, WireError> {
    serde_json::from_slice(bytes).map_err(|source| WireError::Malformed { source })
}

/// Encodes a JSON message.
///
/// # Errors
/// [`WireError::Malformed`] if the value cannot be represented in JSON.
pub fn encode_json<T: Serialize>(value: &T) -> Result<bytes::Bytes, WireError> {
    let text = serde_json::to_vec(value).map_err(|source| WireError::Malformed { source })?;
    Ok(text.into())
}
