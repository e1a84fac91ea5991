//! The state of a router for metrics and load reports.

use std::time::Duration;

/// A summary of the state of a [`Router`](crate::Router).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Summary {
    /// Short requests that wait.
    pub queued_short: usize,
    /// Long requests that wait.
    pub queued_long: usize,
    /// Short requests that run.
    pub running_short: u32,
    /// Long requests that run.
    pub running_long: u32,
    /// The present concurrency limit.
    pub limit: u32,
    /// The present limit for long work.
    pub limit_long: u32,
    /// The estimated service time of short work, once one has been seen.
    pub service: Option<Duration>,
    /// Whether the queue is standing, so that the freshest requests go first.
    pub standing: bool,
    /// Whether the target is suspected of not responding.
    pub suspect: bool,
}
