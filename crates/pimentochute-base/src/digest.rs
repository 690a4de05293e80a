//! Digests of secret keys.

use std::fmt::{self, Write as _};

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

const DIGEST_BYTES: usize = 32;

/// The SHA-256 digest of a secret key.
///
/// Secrets are long and random, so a digest without salt is sufficient. The secret
/// itself is neither stored nor logged.
#[derive(Clone, Copy, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct KeyDigest([u8; DIGEST_BYTES]);

impl KeyDigest {
    /// Computes the digest of a secret.
    #[must_use]
    pub fn of(secret: &str) -> Self {
        Self(Sha256::digest(secret.as_bytes()).into())
    }

    /// Compares with another digest in constant time.
    #[must_use]
    pub fn matches(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl PartialEq for KeyDigest {
    fn eq(&self, other: &Self) -> bool {
        self.matches(other)
    }
}

impl Eq for KeyDigest {}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}

impl From<KeyDigest> for String {
    fn from(digest: KeyDigest) -> Self {
        digest.0.iter().fold(Self::new(), |mut text, byte| {
            let _ = write!(text, "{byte:02x}");
            text
        })
    }
}

impl TryFrom<String> for KeyDigest {
    type Error = DigestError;

    fn try_from(text: String) -> Result<Self, DigestError> {
        if text.len() != 2 * DIGEST_BYTES || !text.is_ascii() {
            return Err(DigestError { len: text.len() });
        }
        let mut digest = [0; DIGEST_BYTES];
        for (index, byte) in digest.iter_mut().enumerate() {
            let digits = &text[2 * index..2 * index + 2];
            let parsed = u8::from_str_radix(digits, 16);
            *byte = parsed.map_err(|_| DigestError { len: text.len() })?;
        }
        Ok(Self(digest))
    }
}

/// A text is not 64 hexadecimal digits.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display(
    "a text of {len} bytes is not a key digest; hint: give the SHA-256 digest as 64 hexadecimal digits"
)]
pub struct DigestError {
    /// The length of the text, in bytes.
    len: usize,
}
