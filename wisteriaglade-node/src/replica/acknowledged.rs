//! When a replica last acknowledged a renewal of each node.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Mutex,
    time::Duration,
};

use wisteriaglade_types::Node;

use crate::lock;

/// Entries above which those of removed nodes are dropped.
const BOUND: usize = 10_000;

/// The last acknowledgements of this replica, and what the leader has learned
/// of those of the others.
///
/// Times are on the process clock. A node without an entry was not
/// acknowledged since the process started, so its last time is zero.
#[derive(Debug, Default)]
pub(crate) struct Acknowledged {
    own: Mutex<HashMap<Node, Duration>>,
    learned: Mutex<HashMap<Node, BTreeMap<u64, Duration>>>,
}

impl Acknowledged {
    /// Notes an acknowledgement. The caller holds the board for reading, so
    /// that a fence cannot be noted between the verdict and this.
    pub(crate) fn note(&self, now: Duration, node: Node, known: impl Fn(Node) -> bool) {
        let mut own = lock(&self.own);
        own.insert(node, now);
        if own.len() > BOUND {
            own.retain(|&node, _| known(node));
        }
    }

    /// When this replica last acknowledged a node.
    pub(crate) fn last(&self, node: Node) -> Duration {
        lock(&self.own).get(&node).copied().unwrap_or_default()
    }

    /// Starts to collect the answers about a node.
    pub(crate) fn ask(&self, node: Node) {
        lock(&self.learned).insert(node, BTreeMap::new());
    }

    /// Takes an answer about a node that was asked about.
    pub(crate) fn learn(&self, node: Node, replica: u64, last: Duration) {
        if let Some(answers) = lock(&self.learned).get_mut(&node) {
            answers.insert(replica, last);
        }
    }

    /// When the last renewal was acknowledged at the latest, once `quorum`
    /// replicas have answered.
    pub(crate) fn latest(&self, node: Node, quorum: usize) -> Option<Duration> {
        let learned = lock(&self.learned);
        let mut answers: Vec<Duration> = learned.get(&node)?.values().copied().collect();
        answers.sort_unstable();
        // Any majority gives a bound; the earliest answers give the best one.
        answers.get(quorum.checked_sub(1)?).copied()
    }

    /// Forgets the answers about a node.
    pub(crate) fn done(&self, node: Node) {
        lock(&self.learned).remove(&node);
    }
}
