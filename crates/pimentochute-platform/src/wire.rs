//! The JSON texts of the HTTP interfaces outside, and their checks.
//!
//! Both the clients and the stand-ins use them. Decoders give a typed error
//! for any bytes that are not a text of the interface.

mod host_list;
mod log;
mod worker;

use derive_more::{Display, Error};
use pimentochute_base::LogOffset;
use serde::Serialize;
use serde::de::DeserializeOwned;

pub use host_list::decode_hosts;
pub use log::{
    AppendReply, AppendRequest, GoneReply, ReadReply, ReplyRecord, decode_append, decode_gone,
    decode_read,
};
pub use worker::{
    AcquireRequest, ForgetRequest, ReleaseRequest, RenewRequest, StartRequest, StopRequest,
    WorkerRefusal, decode_refusal,
};

/// The reason why bytes are not a text of an interface, or cannot become one.
#[derive(Debug, Display, Error)]
pub enum WireError {
    /// The bytes are not JSON, or not of the expected shape.
    #[display("malformed text: {source}")]
    Malformed {
        /// The place and the reason.
        source: serde_json::Error,
    },
    /// The payload is not UTF-8, so that a JSON text cannot carry it.
    #[display("the payload is not UTF-8 from byte {valid_up_to} on")]
    NotUtf8 {
        /// The length of the part that is UTF-8, in bytes.
        valid_up_to: usize,
    },
    /// The records do not follow each other from the offset asked for.
    #[display("a record has offset {found} in place of {expected}")]
    OffsetGap {
        /// The offset that follows from the request or the record before.
        expected: LogOffset,
        /// The offset found.
        found: LogOffset,
    },
    /// The bounds of the stream contradict the records.
    #[display("the stream from {first_retained} to {tail} does not hold the records")]
    StreamBounds {
        /// The stated first offset that is kept.
        first_retained: LogOffset,
        /// The stated offset of the next append.
        tail: LogOffset,
    },
}

/// Decodes a JSON text.
///
/// # Errors
/// [`WireError::Malformed`] if the bytes have another shape.
pub fn decode_json<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, WireError> {
    serde_json::from_slice(bytes).map_err(|source| WireError::Malformed { source })
}

/// Encodes a JSON text.
///
/// # Errors
/// [`WireError::Malformed`] if the value has no JSON form.
pub fn encode_json<T: Serialize>(value: &T) -> Result<bytes::Bytes, WireError> {
    let text = serde_json::to_vec(value).map_err(|source| WireError::Malformed { source })?;
    Ok(text.into())
}
