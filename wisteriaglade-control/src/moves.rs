//! One move of an `Assign` command.

use serde::{Deserialize, Serialize};
use wisteriaglade_types::{Epoch, Node, Shard};

/// The new owner of one shard.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Move {
    /// The shard.
    pub shard: Shard,
    /// The epoch that the proposer saw. The move is refused when the shard has
    /// been granted since.
    pub epoch: Epoch,
    /// The new owner.
    pub to: Node,
    /// The first holders of the records of the shard. They are used when the
    /// shard has had no holders and ignored otherwise, because the records are
    /// with the present ones.
    pub holders: Vec<Node>,
}
