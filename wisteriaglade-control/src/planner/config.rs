//! Settings of the planner, with their defaults.

use std::time::Duration;

/// Settings of the planner.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Config {
    /// The time between two renewals of a node.
    pub renew: Duration,
    /// The time without a renewal after which a node is fenced.
    pub suspect: Duration,
    /// The time without a renewal after which a node is fenced even when more
    /// than half of all nodes are silent. A node that has just joined has the
    /// same time for its first renewal.
    pub silence: Duration,
    /// The time by which a renewal extends the lease of a node.
    pub lease: Duration,
    /// The maximum relative error of the rate of a clock.
    pub drift: f64,
    /// The time within which every node has applied a committed change or
    /// refuses to dispatch. For that long, requests can still begin under
    /// replaced rules.
    pub staleness: Duration,
    /// The time for which no target must have joined a pool before its
    /// ownerless shards are assigned. It keeps a starting pool from giving all
    /// shards to its first target.
    pub gather_quiet: Duration,
    /// The maximum time that a starting pool waits for further targets.
    pub gather_limit: Duration,
    /// The time after which a proposal without a visible effect is repeated.
    pub resend_after: Duration,
    /// The minimum residence time: how long a shard stays with its owner before
    /// it may be moved for balance.
    pub min_residence: Duration,
    /// The ratio of the highest load factor to the mean, or of the mean to the
    /// lowest, above which moves for balance start. The load factor is the load
    /// of a node divided by its capacity.
    pub imbalance_start: f64,
    /// The same ratio, below which moves for balance stop. It is lower than
    /// `imbalance_start`, so that small changes of load do not start them
    /// again.
    pub imbalance_stop: f64,
    /// The fraction of the shards of a pool that may be moved for balance per
    /// minute.
    pub move_budget: f64,
    /// The time between two reviews of the balance and the hot keys.
    pub review_interval: Duration,
    /// The time for which a report that a target does not respond remains
    /// valid.
    pub unresponsive_lifetime: Duration,
    /// The time for which a target must not respond before its shards are
    /// moved. Within it, reports of other targets with the same cause arrive.
    pub unresponsive_after: Duration,
    /// The rate above which a key is hot, as a fraction of the mean rate of the
    /// targets of its pool.
    pub hot_ratio: f64,
    /// The time for which a key must be hot before it gets a dedicated shard.
    pub hot_after: Duration,
    /// The time for which a key must be cold before its dedicated shard is
    /// merged. It is shortened as the free dedicated shards of the pool run
    /// out.
    pub cold_after: Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            renew: Duration::from_millis(150),
            suspect: Duration::from_millis(350),
            silence: Duration::from_secs(3),
            lease: Duration::from_millis(400),
            drift: 0.01,
            staleness: Duration::from_secs(5),
            gather_quiet: Duration::from_millis(200),
            gather_limit: Duration::from_secs(2),
            resend_after: Duration::from_millis(500),
            min_residence: Duration::from_mins(1),
            imbalance_start: 1.25,
            imbalance_stop: 1.1,
            move_budget: 0.05,
            review_interval: Duration::from_secs(1),
            unresponsive_lifetime: Duration::from_secs(2),
            unresponsive_after: Duration::from_millis(300),
            hot_ratio: 0.2,
            hot_after: Duration::from_secs(3),
            cold_after: Duration::from_mins(10),
        }
    }
}
