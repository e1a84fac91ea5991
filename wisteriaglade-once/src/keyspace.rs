use serde::{Deserialize, Serialize};
use wisteriaglade_types::{Hash, Shard};

/// The set of key hashes that belong to a shard.
///
/// Records are selected by the hash of their key and not by the shard under which they
/// were written. A dedicated shard therefore finds the records of its key that its
/// parent shard wrote, and the parent finds those of the dedicated shard after the key
/// was merged back.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Keyspace {
    /// All keys whose hash modulo `shards` equals the number of the shard, except those
    /// with a dedicated shard.
    Partition {
        /// The number of shards of the pool, dedicated shards not counted.
        shards: u32,
        /// The hashes that currently have a dedicated shard.
        excluded: Vec<Hash>,
    },
    /// The one key hash of a dedicated shard.
    Dedicated(Hash),
}

impl Keyspace {
    /// Whether a key with this hash belongs to `shard`. The number of the shard is
    /// ignored for a dedicated shard.
    #[must_use]
    pub fn contains(&self, shard: Shard, hash: Hash) -> bool {
        match self {
            Self::Partition { shards, excluded } => {
                hash.shard((*shards).max(1)) == shard && !excluded.contains(&hash)
            }
            Self::Dedicated(dedicated) => *dedicated == hash,
        }
    }
}
