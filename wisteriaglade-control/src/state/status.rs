//! The phases of the life of a node.

use serde::{Deserialize, Serialize};
use wisteriaglade_types::Index;

/// The phases of the life of a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Status {
    /// The node has no target yet.
    Joined,
    /// The node has a target and may receive shards.
    Ready,
    /// The node keeps its shards until they have moved and gets no new ones.
    Draining,
    /// The node cannot renew its lease.
    Fenced {
        /// The index of the entry that fenced it.
        index: Index,
    },
}
