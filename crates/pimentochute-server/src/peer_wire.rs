//! Messages between entry hosts, in `MessagePack`.
//!
//! Fields are encoded with their names, and unknown fields are ignored, so a
//! newer host may add fields. A change that older hosts would misread needs a
//! new [`PEER_VERSION`].

use bytes::Bytes;
use derive_more::{Display, Error};
use pimentochute_route::{RouteError, RoutedAnswer};
use pimentochute_state::StampedRecord;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use strum::{Display as StrumDisplay, IntoStaticStr};

/// The version of the messages that this program encodes and accepts.
pub const PEER_VERSION: u16 = 1;

/// The media type of an encoded message.
pub(crate) const PEER_MEDIA_TYPE: &str = "application/msgpack";

/// The outer structure of every message.
#[derive(Serialize, Deserialize)]
struct PeerEnvelope<T> {
    version: u16,
    message: T,
}

/// The part of [`PeerEnvelope`] that all versions share.
#[derive(Deserialize)]
struct EnvelopeHead {
    version: u16,
}

/// Records that the receiving host is asked to append to the log.
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

/// The answer to a peer call that is refused.
#[derive(Debug, Clone, PartialEq, Eq, Display, Serialize, Deserialize)]
#[display("{code}: {detail}")]
pub struct PeerRefusal {
    /// The kind of refusal.
    pub code: PeerRefusalCode,
    /// What is wrong, for the log of the calling host.
    pub detail: String,
}

/// The kinds of [`PeerRefusal`].
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, StrumDisplay, IntoStaticStr, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum PeerRefusalCode {
    /// The peer key is missing or wrong.
    Unauthenticated,
    /// The message cannot be decoded.
    Malformed,
    /// A heartbeat bears the receiver's own name, or a host that the settings of
    /// the receiver do not list.
    UnknownHost,
    /// The records were not appended.
    NotAppended,
    /// The records may have been appended.
    OutcomeUnknown,
}

/// Encodes a message.
///
/// # Errors
/// Fails if the message cannot be encoded, which does not happen with the types
/// of this module.
pub fn encode_peer<T: Serialize>(message: &T) -> Result<Bytes, PeerCodecError> {
    let version = PEER_VERSION;
    let envelope = PeerEnvelope { version, message };
    let bytes = rmp_serde::to_vec_named(&envelope);
    let bytes = bytes.map_err(|source| PeerCodecError::Encode { source })?;
    Ok(Bytes::from(bytes))
}

/// Decodes a message.
///
/// # Errors
/// Fails on bytes that are not a valid message and on messages of another
/// version.
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

/// A message cannot be encoded or decoded.
#[derive(Debug, Display, Error)]
pub enum PeerCodecError {
    /// The message cannot be encoded.
    #[display("the message cannot be written: {source}")]
    Encode {
        /// What the encoder reported.
        source: rmp_serde::encode::Error,
    },
    /// The bytes are not a valid message of the expected type.
    #[display("the message cannot be read: {source}")]
    Malformed {
        /// What the decoder reported.
        source: rmp_serde::decode::Error,
    },
    /// The message has another version than [`PEER_VERSION`].
    #[display(
        "the message has version {found}, known is {PEER_VERSION}; hint: update the older host"
    )]
    Version {
        /// The version of the message.
        #[error(not(source))]
        found: u16,
    },
}
