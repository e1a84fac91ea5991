//! Settings of the health of peers.

use std::time::Duration;

/// Settings of a [`Health`](crate::peer::Health).
#[derive(Debug, Clone)]
pub struct Config {
    /// Consecutive attempts without an answer after which a node is avoided.
    /// Default: 3.
    pub failures: u32,
    /// The time between two trials of a node that is avoided. Default: 250 ms,
    /// the time after which a forward without `Accepted` counts as silent.
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
