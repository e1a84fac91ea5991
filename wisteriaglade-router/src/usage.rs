//! Statistics of one member.

use std::time::Duration;

use crate::Reason;

/// What one member asked for and received. All counts grow from the start of
/// the process.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Usage {
    /// Requests that arrived.
    pub arrivals: u64,
    /// Requests that were dispatched.
    pub dispatched: u64,
    /// Requests that the target answered.
    pub served: u64,
    /// Requests that the target shed.
    pub shed: u64,
    /// Dispatched requests that failed.
    pub failed: u64,
    /// Dispatched requests that were cancelled.
    pub cancelled: u64,
    /// The time that the member's requests occupied slots of the target.
    pub busy: Duration,
    /// The sum of the waits of dispatched requests.
    pub wait: Duration,
    /// The longest wait of a dispatched request.
    pub longest_wait: Duration,
    /// Dispatched requests by wait; see [`Usage::WAITS`]. The last one counts
    /// the longer waits.
    pub waits: [u64; Self::WAITS.len() + 1],
    /// Refused requests by reason, in the order of [`Reason::ALL`].
    pub refused: [u64; Reason::ALL.len()],
}

impl Usage {
    /// The upper bounds of the counts in [`Usage::waits`].
    pub const WAITS: [Duration; 8] = [
        Duration::from_millis(1),
        Duration::from_millis(5),
        Duration::from_millis(10),
        Duration::from_millis(50),
        Duration::from_millis(100),
        Duration::from_millis(500),
        Duration::from_secs(1),
        Duration::from_secs(5),
    ];

    pub(crate) fn waited(&mut self, wait: Duration) {
        self.dispatched += 1;
        self.wait += wait;
        self.longest_wait = self.longest_wait.max(wait);
        self.waits[Self::WAITS.partition_point(|bound| *bound < wait)] += 1;
    }
}
