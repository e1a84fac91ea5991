//! Detection of nodes that have stopped renewing their leases.

use std::{collections::BTreeMap, time::Duration};

use wisteriaglade_types::Node;

use super::Config;
use crate::{Process, State, Status};

/// The last renewal of each node that this replica has seen.
#[derive(Debug, Default)]
pub(crate) struct Liveness {
    renewals: BTreeMap<Node, Renewal>,
    /// The last time at which renewals of more than half of all nodes were
    /// overdue, so that this replica probably could not hear them.
    cut_off_at: Option<Duration>,
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
    /// When renewals of more than half of all nodes are overdue at once, this
    /// replica has more likely been cut off or paused itself. The silence of
    /// each node then counts only from the end of that time, as the nodes are
    /// heard again one after the other. A node that has been silent for
    /// `Config::silence` in all is returned in any case.
    pub(crate) fn silent_nodes(
        &mut self,
        now: Duration,
        config: &Config,
        state: &State,
    ) -> Vec<Node> {
        // The renewals of the nodes are spread over one interval. Nodes that
        // fell silent together therefore reach `suspect` within one interval,
        // and are counted together from the time at which the first can reach
        // it.
        let overdue_after = config.suspect.saturating_sub(config.renew);
        let mut live = 0;
        let mut overdue = 0;
        let mut silent = Vec::new();
        for process in state.nodes().filter(|process| !process.is_fenced()) {
            live += 1;
            let first = Renewal {
                at: now,
                arrived: false,
            };
            let renewal = self.renewals.entry(process.node()).or_insert(first);
            let silence = now.saturating_sub(renewal.at);
            overdue += usize::from(silence > overdue_after);
            let timeout = timeout(config, process, renewal.arrived);
            if silence > timeout {
                silent.push((process.node(), silence, timeout));
            }
        }
        if overdue * 2 > live {
            self.cut_off_at = Some(now);
        }
        let cut_off_at = self.cut_off_at;
        silent.retain(|&(_, silence, timeout)| {
            let heard = cut_off_at.is_none_or(|at| now.saturating_sub(at) > timeout);
            heard || silence >= config.silence
        });
        silent.into_iter().map(|(node, ..)| node).collect()
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
