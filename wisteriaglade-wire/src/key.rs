//! The key that the processes of one cluster share and authenticate each other
//! with.

use std::fmt;

use crate::error::{Error, Kind, Result};

/// The cluster key: 32 bytes derived from a shared secret.
#[derive(Clone)]
pub struct Key([u8; 32]);

/// The BLAKE3 key derivation context, which makes the key differ from keys derived
/// from the same secret for other uses.
const CONTEXT: &str = "wisteriaglade 2026-12-04 cluster key v1";

impl Key {
    /// The shortest secret that is accepted, in bytes, without surrounding
    /// whitespace.
    pub const MIN_SECRET_BYTES: usize = 16;

    /// Derives the key from a secret, for example the content of a key file.
    /// Surrounding whitespace is ignored.
    ///
    /// # Errors
    ///
    /// [`Kind::WeakKey`] when the secret is shorter than [`Key::MIN_SECRET_BYTES`].
    pub fn new(secret: &str) -> Result<Self> {
        let secret = secret.trim();
        if secret.len() < Self::MIN_SECRET_BYTES {
            return Err(Error::new(Kind::WeakKey(secret.len())));
        }
        Ok(Self(blake3::derive_key(CONTEXT, secret.as_bytes())))
    }

    /// The keyed BLAKE3 hash of the concatenated parts. Comparing two hashes takes
    /// constant time.
    pub(crate) fn tag(&self, parts: &[&[u8]]) -> blake3::Hash {
        let mut hasher = blake3::Hasher::new_keyed(&self.0);
        for part in parts {
            hasher.update(part);
        }
        hasher.finalize()
    }
}

impl fmt::Debug for Key {
    /// Omits the key, so that it is never written to a log.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Key(..)")
    }
}
