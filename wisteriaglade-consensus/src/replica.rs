//! The ids of replicas.

use std::fmt;

use serde::{Deserialize, Serialize};

/// The id of one replica.
///
/// An id belongs to one data directory. A replica that lost its disk must
/// rejoin under a new id: without the record of its vote it could vote twice in
/// a term.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Replica(u64);

impl Replica {
    /// Creates an id from its number.
    #[must_use]
    pub const fn new(raw: u64) -> Self {
        Self(raw)
    }

    /// Returns the number.
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
