//! Settings of the planner, with their defaults.

use std::time::Duration;

/// Settings of the planner.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Config {
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
    pub gather: Duration,
    /// The maximum time that a starting pool waits for further targets.
    pub gather_limit: Duration,
    /// The time after which a proposal without a visible effect is repeated.
    pub resend: Duration,
    /// The minimum residence time: how long a shard stays with its owner before
    /// it may be moved for balance.
    pub residence: Duration,
    /// The ratio of the highest pressure to the mean, or of the mean to the
    /// lowest, above which moves for balance start. Pressure is the load of a
    /// node divided by its capacity.
    pub imbalance: f64,
    /// The same ratio, below which moves for balance stop. It is lower than
    /// `imbalance`, so that small changes of load do not start them again.
    pub balanced: f64,
    /// The fraction of the shards of a pool that may be moved for balance per
    /// minute.
    pub budget: f64,
    /// The time between two reviews of the balance and the hot keys.
    pub interval: Duration,
    /// The time for which a report that a target does not respond remains
    /// valid.
    pub refusal: Duration,
    /// The time for which a target must not respond before its shards are
    /// moved. Within it, reports of other targets with the same cause arrive.
    pub confirm: Duration,
    /// The rate above which a key is hot, as a fraction of the mean rate of the
    /// targets of its pool.
    pub hot: f64,
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
            suspect: Duration::from_millis(350),
            silence: Duration::from_secs(3),
            lease: Duration::from_millis(400),
            drift: 0.01,
            staleness: Duration::from_secs(5),
            gather: Duration::from_millis(200),
            gather_limit: Duration::from_secs(2),
            resend: Duration::from_millis(500),
            residence: Duration::from_mins(1),
            imbalance: 1.25,
            balanced: 1.1,
            budget: 0.05,
            interval: Duration::from_secs(1),
            refusal: Duration::from_secs(2),
            confirm: Duration::from_millis(300),
            hot: 0.2,
            hot_after: Duration::from_secs(3),
            cold_after: Duration::from_mins(10),
        }
    }
}
