//! A dispatched request.

use std::time::Duration;

use crate::{Class, waiting::Waiting};

/// A request that runs at the target.
#[derive(Debug, Clone)]
pub(crate) struct Job {
    pub(crate) waiting: Waiting,
    /// The current class. A short request becomes long when it has run for too
    /// long; its original class stays in `waiting`.
    pub(crate) class: Class,
    pub(crate) started: Duration,
    /// The service time that was charged to the member and caller so far.
    pub(crate) charged: Duration,
    /// The number of requests that ran after the dispatch of this one, itself
    /// included.
    pub(crate) concurrency: u32,
    /// Whether the driver was asked to cancel the request.
    pub(crate) cancelled: bool,
}
