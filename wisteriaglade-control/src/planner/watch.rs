//! Which nodes have gone silent.

use std::{collections::BTreeMap, time::Duration};

use wisteriaglade_types::Node;

use super::Config;
use crate::{Process, State, Status};

/// The last renewal of each node.
#[derive(Debug, Default)]
pub(crate) struct Watch {
    renewals: BTreeMap<Node, Renewal>,
}

#[derive(Debug, Clone, Copy)]
struct Renewal {
    at: Duration,
    /// Whether a renewal arrived, or only the node was first seen at `at`.
    arrived: bool,
}

impl Watch {
    pub(crate) fn renewed(&mut self, now: Duration, node: Node) {
        let arrived = true;
        self.renewals.insert(node, Renewal { at: now, arrived });
    }

    /// Forgets nodes that are gone.
    pub(crate) fn forget(&mut self, state: &State) {
        self.renewals.retain(|node, _| state.node(*node).is_some());
    }

    /// The nodes to fence.
    ///
    /// When more than half of all nodes look lost at once, this replica is
    /// likely to be the one that is cut off or was paused; then only nodes that
    /// have been silent for long are returned.
    pub(crate) fn lost(&mut self, now: Duration, config: &Config, state: &State) -> Vec<Node> {
        let mut live = 0;
        let mut silent = Vec::new();
        for process in state.nodes().filter(|process| !process.is_fenced()) {
            live += 1;
            let first = Renewal {
                at: now,
                arrived: false,
            };
            let renewal = self.renewals.entry(process.node()).or_insert(first);
            let since = now.saturating_sub(renewal.at);
            if since > allowance(config, process, renewal.arrived) {
                silent.push((process.node(), since));
            }
        }
        if silent.len() * 2 > live {
            silent.retain(|(_, since)| *since >= config.silence);
        }
        silent.into_iter().map(|(node, _)| node).collect()
    }

    /// Whether a node looks lost already, though it may not be fenced yet.
    pub(crate) fn is_silent(&self, now: Duration, config: &Config, node: Node) -> bool {
        let renewal = self.renewals.get(&node);
        renewal.is_some_and(|renewal| now.saturating_sub(renewal.at) > config.suspect)
    }
}

/// A process that has just joined needs time to learn its id before it renews.
fn allowance(config: &Config, process: &Process, arrived: bool) -> Duration {
    if process.status() == Status::Joined && !arrived {
        config.silence
    } else {
        config.suspect
    }
}
