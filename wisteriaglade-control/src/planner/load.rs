//! The load reports of the nodes.

use std::time::Duration;

use wisteriaglade_types::Hash;

/// The load of a node and its target, which the node reports about every
/// second.
#[derive(Debug, Clone, PartialEq)]
pub struct Load {
    /// The mean fraction of the slots of the target that were busy, from 0 to
    /// 1.
    pub utilisation: f64,
    /// The number of requests completed per second.
    pub completions: f64,
    /// The mean time that the target took for a request, or zero when none was
    /// completed.
    pub latency: Duration,
    /// The hashes of the hottest keys with their requests per second. Keys
    /// after the first [`Load::MAX_HOT_KEYS`] are ignored.
    pub hottest: Vec<(Hash, f64)>,
}

impl Load {
    /// The maximum number of hot keys in a report.
    pub const MAX_HOT_KEYS: usize = 16;
}
