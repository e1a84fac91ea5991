//! Settings of the planner.

use std::time::Duration;

/// Settings of the planner.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Config {
    /// The silence of a node after which it is fenced.
    pub suspect: Duration,
    /// The silence after which a node is fenced even when more than half of
    /// all nodes are silent, and the time that a node has for its first
    /// renewal.
    pub silence: Duration,
    /// How long a renewal extends the lease of a node.
    pub lease: Duration,
    /// The largest relative error of a clock rate.
    pub drift: f64,
    /// The time within which every node has applied a committed change or
    /// refuses to dispatch. Requests can begin under replaced rules so long.
    pub staleness: Duration,
    /// How long no target must have been added to a pool before its ownerless
    /// shards are assigned, so that a starting pool does not give everything to
    /// its first target.
    pub gather: Duration,
    /// The longest wait for further targets of a starting pool.
    pub gather_limit: Duration,
    /// The time after which a proposal without a visible effect is repeated.
    pub resend: Duration,
    /// How long a shard stays with its owner before it is moved for balance.
    pub residence: Duration,
    /// The ratio of the highest to the mean pressure, or of the mean to the
    /// lowest, above which shards are moved for balance.
    pub imbalance: f64,
    /// The ratio below which moving for balance ends. It is below `imbalance`,
    /// so that small changes of load do not start it again.
    pub balanced: f64,
    /// The share of the shards of a pool that may move for balance per minute.
    pub budget: f64,
    /// The time between two looks at the balance and the hot keys of the pools.
    pub interval: Duration,
    /// How long a report that a target does not respond counts.
    pub refusal: Duration,
    /// How long a target must not respond before its shards are moved: the time
    /// that the reports of other targets with the same cause take to arrive.
    pub confirm: Duration,
    /// The rate of a hot key, as a part of the mean rate of a target of its
    /// pool.
    pub hot: f64,
    /// How long a key must be hot before it gets a dedicated shard.
    pub hot_after: Duration,
    /// How long a key must be cold before its dedicated shard is merged. The
    /// time shortens as the dedicated shards of the pool run out.
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
