use std::fmt;

use serde::{Deserialize, Serialize};

/// A hash of the method and path of a request.
///
/// The caller of this package computes it. A resend whose fingerprint differs from the
/// recorded one is refused, because it reuses the idempotency key for another request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Fingerprint(u64);

impl Fingerprint {
    /// Wraps a hash that was computed elsewhere.
    #[must_use]
    pub const fn new(raw: u64) -> Self {
        Self(raw)
    }

    /// Returns the raw hash.
    #[must_use]
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
