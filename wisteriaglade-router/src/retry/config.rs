//! Settings of retry budgets.

use std::time::Duration;

/// Settings of a [`Budget`](crate::retry::Budget).
#[derive(Debug, Clone)]
pub struct Config {
    /// Retries that each recent request allows. Default: 0.1.
    pub ratio: f64,
    /// Retries that are allowed in addition, independent of requests, so that a
    /// member with little traffic can retry too. Default: 3.
    pub reserve: u32,
    /// The time after which one of the `reserve` retries becomes available
    /// again. Default: 1 s; zero counts as 1 ns.
    pub reserve_refill: Duration,
    /// The half-life of the retries that requests have earned. Default: 10 s;
    /// zero counts as 1 ns.
    pub half_life: Duration,
    /// The number of members with a budget of their own. Further members share
    /// one. Default: 256.
    pub max_members: usize,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            ratio: 0.1,
            reserve: 3,
            reserve_refill: Duration::from_secs(1),
            half_life: Duration::from_secs(10),
            max_members: 256,
        }
    }
}
