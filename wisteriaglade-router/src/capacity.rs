//! What a target announces.

use std::time::Duration;

/// The announced capacity of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Capacity {
    /// Requests that the target works on at once. Zero counts as one.
    pub slots: u32,
    /// Connections that the target accepts. Zero counts as one.
    pub connections: u32,
    /// How long the target needs until it has its full speed.
    pub cold_start: Duration,
}

impl Capacity {
    /// The announced slots, bounded by the connections.
    pub(crate) fn slots(&self) -> u32 {
        self.slots.clamp(1, self.connections.max(1))
    }

    /// The highest concurrency that the router ever tries: twice the slots,
    /// bounded by the connections.
    pub(crate) fn ceiling(&self) -> u32 {
        self.slots
            .max(1)
            .saturating_mul(2)
            .min(self.connections.max(1))
    }
}
