use wisteriaglade_types::{Name, Shard};

/// Identifies a shard by its pool and its number within the pool.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ShardId {
    pub(super) pool: Name,
    pub(super) shard: Shard,
}
