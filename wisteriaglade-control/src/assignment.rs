//! The new owner of one shard, as part of
//! [`Command::Assign`](crate::Command::Assign).

use serde::{Deserialize, Serialize};
use wisteriaglade_types::{Epoch, Node, Shard};

/// The new owner of one shard in a [`Command::Assign`](crate::Command::Assign).
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Assignment {
    /// The shard to assign.
    pub shard: Shard,
    /// The epoch of the shard that the proposer saw. The assignment is refused
    /// when the shard has been granted since.
    pub epoch: Epoch,
    /// The new owner, a ready node of the pool.
    pub to: Node,
    /// The initial holders of the records of the shard, used only when the
    /// shard has no holders yet. Otherwise they are ignored, because the
    /// records are at the present holders.
    pub holders: Vec<Node>,
}
