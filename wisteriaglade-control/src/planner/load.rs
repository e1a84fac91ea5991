//! The load of a node.

use std::time::Duration;

use wisteriaglade_types::Hash;

/// The load of a node, as it reports it about every second.
#[derive(Debug, Clone, PartialEq)]
pub struct Load {
    /// The mean part of the slots of the target that was busy, from 0 to 1.
    pub utilisation: f64,
    /// Requests completed per second.
    pub completions: f64,
    /// The mean time that the target took for a request, or zero when none
    /// completed.
    pub latency: Duration,
    /// The hottest keys with their requests per second. Only the first
    /// [`Load::MOST_KEYS`] are read.
    pub hottest: Vec<(Hash, f64)>,
}

impl Load {
    /// The largest number of hot keys in a report.
    pub const MOST_KEYS: usize = 16;
}
