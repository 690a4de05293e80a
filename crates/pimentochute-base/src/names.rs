//! Names that are validated when they are created or deserialised.

use std::borrow::Borrow;
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// The longest accepted name, in bytes.
const MAX_NAME_BYTES: usize = 63;

/// Why a text is not a valid name.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum NameError {
    /// The text is empty or too long.
    #[display("{kind} has {len} bytes; hint: use 1 to {MAX_NAME_BYTES}")]
    Length {
        /// The kind of name, such as "team name".
        kind: &'static str,
        /// The length of the text, in bytes.
        len: usize,
    },
    /// The text contains a character that is not allowed.
    #[display("{kind} {text:?} holds {found:?}; hint: use a-z, A-Z, 0-9, '-', '_' and '.'")]
    Character {
        /// The kind of name, such as "team name".
        kind: &'static str,
        /// The rejected text.
        text: String,
        /// The first character that is not allowed.
        found: char,
    },
}

macro_rules! name_type {
    ($(#[$meta:meta])* $name:ident, $kind:literal) => {
        $(#[$meta])*
        ///
        /// Has 1 to 63 ASCII letters, digits, `-`, `_` and `.`.
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Creates the name from a text.
            ///
            /// # Errors
            /// Fails if the length or a character is not allowed.
            pub fn new(text: &str) -> Result<Self, NameError> {
                check_name($kind, text)?;
                Ok(Self(Arc::from(text)))
            }

            /// Returns the name as a string slice.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl TryFrom<String> for $name {
            type Error = NameError;

            fn try_from(text: String) -> Result<Self, NameError> {
                Self::new(&text)
            }
        }

        impl FromStr for $name {
            type Err = NameError;

            fn from_str(text: &str) -> Result<Self, NameError> {
                Self::new(text)
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> Self {
                name.0.as_ref().to_owned()
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

name_type!(
    /// The name of a team.
    TeamName,
    "team name"
);
name_type!(
    /// The name of a queue.
    QueueName,
    "queue name"
);
name_type!(
    /// The name of a data centre.
    DataCentreName,
    "data centre name"
);
name_type!(
    /// The name of an entry host.
    HostName,
    "host name"
);
name_type!(
    /// The name of a worker.
    WorkerName,
    "worker name"
);
name_type!(
    /// The name of a rack.
    RackName,
    "rack name"
);
name_type!(
    /// The name of an endpoint.
    EndpointName,
    "endpoint name"
);
name_type!(
    /// The name of a service that endpoints offer.
    ServiceName,
    "service name"
);
name_type!(
    /// The name of a stream of the log.
    StreamName,
    "stream name"
);
name_type!(
    /// The public identifier of a secret key.
    KeyId,
    "key id"
);
name_type!(
    /// The identifier of a patch, chosen by its author.
    PatchId,
    "patch id"
);
name_type!(
    /// A key that the caller chooses for a submission. A repetition with the same
    /// key does not create another job.
    IdempotencyKey,
    "idempotency key"
);

fn check_name(kind: &'static str, text: &str) -> Result<(), NameError> {
    if text.is_empty() || text.len() > MAX_NAME_BYTES {
        return Err(NameError::Length {
            kind,
            len: text.len(),
        });
    }
    match text.chars().find(|c| !is_name_char(*c)) {
        Some(found) => Err(NameError::Character {
            kind,
            text: text.to_owned(),
            found,
        }),
        None => Ok(()),
    }
}

fn is_name_char(c: char) -> bool {
    c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.')
}
