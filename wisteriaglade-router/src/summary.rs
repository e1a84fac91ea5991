//! A summary of the state of a router.

use std::time::Duration;

/// A summary of the state of a [`Router`](crate::Router), for metrics and load
/// reports.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Summary {
    /// The number of short requests that wait.
    pub queued_short: usize,
    /// The number of long requests that wait.
    pub queued_long: usize,
    /// The number of short requests that run at the target.
    pub running_short: u32,
    /// The number of long requests that run at the target.
    pub running_long: u32,
    /// The current concurrency limit; zero without a target.
    pub limit: u32,
    /// The current concurrency limit of long requests; zero without a target.
    pub limit_long: u32,
    /// The mean service time of short requests; `None` before the first answer.
    pub service_time: Option<Duration>,
    /// Whether there is a standing queue, so that the newest requests are
    /// served first.
    pub standing_queue: bool,
    /// Whether the target is suspect, that is, does not respond.
    pub suspect: bool,
    /// The rate limit that is applied, in requests per second; `None` if the target
    /// names none.
    pub rate_limit: Option<f64>,
}
