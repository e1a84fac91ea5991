//! Detection of nodes that have stopped renewing their leases.

use std::{collections::BTreeMap, time::Duration};

use wisteriaglade_types::Node;

use super::Config;
use crate::{Process, State, Status};

/// The last renewal of each node that this replica has seen.
#[derive(Debug, Default)]
pub(crate) struct Liveness {
    renewals: BTreeMap<Node, Renewal>,
}

#[derive(Debug, Clone, Copy)]
struct Renewal {
    at: Duration,
    /// Whether a renewal arrived at `at`; otherwise the node was first seen
    /// then.
    arrived: bool,
}

impl Liveness {
    pub(crate) fn record_renewal(&mut self, now: Duration, node: Node) {
        let arrived = true;
        self.renewals.insert(node, Renewal { at: now, arrived });
    }

    /// Drops nodes that have been removed from the state.
    pub(crate) fn retain_known(&mut self, state: &State) {
        self.renewals.retain(|node, _| state.node(*node).is_some());
    }

    /// Returns the nodes to fence.
    ///
    /// When more than half of all nodes are silent at once, this replica has
    /// more likely been cut off or paused itself. Only nodes that have been
    /// silent for `Config::silence` are then returned.
    pub(crate) fn silent_nodes(
        &mut self,
        now: Duration,
        config: &Config,
        state: &State,
    ) -> Vec<Node> {
        let mut live = 0;
        let mut silent = Vec::new();
        for process in state.nodes().filter(|process| !process.is_fenced()) {
            live += 1;
            let first = Renewal {
                at: now,
                arrived: false,
            };
            let renewal = self.renewals.entry(process.node()).or_insert(first);
            let silence = now.saturating_sub(renewal.at);
            if silence > timeout(config, process, renewal.arrived) {
                silent.push((process.node(), silence));
            }
        }
        if silent.len() * 2 > live {
            silent.retain(|(_, silence)| *silence >= config.silence);
        }
        silent.into_iter().map(|(node, _)| node).collect()
    }

    /// Returns whether a node has been silent for longer than
    /// `Config::suspect`, even if it has not been fenced yet.
    pub(crate) fn is_silent(&self, now: Duration, config: &Config, node: Node) -> bool {
        let renewal = self.renewals.get(&node);
        renewal.is_some_and(|renewal| now.saturating_sub(renewal.at) > config.suspect)
    }
}

/// Returns the time without a renewal after which a node counts as silent. A
/// node that has just joined gets more time, as it must learn its id before it
/// can renew.
fn timeout(config: &Config, process: &Process, arrived: bool) -> Duration {
    if process.status() == Status::Joined && !arrived {
        config.silence
    } else {
        config.suspect
    }
}
