//! The JSON text of the host list.

use super::{WireError, decode_json};
use crate::HostEntry;

/// Decodes the answer to `GET /v1/hosts`.
///
/// One malformed entry makes the whole list unusable: a list that silently
/// lacks an entry would look like a host that is gone.
///
/// # Errors
/// [`WireError::Malformed`] if the bytes have another shape.
pub fn decode_hosts(bytes: &[u8]) -> Result<Vec<HostEntry>, WireError> {
    decode_json(bytes)
}
