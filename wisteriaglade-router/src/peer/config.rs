//! Settings of the health checks of peers.

use std::time::Duration;

/// Settings of [`Health`](crate::peer::Health).
#[derive(Debug, Clone)]
pub struct Config {
    /// The number of consecutive attempts without an answer after which
    /// requests to a node are refused. Default: 3.
    pub failures: u32,
    /// The time between two trial requests to such a node. Default: 250 ms,
    /// the time after which a connection counts as silent if a forwarded
    /// request was not confirmed by `Accepted`.
    pub trial: Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            failures: 3,
            trial: Duration::from_millis(250),
        }
    }
}
