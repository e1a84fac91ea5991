//! The secret that the processes of one cluster share.

use std::fmt;

use crate::error::{Error, Kind, Result};

/// The cluster key, expanded to 32 bytes.
#[derive(Clone)]
pub struct Key([u8; 32]);

/// Separates the derived key from other uses of the same secret.
const CONTEXT: &str = "wisteriaglade 2026-12-04 cluster key v1";

impl Key {
    /// The shortest secret that is accepted, in bytes.
    pub const MINIMUM: usize = 16;

    /// Derives the key from a secret, for example the content of a key file.
    ///
    /// # Errors
    ///
    /// [`Kind::WeakKey`] when the secret is shorter than [`Key::MINIMUM`].
    pub fn new(secret: &str) -> Result<Self> {
        let secret = secret.trim();
        if secret.len() < Self::MINIMUM {
            return Err(Error::new(Kind::WeakKey(secret.len())));
        }
        Ok(Self(blake3::derive_key(CONTEXT, secret.as_bytes())))
    }

    /// A keyed BLAKE3 hash over the parts. Comparison of two is constant time.
    pub(crate) fn tag(&self, parts: &[&[u8]]) -> blake3::Hash {
        let mut hasher = blake3::Hasher::new_keyed(&self.0);
        for part in parts {
            hasher.update(part);
        }
        hasher.finalize()
    }
}

impl fmt::Debug for Key {
    /// Hides the key, so that it cannot reach a log.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Key(..)")
    }
}
