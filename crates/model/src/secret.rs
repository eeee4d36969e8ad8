//! Text that must not be written out.

use std::fmt;

use serde::{Deserialize, Serialize, Serializer};

/// What stands in for a secret wherever it would be written out.
const REDACTED: &str = "[redacted]";

/// A caller's key. Its text appears in no dump, log line or panic message.
#[derive(Clone, PartialEq, Eq)]
#[derive(Deserialize)]
#[serde(transparent)]
pub struct Secret(String);

impl Secret {
    /// Wraps a text as a secret.
    pub fn new(text: String) -> Secret {
        Secret(text)
    }

    /// Returns the text, to hash it or to send it where it belongs.
    pub fn reveal(&self) -> &str {
        &self.0
    }
}

/// What a caller sends to authenticate itself.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Credential {
    /// The credential as sent, for targets of a configuration that names no organisations.
    pub text: Secret,
    /// The key that it holds; `None` if its form is not a known one.
    pub key: Option<Secret>,
}

impl fmt::Debug for Secret {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(REDACTED)
    }
}

impl Serialize for Secret {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(REDACTED)
    }
}
