//! Digests of workspace credentials.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::fmt;
use std::hash::{Hash, Hasher};
use std::str::FromStr;
use thiserror::Error;

const PREFIX: &str = "sha256:";

/// SHA-256 of the salt of the document followed by the credential.
///
/// The text form is `sha256:` followed by 64 hex digits. Credentials must be long random strings,
/// because a digest does not protect a guessable one. Digests are compared in constant time.
#[derive(Clone, Copy)]
#[derive(Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct CredentialDigest([u8; 32]);

impl CredentialDigest {
    /// Computes the digest of a credential.
    ///
    /// ```
    /// use burdockcleat_core::document::CredentialDigest;
    /// // printf '%s' saltsecret | sha256sum
    /// let digest = CredentialDigest::compute("salt", "secret");
    /// assert!(digest.to_string().starts_with("sha256:bede9038"));
    /// ```
    pub fn compute(salt: &str, credential: &str) -> Self {
        let mut hasher = Sha256::new();
        hasher.update(salt.as_bytes());
        hasher.update(credential.as_bytes());
        Self(hasher.finalize().into())
    }
}

impl PartialEq for CredentialDigest {
    fn eq(&self, other: &Self) -> bool {
        self.0.iter().zip(&other.0).fold(0, |differing, (a, b)| differing | (a ^ b)) == 0
    }
}

impl Eq for CredentialDigest {}

impl Hash for CredentialDigest {
    fn hash<H: Hasher>(&self, state: &mut H) {
        state.write(&self.0);
    }
}

impl fmt::Display for CredentialDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(PREFIX)?;
        self.0.iter().try_for_each(|byte| write!(formatter, "{byte:02x}"))
    }
}

impl fmt::Debug for CredentialDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "CredentialDigest({self})")
    }
}

/// Error returned when a text is not a credential digest.
///
/// It does not contain the text, which may be a plaintext credential.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Error)]
#[error("not a digest; write `sha256:` and 64 hex digits, never the credential itself")]
pub struct DigestError;

impl FromStr for CredentialDigest {
    type Err = DigestError;

    fn from_str(text: &str) -> Result<Self, DigestError> {
        let digits = text.strip_prefix(PREFIX).ok_or(DigestError)?.as_bytes();
        let mut bytes = [0; 32];
        if digits.len() != 2 * bytes.len() {
            return Err(DigestError);
        }
        for (byte, pair) in bytes.iter_mut().zip(digits.chunks_exact(2)) {
            *byte = hex_value(pair[0])? << 4 | hex_value(pair[1])?;
        }
        Ok(Self(bytes))
    }
}

fn hex_value(digit: u8) -> Result<u8, DigestError> {
    match digit {
        b'0'..=b'9' => Ok(digit - b'0'),
        b'a'..=b'f' => Ok(digit - b'a' + 10),
        b'A'..=b'F' => Ok(digit - b'A' + 10),
        _ => Err(DigestError),
    }
}

impl TryFrom<String> for CredentialDigest {
    type Error = DigestError;

    fn try_from(text: String) -> Result<Self, DigestError> {
        text.parse()
    }
}

impl From<CredentialDigest> for String {
    fn from(digest: CredentialDigest) -> Self {
        digest.to_string()
    }
}
