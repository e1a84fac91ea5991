//! The health of the nodes to which requests were forwarded.

use std::{collections::BTreeMap, time::Duration};

use wisteriaglade_types::Node;

use super::{Config, Connection, Counts, Outcome};

/// Counts the outcomes of forwarded requests for each node and decides from
/// them how the next request reaches the node.
#[derive(Debug)]
pub struct Health {
    config: Config,
    nodes: BTreeMap<Node, Peer>,
}

#[derive(Debug, Default)]
struct Peer {
    counts: Counts,
    /// The number of attempts without an answer since the last answer.
    failures: u32,
    /// When the next trial request to an unavailable node is due.
    next_trial: Duration,
}

impl Health {
    /// Creates a health state without nodes. All nodes start as healthy.
    #[must_use]
    pub const fn new(config: Config) -> Self {
        Self {
            config,
            nodes: BTreeMap::new(),
        }
    }

    /// Records the outcome of one attempt to forward a request to a node.
    pub fn record(&mut self, now: Duration, node: Node, outcome: Outcome) {
        let peer = self.nodes.entry(node).or_default();
        let counts = &mut peer.counts;
        match outcome {
            Outcome::Answered => counts.answered += 1,
            Outcome::Refused => counts.refused += 1,
            Outcome::Silent => counts.silent += 1,
            Outcome::Failed => counts.failed += 1,
        }
        match outcome {
            Outcome::Answered | Outcome::Refused => peer.failures = 0,
            Outcome::Silent | Outcome::Failed => {
                peer.failures = peer.failures.saturating_add(1);
                peer.next_trial = now + self.config.trial_interval;
            }
        }
    }

    /// Returns which connection the next request to a node must use. Of the
    /// requests to an unavailable node, only one per trial interval is allowed,
    /// as a trial.
    #[must_use]
    pub fn connection(&mut self, now: Duration, node: Node) -> Connection {
        let Some(peer) = self.nodes.get_mut(&node) else {
            return Connection::Pooled;
        };
        if peer.failures == 0 {
            Connection::Pooled
        } else if peer.failures < self.config.max_failures {
            Connection::New
        } else if now >= peer.next_trial {
            peer.next_trial = now + self.config.trial_interval;
            Connection::New
        } else {
            Connection::Unavailable
        }
    }

    /// Returns the counters of a node, which are zero for an unknown node.
    #[must_use]
    pub fn counts(&self, node: Node) -> Counts {
        self.nodes
            .get(&node)
            .map_or_else(Counts::default, |peer| peer.counts)
    }

    /// Removes the state of a node that left. Every start of a node creates a
    /// new id, so the memory grows without bound unless this is called.
    pub fn remove(&mut self, node: Node) {
        self.nodes.remove(&node);
    }
}
