//! Settings of retry budgets.

use std::time::Duration;

/// Settings of a [`Budget`](crate::retry::Budget).
#[derive(Debug, Clone)]
pub struct Config {
    /// Retries for each request of the recent past. Default: 0.1.
    pub ratio: f64,
    /// Retries that are allowed without any requests, so that a member with
    /// little traffic can retry at all. Default: 3.
    pub constant: u32,
    /// The time in which one retry of the constant becomes available again.
    /// Default: 1 s; zero counts as 1 ns.
    pub refill: Duration,
    /// The time after which a request counts half. Default: 10 s; zero counts
    /// as 1 ns.
    pub half_life: Duration,
    /// Members with their own budget. Further members share one. Default: 256.
    pub members: usize,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            ratio: 0.1,
            constant: 3,
            refill: Duration::from_secs(1),
            half_life: Duration::from_secs(10),
            members: 256,
        }
    }
}
