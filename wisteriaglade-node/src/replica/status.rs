//! The state that a replica publishes to the other tasks of its process.

use std::{collections::BTreeMap, time::Duration};

use wisteriaglade_control::State;
use wisteriaglade_types::{Index, Node};

/// A replica's state after its latest step. Written by the replica's thread
/// and read by tasks under a lock.
#[derive(Debug)]
pub(crate) struct Status {
    /// The control state up to `applied`.
    pub(crate) state: State,
    /// The index of the last applied entry.
    pub(crate) applied: Index,
    /// The commit index that renewals are answered with.
    pub(crate) commit: Index,
    pub(crate) term: u64,
    /// The leader of the term, when it is known.
    pub(crate) leader: Option<u64>,
    /// Whether this replica leads and has applied the first entry of its term.
    pub(crate) leading: bool,
    /// When the replica last knew of a leader that had contact to a quorum, on
    /// the process clock. `None` until it first did.
    pub(crate) leader_contact: Option<Duration>,
    /// The nodes that unapplied log entries fence, committed or not, by the
    /// index of the entry.
    pub(crate) fences: BTreeMap<Index, Node>,
    /// Whether writing to storage has failed. The replica then accepts nothing
    /// more.
    pub(crate) storage_failed: bool,
}

/// How a replica answers a lease renewal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Renewal {
    /// Acknowledge it, so that it counts towards a majority.
    Acknowledged,
    /// Reply that the node is fenced.
    Fenced,
    /// Do not reply, because the replica cannot tell whether the node is
    /// fenced.
    Ignored,
}

impl Status {
    /// Decides how to answer a renewal of `node` at the time `now`. `contact`
    /// is the longest time without a leader in which renewals are
    /// acknowledged.
    ///
    /// A fence takes effect once it is in the log, before it is committed. If
    /// it is committed, a majority has it in the log, so every later majority
    /// of acknowledgements would need a replica that refuses.
    pub(crate) fn check_renewal(&self, now: Duration, node: Node, contact: Duration) -> Renewal {
        if self.state.node(node).is_none() {
            // The id of a node is the index of the entry that added it, so a
            // node that is missing although that index is applied was removed.
            return if self.applied.get() >= node.get() {
                Renewal::Fenced
            } else {
                Renewal::Ignored
            };
        }
        if self.state.is_fenced(node) {
            return Renewal::Fenced;
        }
        let in_contact = self.leader_contact.is_some_and(|at| now < at + contact);
        if !in_contact || self.storage_failed || self.fences.values().any(|&fenced| fenced == node)
        {
            return Renewal::Ignored;
        }
        Renewal::Acknowledged
    }
}
