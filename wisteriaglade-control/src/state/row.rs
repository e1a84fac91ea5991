//! The rows of a shard table.

use serde::{Deserialize, Serialize};
use wisteriaglade_types::{Epoch, Node, Shard};

use super::Grant;

/// A row of the shard table of a pool. Node 0, which the log never assigns,
/// stands for no node; this keeps a row at 48 bytes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Row {
    pub(crate) owner: Node,
    pub(crate) epoch: Epoch,
    /// The destination of a pending transfer.
    pub(crate) moving_to: Node,
    pub(crate) holders: [Node; Self::MAX_HOLDERS],
}

impl Row {
    pub(crate) const MAX_HOLDERS: usize = 3;

    /// The node id that stands for no node.
    pub(crate) const NONE: Node = Node::new(0);

    pub(crate) fn grant(&self, shard: Shard) -> Grant {
        Grant {
            shard,
            owner: non_zero(self.owner),
            epoch: self.epoch,
            moving_to: non_zero(self.moving_to),
        }
    }

    pub(crate) fn holders(&self) -> &[Node] {
        let count = self.holders.iter().take_while(|node| **node != Self::NONE);
        &self.holders[..count.count()]
    }

    /// Sets the holders. The caller must have checked that there are at most
    /// [`Row::MAX_HOLDERS`].
    pub(crate) fn set_holders(&mut self, holders: &[Node]) {
        self.holders = [Self::NONE; Self::MAX_HOLDERS];
        for (slot, node) in self.holders.iter_mut().zip(holders) {
            *slot = *node;
        }
    }
}

fn non_zero(node: Node) -> Option<Node> {
    (node != Row::NONE).then_some(node)
}
