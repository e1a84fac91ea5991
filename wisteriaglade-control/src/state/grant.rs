//! The owner of a shard, with the epoch of its ownership.

use wisteriaglade_types::{Epoch, Node, Shard};

/// The owner and the epoch of one shard at the last applied index.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Grant {
    /// The shard.
    pub shard: Shard,
    /// The owner, or `None` when there is none. It may be fenced; see
    /// [`State::is_fenced`](crate::State::is_fenced).
    pub owner: Option<Node>,
    /// The index of the log entry that granted the shard to the owner, or 0
    /// when the shard has never had an owner. Targets receive it as the fencing
    /// token.
    pub epoch: Epoch,
    /// The destination of a pending transfer: the node that becomes the owner
    /// when the present owner releases the shard.
    pub moving_to: Option<Node>,
}
