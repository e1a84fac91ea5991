//! A request in the queue.

use std::time::Duration;

use wisteriaglade_types::Request;

use crate::{Arrival, Class};

/// An admitted request that has not been dispatched.
#[derive(Debug, Clone)]
pub(crate) struct Waiting {
    pub(crate) arrival: Arrival,
    pub(crate) class: Class,
    pub(crate) arrived: Duration,
    /// The expected service time at arrival; zero when unknown.
    pub(crate) expected: Duration,
}

impl Waiting {
    pub(crate) const fn request(&self) -> Request {
        self.arrival.request
    }

    /// The last moment at which a dispatch can still meet the deadline.
    pub(crate) fn latest(&self) -> Duration {
        self.arrival.deadline.saturating_sub(self.expected)
    }
}
