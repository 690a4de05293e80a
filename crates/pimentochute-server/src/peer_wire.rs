//! Messages between entry hosts, in `MessagePack`.
//!
//! Fields are written with their names, so that a host ignores fields that
//! only newer hosts know. A change that older hosts would misread needs a new
//! version.

use bytes::Bytes;
use derive_more::{Display, Error};
use pimentochute_route::{RouteError, RoutedAnswer};
use pimentochute_state::StampedRecord;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use strum::{Display as StrumDisplay, IntoStaticStr};

/// The version of the messages that this program writes and reads.
pub const PEER_VERSION: u16 = 1;

/// The media type of a message.
pub(crate) const PEER_MEDIA_TYPE: &str = "application/msgpack";

/// A message with its version.
#[derive(Serialize, Deserialize)]
struct PeerEnvelope<T> {
    version: u16,
    message: T,
}

/// The part of every message that all versions share.
#[derive(Deserialize)]
struct EnvelopeHead {
    version: u16,
}

/// Records that another host appends.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendMessage {
    /// The records, in order.
    pub records: Vec<StampedRecord>,
}

/// A message without content.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EmptyMessage {}

/// The result of a forwarded request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ForwardResult {
    /// The endpoint's answer.
    Answered(RoutedAnswer),
    /// The router's error.
    Failed(RouteError),
}

/// The refusal of a peer's call.
#[derive(Debug, Clone, PartialEq, Eq, Display, Serialize, Deserialize)]
#[display("{code}: {detail}")]
pub struct PeerRefusal {
    /// The kind.
    pub code: PeerRefusalCode,
    /// What is wrong.
    pub detail: String,
}

/// The kind of a refusal of a peer's call.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, StrumDisplay, IntoStaticStr, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum PeerRefusalCode {
    /// The peer key is missing or wrong.
    Unauthenticated,
    /// The message cannot be read.
    Malformed,
    /// The settings of the two hosts differ.
    UnknownHost,
    /// The records were surely not appended.
    NotAppended,
    /// The records may have been appended.
    OutcomeUnknown,
}

/// Writes a message.
///
/// # Errors
/// Fails if the message cannot be written, which none of the types here does.
pub fn encode_peer<T: Serialize>(message: &T) -> Result<Bytes, PeerCodecError> {
    let version = PEER_VERSION;
    let envelope = PeerEnvelope { version, message };
    let bytes = rmp_serde::to_vec_named(&envelope);
    let bytes = bytes.map_err(|source| PeerCodecError::Encode { source })?;
    Ok(Bytes::from(bytes))
}

/// Reads a message.
///
/// # Errors
/// Fails on bytes that are not a message and on messages of other versions.
pub fn decode_peer<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, PeerCodecError> {
    let wrap = |source| PeerCodecError::Malformed { source };
    let head: EnvelopeHead = rmp_serde::from_slice(bytes).map_err(wrap)?;
    if head.version != PEER_VERSION {
        return Err(PeerCodecError::Version {
            found: head.version,
        });
    }
    let envelope: PeerEnvelope<T> = rmp_serde::from_slice(bytes).map_err(wrap)?;
    Ok(envelope.message)
}

/// A message cannot be written or read.
#[derive(Debug, Display, Error)]
pub enum PeerCodecError {
    /// The message cannot be written.
    #[display("the message cannot be written: {source}")]
    Encode {
        /// What the encoder reported.
        source: rmp_serde::encode::Error,
    },
    /// The bytes are not a message of the expected kind.
    #[display("the message cannot be read: {source}")]
    Malformed {
        /// What the decoder reported.
        source: rmp_serde::decode::Error,
    },
    /// The message has a version that this program does not know.
    #[display(
        "the message has version {found}, known is {PEER_VERSION}; hint: update the older host"
    )]
    Version {
        /// The version found.
        #[error(not(source))]
        found: u16,
    },
}
