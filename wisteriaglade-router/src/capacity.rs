//! The capacity that a target announces.

use std::time::Duration;

/// The most slots and connections that are used. The memory and the time for
/// estimating the concurrency limit grow with this number.
const MAX_CONCURRENCY: u32 = 1024;

/// The longest cold start. Longer values are treated as errors and reduced.
const MAX_COLD_START: Duration = Duration::from_hours(1);

/// The announced capacity of a target.
///
/// Values outside the documented ranges are clamped to them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Capacity {
    /// The number of requests that the target works on at once, from 1 to 1024.
    pub slots: u32,
    /// The number of connections that the target accepts, from 1 to 1024.
    pub connections: u32,
    /// The time after the announcement until the target reaches its full speed,
    /// at most 1 h. The limit rises linearly during this time.
    pub cold_start: Duration,
}

impl Capacity {
    /// Returns the slots, bounded by the connections.
    pub(crate) fn slots(&self) -> u32 {
        self.slots.clamp(1, self.connections())
    }

    pub(crate) fn connections(&self) -> u32 {
        self.connections.clamp(1, MAX_CONCURRENCY)
    }

    pub(crate) fn cold_start(&self) -> Duration {
        self.cold_start.min(MAX_COLD_START)
    }

    /// Returns the highest concurrency limit: twice the slots, bounded by the
    /// connections.
    pub(crate) fn ceiling(&self) -> u32 {
        self.slots.max(1).saturating_mul(2).min(self.connections())
    }
}
