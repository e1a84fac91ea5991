use std::sync::Arc;

use serde::{Deserialize, Serialize};
use wisteriaglade_types::Hash;

/// The last record of a page.
///
/// Records are ordered by the reversed bits of the hash. With a power of two as
/// the number of shards, the records of a shard then lie side by side.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Cursor {
    reversed: u64,
    id: Arc<str>,
}

impl Cursor {
    pub(super) fn new(hash: Hash, id: Arc<str>) -> Self {
        let reversed = hash.get().reverse_bits();
        Self { reversed, id }
    }

    /// The least position of all keys with this reversed hash.
    pub(super) fn first(reversed: u64) -> Self {
        let id = Arc::from("");
        Self { reversed, id }
    }

    pub(super) const fn reversed(&self) -> u64 {
        self.reversed
    }
}
