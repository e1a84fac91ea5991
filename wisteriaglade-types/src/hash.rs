//! The hash function that maps the key of a request to a shard.

use std::fmt;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::Shard;

/// The 64-bit XXH3 hash of a key.
///
/// All nodes have to map a key to the same shard, so the function and its seed
/// are part of the protocol and must not change between versions.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Hash(u64);

impl Hash {
    /// Returns the hash of a key.
    #[must_use]
    pub fn of(key: &str) -> Self {
        Self(xxh3_64(key.as_bytes()))
    }

    /// Wraps a hash that was computed with [`Hash::of`].
    #[must_use]
    pub const fn new(raw: u64) -> Self {
        Self(raw)
    }

    /// Returns the hash as a number.
    #[must_use]
    pub const fn get(self) -> u64 {
        self.0
    }

    /// Returns the shard of the key in a pool with `shards` shards.
    ///
    /// # Panics
    ///
    /// Panics when `shards` is zero.
    #[must_use]
    #[allow(
        clippy::cast_possible_truncation,
        reason = "the remainder is below a u32"
    )]
    pub const fn shard(self, shards: u32) -> Shard {
        Shard::new((self.0 % shards as u64) as u32)
    }
}

impl fmt::Display for Hash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
