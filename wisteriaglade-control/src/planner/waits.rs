//! When the shards of fenced nodes are free.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use wisteriaglade_types::{Node, Version};

use super::Config;
use crate::{Process, State};

/// The waits between the fence of a node and the assignment of its shards.
#[derive(Debug, Default)]
pub(crate) struct Waits {
    /// When each fence was first known to be committed.
    fenced: BTreeMap<Node, Duration>,
    /// When the last renewal of a fenced node was acknowledged at the latest.
    ceased: BTreeMap<Node, Duration>,
    /// The nodes whose hosts are off.
    off: BTreeSet<Node>,
    /// The version of the rules, and when it was first seen.
    rules: Option<(Version, Duration)>,
}

impl Waits {
    pub(crate) fn lost(&mut self, node: Node) {
        self.off.insert(node);
    }

    pub(crate) fn ceased(&mut self, node: Node, last: Duration) {
        self.ceased.insert(node, last);
    }

    /// Forgets when fences and rules were seen. What an operator said about a
    /// host stays true.
    pub(crate) fn restart(&mut self) {
        self.fenced.clear();
        self.ceased.clear();
        self.rules = None;
    }

    pub(crate) fn observe(&mut self, now: Duration, state: &State) {
        self.fenced.retain(|node, _| state.node(*node).is_some());
        self.ceased
            .retain(|node, _| state.is_fenced(*node) && state.node(*node).is_some());
        self.off.retain(|node| state.node(*node).is_some());
        for process in state.nodes().filter(|process| process.is_fenced()) {
            self.fenced.entry(process.node()).or_insert(now);
        }
        let (version, _) = state.rules();
        if self.rules.is_none_or(|(known, _)| known != version) {
            self.rules = Some((version, now));
        }
    }

    /// Whether neither the node nor its target can execute a request any more.
    pub(crate) fn is_over(
        &self,
        now: Duration,
        config: &Config,
        state: &State,
        process: &Process,
    ) -> bool {
        let Some(fenced) = self.fenced.get(&process.node()) else {
            return false;
        };
        let lease = config.lease.mul_f64(1.0 + 2.0 * config.drift);
        let last = self.ceased.get(&process.node()).unwrap_or(fenced);
        let expiry = last.min(fenced).saturating_add(lease);
        let checks = process.target().is_none_or(|target| target.fencing);
        if checks || self.off.contains(&process.node()) {
            return now >= expiry;
        }
        let pool = process.pool().map_or("", |pool| pool.as_str());
        let current = expiry.saturating_add(state.longest(pool));
        // Requests that began under replaced rules may have longer deadlines.
        let (_, changed) = self.rules.unwrap_or_default();
        let lately = state.longest_lately(pool);
        let replaced = if lately > state.longest(pool) {
            let last_start = changed.saturating_add(config.staleness);
            last_start.saturating_add(lately)
        } else {
            Duration::ZERO
        };
        now >= current.max(replaced.min(expiry.saturating_add(lately)))
    }
}
