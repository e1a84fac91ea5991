//! Dispatched work.

use std::time::Duration;

use crate::{Class, waiting::Waiting};

/// A request that runs at the target.
#[derive(Debug, Clone)]
pub(crate) struct Job {
    pub(crate) waiting: Waiting,
    /// The present class; long once the work took longer than short work does.
    pub(crate) class: Class,
    pub(crate) started: Duration,
    /// The busy time that was charged to the member so far.
    pub(crate) charged: Duration,
    /// Requests that ran when this one was dispatched, itself included.
    pub(crate) concurrency: u32,
    pub(crate) cancelled: bool,
}
