//! The health of all nodes that requests were forwarded to.

use std::{collections::BTreeMap, time::Duration};

use wisteriaglade_types::Node;

use super::{Config, Counts, Outcome, Path};

/// Outcome counters by node, and the path that follows from them.
#[derive(Debug)]
pub struct Health {
    config: Config,
    nodes: BTreeMap<Node, Peer>,
}

#[derive(Debug, Default)]
struct Peer {
    counts: Counts,
    /// Attempts without an answer since the last answer.
    failures: u32,
    /// When the next trial of an avoided node is due.
    trial: Duration,
}

impl Health {
    /// Creates a record without nodes.
    #[must_use]
    pub const fn new(config: Config) -> Self {
        Self {
            config,
            nodes: BTreeMap::new(),
        }
    }

    /// Records the outcome of a forwarded request.
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
                peer.trial = now + self.config.trial;
            }
        }
    }

    /// The path for the next request to a node. A trial of an avoided node is
    /// granted to one request at a time.
    #[must_use]
    pub fn path(&mut self, now: Duration, node: Node) -> Path {
        let Some(peer) = self.nodes.get_mut(&node) else {
            return Path::Pooled;
        };
        if peer.failures == 0 {
            Path::Pooled
        } else if peer.failures < self.config.failures {
            Path::Fresh
        } else if now >= peer.trial {
            peer.trial = now + self.config.trial;
            Path::Fresh
        } else {
            Path::Avoid
        }
    }

    /// The counters of a node.
    #[must_use]
    pub fn counts(&self, node: Node) -> Counts {
        self.nodes
            .get(&node)
            .map_or_else(Counts::default, |peer| peer.counts)
    }

    /// Forgets a node that left. Nodes get new ids at each start, so the
    /// driver must call this to bound the memory.
    pub fn forget(&mut self, node: Node) {
        self.nodes.remove(&node);
    }
}
