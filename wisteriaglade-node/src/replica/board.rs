//! What a replica shows to the other tasks of its process.

use std::{collections::BTreeMap, time::Duration};

use wisteriaglade_control::State;
use wisteriaglade_types::{Index, Node};

/// The replica's state, as of its last step.
#[derive(Debug)]
pub(crate) struct Board {
    pub(crate) state: State,
    pub(crate) applied: Index,
    pub(crate) commit: Index,
    pub(crate) term: u64,
    pub(crate) leader: Option<u64>,
    pub(crate) leading: bool,
    /// When the replica last knew of a leader with a quorum.
    pub(crate) contact: Option<Duration>,
    /// Nodes that entries in the log fence, committed or not.
    pub(crate) fences: BTreeMap<Index, Node>,
    /// The storage has failed and nothing more is accepted.
    pub(crate) failed: bool,
}

/// What a replica answers to a renewal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// The renewal counts.
    Renewed,
    /// The node is fenced for good.
    Fenced,
    /// No answer, because the replica cannot tell.
    Silent,
}

impl Board {
    /// Decides on a renewal.
    ///
    /// A fence counts from the moment it is in the log, before it is
    /// committed: every majority of later acknowledgements then includes a
    /// replica that refuses.
    pub(crate) fn renew(&self, now: Duration, node: Node, contact: Duration) -> Verdict {
        if self.state.node(node).is_none() {
            // A node id is the index of its entry, so a node that is unknown
            // although that index is applied has been removed.
            return if self.applied.get() >= node.get() {
                Verdict::Fenced
            } else {
                Verdict::Silent
            };
        }
        if self.state.is_fenced(node) {
            return Verdict::Fenced;
        }
        let heard = self.contact.is_some_and(|at| now < at + contact);
        if !heard || self.failed || self.fences.values().any(|&fenced| fenced == node) {
            return Verdict::Silent;
        }
        Verdict::Renewed
    }
}
