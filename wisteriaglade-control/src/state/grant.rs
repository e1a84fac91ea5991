//! The ownership of a shard.

use wisteriaglade_types::{Epoch, Node, Shard};

/// The ownership of one shard at the last applied index.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Grant {
    /// The shard.
    pub shard: Shard,
    /// The owner. It may be fenced; see
    /// [`State::is_fenced`](crate::State::is_fenced).
    pub owner: Option<Node>,
    /// The index of the entry that granted the shard to the owner, or 0 when
    /// the shard has never had one.
    pub epoch: Epoch,
    /// The node that becomes the owner when the owner releases the shard.
    pub moving_to: Option<Node>,
}
