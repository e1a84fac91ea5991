//! The statistics of one member.

use std::time::Duration;

use crate::Reason;

/// The requests of one member and their results, as totals since the router was
/// created.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Usage {
    /// The number of requests that arrived.
    pub arrivals: u64,
    /// The number of requests that were dispatched to the target.
    pub dispatched: u64,
    /// The number of requests that the target answered.
    pub served: u64,
    /// The number of requests that the target shed.
    pub shed: u64,
    /// The number of dispatched requests that failed.
    pub failed: u64,
    /// The number of dispatched requests that were cancelled.
    pub cancelled: u64,
    /// The total time that requests occupied slots of the target.
    pub busy: Duration,
    /// The total time that dispatched requests waited in the queue.
    pub wait: Duration,
    /// The longest time that a dispatched request waited in the queue.
    pub longest_wait: Duration,
    /// A histogram of the waits of dispatched requests, with the upper bounds
    /// of [`Usage::WAIT_BOUNDS`]. The last element counts the waits above all
    /// bounds.
    pub wait_histogram: [u64; Self::WAIT_BOUNDS.len() + 1],
    /// The number of refused requests for each reason, in the order of
    /// [`Reason::ALL`].
    pub refused: [u64; Reason::ALL.len()],
}

impl Usage {
    /// The inclusive upper bounds of the buckets of [`Usage::wait_histogram`].
    pub const WAIT_BOUNDS: [Duration; 8] = [
        Duration::from_millis(1),
        Duration::from_millis(5),
        Duration::from_millis(10),
        Duration::from_millis(50),
        Duration::from_millis(100),
        Duration::from_millis(500),
        Duration::from_secs(1),
        Duration::from_secs(5),
    ];

    /// Records a dispatch after a wait in the queue.
    pub(crate) fn dispatched_after(&mut self, wait: Duration) {
        self.dispatched += 1;
        self.wait += wait;
        self.longest_wait = self.longest_wait.max(wait);
        self.wait_histogram[Self::WAIT_BOUNDS.partition_point(|bound| *bound < wait)] += 1;
    }
}
