//! The concurrency limit of the target.

use std::time::Duration;

use crate::Capacity;

/// The concurrency limit.
#[derive(Debug)]
pub(crate) struct Limit {
    value: u32,
}

impl Limit {
    pub(crate) fn new(capacity: &Capacity, _now: Duration) -> Self {
        Self {
            value: capacity.slots(),
        }
    }

    /// The present limit.
    pub(crate) const fn get(&self, _now: Duration) -> u32 {
        self.value
    }
}
