//! The status of a node, from joining to removal.

use serde::{Deserialize, Serialize};
use wisteriaglade_types::Index;

/// The status of a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Status {
    /// The node has joined and has no target yet.
    Joined,
    /// The node has a target and may receive shards.
    Ready,
    /// The node receives no new shards and keeps its present ones until each
    /// has moved to another node.
    Draining,
    /// The node cannot renew its lease, permanently.
    Fenced {
        /// The index of the entry that fenced it.
        index: Index,
    },
}
