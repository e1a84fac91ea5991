//! A request that waits in the queue.

use std::time::Duration;

use wisteriaglade_types::Request;

use crate::{Arrival, Class};

/// A request that waits to be dispatched. It also stays with the request while
/// it runs; see [`Job`](crate::job::Job).
#[derive(Debug, Clone)]
pub(crate) struct Waiting {
    pub(crate) arrival: Arrival,
    pub(crate) class: Class,
    pub(crate) arrived: Duration,
    /// The service time that was expected on arrival. Zero if it was unknown,
    /// or if its class was idle and a slot was free.
    pub(crate) expected: Duration,
}

impl Waiting {
    pub(crate) const fn request(&self) -> Request {
        self.arrival.request
    }

    /// Returns the last moment at which a dispatch can still meet the deadline.
    pub(crate) fn latest_start(&self) -> Duration {
        self.arrival.deadline.saturating_sub(self.expected)
    }
}
