//! The identity of a replica.

use std::fmt;

use serde::{Deserialize, Serialize};

/// One replica of the log.
///
/// The id belongs to a data directory: a replica that lost its disk must come
/// back under a new id, because it may have forgotten votes it gave.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Replica(u64);

impl Replica {
    /// Wraps a raw number.
    #[must_use]
    pub const fn new(raw: u64) -> Self {
        Self(raw)
    }

    /// The raw number.
    #[must_use]
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl fmt::Display for Replica {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
