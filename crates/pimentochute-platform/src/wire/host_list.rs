//! The JSON message of the host list.

use super::{WireError, decode_json};
use crate::HostEntry;

/// Decodes the answer to `GET /v1/hosts`.
///
/// A malformed entry makes the whole list invalid. If it were skipped, its host
/// would seem to have left.
///
/// # Errors
/// [`WireError::Malformed`] if the bytes are not a list of host entries.
pub fn decode_hosts(bytes: &[u8]) -> Result<Vec<HostEntry>, WireError> {
    decode_json(bytes)
}
