//! What a target announces.

use std::time::Duration;

/// More slots and connections are not used. The number of levels at which the
/// limit is learned, and the time that takes, grow with them.
const MOST: u32 = 1024;

/// A longer cold start is taken for a mistake.
const LONGEST: Duration = Duration::from_hours(1);

/// The announced capacity of a target.
///
/// Values outside the stated ranges count as the nearest one inside.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Capacity {
    /// Requests that the target works on at once, from 1 to 1024.
    pub slots: u32,
    /// Connections that the target accepts, from 1 to 1024.
    pub connections: u32,
    /// How long the target needs until it has its full speed, at most 1 h.
    pub cold_start: Duration,
}

impl Capacity {
    /// The announced slots, bounded by the connections.
    pub(crate) fn slots(&self) -> u32 {
        self.slots.clamp(1, self.connections())
    }

    pub(crate) fn connections(&self) -> u32 {
        self.connections.clamp(1, MOST)
    }

    pub(crate) fn cold_start(&self) -> Duration {
        self.cold_start.min(LONGEST)
    }

    /// The highest concurrency that the router ever tries: twice the slots,
    /// bounded by the connections.
    pub(crate) fn ceiling(&self) -> u32 {
        self.slots.max(1).saturating_mul(2).min(self.connections())
    }
}
