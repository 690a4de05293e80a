//! The decoding of record payloads.

use derive_more::{Display, Error};
use pimentochute_base::LogOffset;
use serde::de::DeserializeOwned;

/// The longest accepted payload, in bytes. A gang of 4,096 tasks needs about
/// 600 KB as one record.
pub const MAX_PAYLOAD_BYTES: usize = 1 << 20;

/// The reason why a payload was not applied.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum RecordError {
    /// The offset is not the next one; nothing changes, not even the offset.
    #[display(
        "offset {found} does not follow, {expected} is next; hint: read from {expected}, or load a newer snapshot"
    )]
    Offset {
        /// The offset that the replica applies next.
        expected: LogOffset,
        /// The offset that was given.
        found: LogOffset,
    },
    /// The payload is too long; the offset advances.
    #[display("a payload of {len} bytes is too long; hint: append at most {MAX_PAYLOAD_BYTES}")]
    TooLong {
        /// The length found, in bytes.
        len: usize,
    },
    /// The payload is not a record of the stream; the offset advances.
    #[display("the payload is not a record: {detail}; hint: check what else appends to the stream")]
    Malformed {
        /// What the decoder found.
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
