//! Types for addresses and secrets in the settings.

use std::fmt;
use std::io;
use std::net::SocketAddr;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// A host name or IP address with a port.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct HostPort(String);

impl HostPort {
    /// Creates the address from `HOST:PORT`.
    ///
    /// # Errors
    /// Fails if the host or the port is missing, the port is zero, or the text
    /// has other parts such as user information.
    pub fn new(text: &str) -> Result<Self, AddressError> {
        let malformed = || AddressError {
            text: text.to_owned(),
        };
        let authority: http::uri::Authority = text.parse().map_err(|_| malformed())?;
        let plain = !text.contains('@') && !authority.host().is_empty();
        match authority.port_u16() {
            Some(port) if plain && port > 0 => Ok(Self(text.to_owned())),
            _ => Err(malformed()),
        }
    }

    /// Returns the address as `HOST:PORT`.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Resolves the host name and returns its first address.
    ///
    /// # Errors
    /// Fails if the lookup fails or the name has no address.
    pub async fn resolve(&self) -> io::Result<SocketAddr> {
        let mut found = tokio::net::lookup_host(self.as_str()).await?;
        found
            .next()
            .ok_or_else(|| io::Error::new(io::ErrorKind::NotFound, "the name has no address"))
    }
}

impl TryFrom<String> for HostPort {
    type Error = AddressError;

    fn try_from(text: String) -> Result<Self, AddressError> {
        Self::new(&text)
    }
}

impl From<HostPort> for String {
    fn from(address: HostPort) -> Self {
        address.0
    }
}

/// The text is not an address.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("{text:?} is not an address, expected HOST:PORT")]
pub struct AddressError {
    /// The rejected text.
    text: String,
}

/// A secret. Its `Debug` output hides the text, and it cannot be serialized.
#[derive(Clone, PartialEq, Eq, Deserialize)]
#[serde(transparent)]
pub struct SecretText(String);

impl SecretText {
    /// Wraps the text of a secret.
    #[must_use]
    pub const fn new(text: String) -> Self {
        Self(text)
    }

    /// Returns the text of the secret.
    #[must_use]
    pub fn reveal(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for SecretText {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("SecretText(..)")
    }
}
