//! The reasons for which commands are refused.

use std::fmt;

use serde::{Deserialize, Serialize};

/// The reason for which a command was refused and had no effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[non_exhaustive]
pub enum Reason {
    /// The index of the entry is not above the last applied one.
    AlreadyApplied,
    /// The node does not exist, or has been removed.
    UnknownNode,
    /// No target has announced itself in the pool.
    UnknownPool,
    /// The pool has no shard with this number.
    UnknownShard,
    /// The node, or the owner of the shard, is fenced.
    Fenced,
    /// The node is not fenced, so it cannot be removed.
    NotFenced,
    /// The node is draining, so it cannot announce a target.
    Draining,
    /// The node has no target in this pool, or is draining or fenced.
    NotReady,
    /// The node still owns shards.
    HasShards,
    /// The node already has a target in another pool.
    OtherPool,
    /// The shard has an owner that is not fenced, the destination already owns
    /// it, or two shards to merge have different owners.
    Owned,
    /// The shard has no owner, or a fenced one, that could agree to the
    /// command.
    NoOwner,
    /// The node does not own the shard.
    NotOwner,
    /// The epoch in the command is not the current epoch of the shard.
    StaleEpoch,
    /// A transfer of the shard is pending.
    Moving,
    /// No transfer of the shard is pending.
    NotMoving,
    /// The holders are none, too many, repeated, unknown or fenced, or are not
    /// equal to the expected ones.
    InvalidHolders,
    /// The key already has a dedicated shard.
    Dedicated,
    /// The key has no dedicated shard.
    NotDedicated,
    /// The pool already has the maximum number of dedicated shards.
    TooManyDedicated,
    /// A field is out of range, or the settings differ from the ones in use.
    Invalid,
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::AlreadyApplied => "the entry has been applied already",
            Self::UnknownNode => "no such node",
            Self::UnknownPool => "no such pool",
            Self::UnknownShard => "no such shard",
            Self::Fenced => "the node is fenced",
            Self::NotFenced => "the node is not fenced",
            Self::Draining => "the node is draining",
            Self::NotReady => "the node is not ready in this pool",
            Self::HasShards => "the node has shards",
            Self::OtherPool => "the node has a target in another pool",
            Self::Owned => "the shard has an owner that is not fenced",
            Self::NoOwner => "the shard has no owner that could agree",
            Self::NotOwner => "the node does not own the shard",
            Self::StaleEpoch => "the shard was granted again",
            Self::Moving => "the shard is moving",
            Self::NotMoving => "the shard is not moving",
            Self::InvalidHolders => "the holders are not valid",
            Self::Dedicated => "the key has a dedicated shard",
            Self::NotDedicated => "the key has no dedicated shard",
            Self::TooManyDedicated => "the pool has no room for a dedicated shard",
            Self::Invalid => "a field has a value that is not allowed",
        })
    }
}
