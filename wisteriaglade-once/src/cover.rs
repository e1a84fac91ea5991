use serde::{Deserialize, Serialize};
use wisteriaglade_types::{Hash, Shard};

/// The keys of a shard.
///
/// Records are selected by the hash of their key, not by the shard under which
/// they were written, so a dedicated shard finds the records of its key that
/// were written under the parent shard, and the parent finds them again after
/// the key was merged back.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Cover {
    /// The keys whose hash modulo `shards` is the number of the shard.
    Part {
        /// The number of shards of the pool.
        shards: u32,
        /// The hashes of these keys that have a dedicated shard at present.
        except: Vec<Hash>,
    },
    /// The one key with a dedicated shard.
    Single(Hash),
}

impl Cover {
    /// Whether a key with this hash belongs to `shard`.
    #[must_use]
    pub fn contains(&self, shard: Shard, hash: Hash) -> bool {
        match self {
            Self::Part { shards, except } => {
                hash.shard((*shards).max(1)) == shard && !except.contains(&hash)
            }
            Self::Single(single) => *single == hash,
        }
    }
}
