use wisteriaglade_types::{Name, Shard};

/// A shard of a pool.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Place {
    pub(super) pool: Name,
    pub(super) shard: Shard,
}
