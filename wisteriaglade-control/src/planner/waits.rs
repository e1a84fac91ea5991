//! The wait until the shards of a fenced node can be assigned.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use wisteriaglade_types::{Node, Version};

use super::Config;
use crate::{Process, State};

/// The observations that decide how long the shards of each fenced node must
/// wait.
#[derive(Debug, Default)]
pub(crate) struct Waits {
    /// The time at which each fence was first known to be committed.
    fences: BTreeMap<Node, Duration>,
    /// For each fenced node, the latest time at which a renewal can have been
    /// acknowledged, once a majority has reported it.
    last_renewals: BTreeMap<Node, Duration>,
    /// The nodes whose hosts are off, according to an operator.
    hosts_off: BTreeSet<Node>,
    /// The version of the rules, and the time at which it was first seen.
    rules: Option<(Version, Duration)>,
}

impl Waits {
    pub(crate) fn host_off(&mut self, node: Node) {
        self.hosts_off.insert(node);
    }

    pub(crate) fn renewals_ended(&mut self, node: Node, last: Duration) {
        self.last_renewals.insert(node, last);
    }

    /// Drops the times at which fences and rules were seen, at the start of a
    /// leadership. What an operator reported about a host remains true.
    pub(crate) fn restart(&mut self) {
        self.fences.clear();
        self.last_renewals.clear();
        self.rules = None;
    }

    pub(crate) fn observe(&mut self, now: Duration, state: &State) {
        self.fences.retain(|node, _| state.node(*node).is_some());
        self.last_renewals
            .retain(|node, _| state.is_fenced(*node) && state.node(*node).is_some());
        self.hosts_off.retain(|node| state.node(*node).is_some());
        for process in state.nodes().filter(|process| process.is_fenced()) {
            self.fences.entry(process.node()).or_insert(now);
        }
        let (version, _) = state.rules();
        if self.rules.is_none_or(|(known, _)| known != version) {
            self.rules = Some((version, now));
        }
    }

    /// Returns whether neither the node nor its target can execute a request
    /// any more, so that the shards of the node can be assigned. That is the
    /// case when its lease has expired and, for a target that does not check
    /// fencing tokens on a host that may be running, when the longest deadline
    /// has passed since.
    pub(crate) fn is_over(
        &self,
        now: Duration,
        config: &Config,
        state: &State,
        process: &Process,
    ) -> bool {
        let Some(fenced) = self.fences.get(&process.node()) else {
            return false;
        };
        let lease = config.lease.mul_f64(1.0 + 2.0 * config.drift);
        let last = self.last_renewals.get(&process.node()).unwrap_or(fenced);
        let expiry = last.min(fenced).saturating_add(lease);
        let checks_tokens = process.target().is_none_or(|target| target.fencing);
        if checks_tokens || self.hosts_off.contains(&process.node()) {
            return now >= expiry;
        }
        let pool = process.pool().map_or("", |pool| pool.as_str());
        let current = expiry.saturating_add(state.longest_deadline(pool));
        // Requests that began under replaced rules may have longer deadlines.
        let (_, changed) = self.rules.unwrap_or_default();
        let recent = state.longest_recent_deadline(pool);
        let replaced = if recent > state.longest_deadline(pool) {
            let last_start = changed.saturating_add(config.staleness);
            last_start.saturating_add(recent)
        } else {
            Duration::ZERO
        };
        now >= current.max(replaced.min(expiry.saturating_add(recent)))
    }
}
