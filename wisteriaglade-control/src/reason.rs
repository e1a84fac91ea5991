//! Why a command had no effect.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Why a command had no effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[non_exhaustive]
pub enum Reason {
    /// The index is not above the last applied one.
    Applied,
    /// No such node.
    Node,
    /// No such pool.
    Pool,
    /// No such shard.
    Shard,
    /// The node is fenced.
    Fenced,
    /// The node is not fenced.
    NotFenced,
    /// The node is draining.
    Draining,
    /// The node has no target in this pool, or may not receive shards.
    NotReady,
    /// The node has shards.
    HasShards,
    /// The node already has a target in another pool.
    OtherPool,
    /// The shard has an owner that is not fenced.
    Owned,
    /// The shard has no owner that could agree.
    NoOwner,
    /// The node does not own the shard.
    NotOwner,
    /// The shard was granted again since the proposal.
    Epoch,
    /// The shard is moving.
    Moving,
    /// The shard is not moving.
    NotMoving,
    /// The holders are too many, repeated, none, unknown, fenced, or differ
    /// where they must be equal.
    Holders,
    /// The key already has a dedicated shard.
    Dedicated,
    /// The key has no dedicated shard.
    NotDedicated,
    /// The pool has as many dedicated shards as it may have.
    Full,
    /// A field has a value that is not allowed.
    Invalid,
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Applied => "the entry has been applied already",
            Self::Node => "no such node",
            Self::Pool => "no such pool",
            Self::Shard => "no such shard",
            Self::Fenced => "the node is fenced",
            Self::NotFenced => "the node is not fenced",
            Self::Draining => "the node is draining",
            Self::NotReady => "the node is not ready in this pool",
            Self::HasShards => "the node has shards",
            Self::OtherPool => "the node has a target in another pool",
            Self::Owned => "the shard has an owner that is not fenced",
            Self::NoOwner => "the shard has no owner that could agree",
            Self::NotOwner => "the node does not own the shard",
            Self::Epoch => "the shard was granted again",
            Self::Moving => "the shard is moving",
            Self::NotMoving => "the shard is not moving",
            Self::Holders => "the holders are not valid",
            Self::Dedicated => "the key has a dedicated shard",
            Self::NotDedicated => "the key has no dedicated shard",
            Self::Full => "the pool has no room for a dedicated shard",
            Self::Invalid => "a field has a value that is not allowed",
        })
    }
}
