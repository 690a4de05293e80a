//! Decoding of record payloads.

use derive_more::{Display, Error};
use pimentochute_base::LogOffset;
use serde::de::DeserializeOwned;

/// Maximum length of a payload, in bytes. The placement of a gang of 4,096 tasks
/// takes about 600 KB.
pub const MAX_PAYLOAD_BYTES: usize = 1 << 20;

/// Why a payload was not applied.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum RecordError {
    /// The offset is not the next one. Nothing changes, not even the offset.
    #[display(
        "offset {found} is out of order, expected {expected}; hint: read from {expected}, or load a newer snapshot"
    )]
    Offset {
        /// The offset of the next record to apply.
        expected: LogOffset,
        /// The offset that was given.
        found: LogOffset,
    },
    /// The payload is too long. Only the offset advances.
    #[display("a payload of {len} bytes is too long; hint: append at most {MAX_PAYLOAD_BYTES}")]
    TooLong {
        /// The length found, in bytes.
        len: usize,
    },
    /// The payload is not a record of the stream. Only the offset advances.
    #[display("the payload is not a record: {detail}; hint: check for other writers to the stream")]
    Malformed {
        /// The message of the decoder.
        detail: String,
    },
}

/// Checks the offset, advances it and decodes the payload.
pub(crate) fn next_record<T: DeserializeOwned>(
    next: &mut LogOffset,
    offset: LogOffset,
    payload: &[u8],
) -> Result<T, RecordError> {
    if offset != *next {
        return Err(RecordError::Offset {
            expected: *next,
            found: offset,
        });
    }
    *next = next.next();
    if payload.len() > MAX_PAYLOAD_BYTES {
        return Err(RecordError::TooLong { len: payload.len() });
    }
    serde_json::from_slice(payload).map_err(|error| RecordError::Malformed {
        detail: error.to_string(),
    })
}
