//! The times at which replicas last acknowledged the renewals of each node.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Mutex,
    time::Duration,
};

use wisteriaglade_types::Node;

use crate::lock;

/// The number of entries above which those of removed nodes are dropped.
const PRUNE_THRESHOLD: usize = 10_000;

/// The last acknowledgement of each node by this replica, and the answers that
/// the leader has collected from other replicas about fenced nodes.
///
/// Times are on the process clock. A node without an entry has not been
/// acknowledged since the process started, so zero stands for its last time.
#[derive(Debug, Default)]
pub(crate) struct Acknowledgements {
    /// The last acknowledgement of each node by this replica.
    own: Mutex<HashMap<Node, Duration>>,
    /// The answers about each node in question, by the id of the replica.
    collected: Mutex<HashMap<Node, BTreeMap<u64, Duration>>>,
}

impl Acknowledgements {
    /// Records that this replica acknowledges a renewal of `node` now.
    ///
    /// The caller must hold the read lock on the [`Status`](super::Status) from
    /// its decision until this call returns, so that the fence of the node
    /// cannot enter the log in between. `known` tells whether a node still
    /// exists.
    pub(crate) fn record(&self, now: Duration, node: Node, known: impl Fn(Node) -> bool) {
        let mut own = lock(&self.own);
        own.insert(node, now);
        if own.len() > PRUNE_THRESHOLD {
            own.retain(|&node, _| known(node));
        }
    }

    /// Returns when this replica last acknowledged a node.
    pub(crate) fn last(&self, node: Node) -> Duration {
        lock(&self.own).get(&node).copied().unwrap_or_default()
    }

    /// Starts to collect the answers about a node.
    pub(crate) fn start_query(&self, node: Node) {
        lock(&self.collected).insert(node, BTreeMap::new());
    }

    /// Records the answer of a replica, and ignores one about a node that is
    /// not in question.
    pub(crate) fn record_answer(&self, node: Node, replica: u64, last: Duration) {
        if let Some(answers) = lock(&self.collected).get_mut(&node) {
            answers.insert(replica, last);
        }
    }

    /// Returns the time after which no majority acknowledged the node, or
    /// `None` until `quorum` replicas have answered.
    pub(crate) fn latest(&self, node: Node, quorum: usize) -> Option<Duration> {
        let collected = lock(&self.collected);
        let mut answers: Vec<Duration> = collected.get(&node)?.values().copied().collect();
        answers.sort_unstable();
        // Any quorum of answers gives an upper bound; the one with the
        // earliest times gives the lowest.
        answers.get(quorum.checked_sub(1)?).copied()
    }

    /// Drops the answers about a node.
    pub(crate) fn finish_query(&self, node: Node) {
        lock(&self.collected).remove(&node);
    }
}
