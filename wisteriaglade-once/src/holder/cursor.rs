use std::sync::Arc;

use serde::{Deserialize, Serialize};
use wisteriaglade_types::Hash;

/// The position of a record in the order in which pages are read.
///
/// Records are ordered by the reversed bits of their key hash, then by idempotency key.
/// If the number of shards is a power of two, the records of a shard are contiguous in
/// this order.
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

    /// The least position among all keys with this reversed hash.
    pub(super) fn first(reversed: u64) -> Self {
        let id = Arc::from("");
        Self { reversed, id }
    }

    pub(super) const fn reversed(&self) -> u64 {
        self.reversed
    }
}
