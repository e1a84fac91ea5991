//! Settings of the health checks of peers.

use std::time::Duration;

/// Settings of [`Health`](crate::peer::Health).
#[derive(Debug, Clone)]
pub struct Config {
    /// The number of consecutive attempts without an answer after which
    /// requests to a node are refused. Default: 3.
    pub max_failures: u32,
    /// The time between two trial requests to such a node. Default: 250 ms,
    /// the time after which a connection counts as silent if a forwarded
    /// request was not confirmed by `Accepted`.
    pub trial_interval: Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            max_failures: 3,
            trial_interval: Duration::from_millis(250),
        }
    }
}
