//! What the leader publishes to the hosts.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use wisteriaglade_types::Name;

use crate::{Owner, Range};

/// The targets and key ranges, as the leader knows them.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Directory {
    /// The last log entry that the key ranges reflect.
    pub index: u64,
    /// Whether every host had the time to report to this leader. Until then a
    /// missing target may still run.
    pub complete: bool,
    /// The targets; `None` when they have not changed.
    pub entries: Option<Vec<Entry>>,
    /// The key ranges of the pools that are divided by key; `None` when they
    /// have not changed.
    pub keys: Option<Vec<Keys>>,
}

/// A target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The target's id and start.
    pub owner: Owner,
    /// Its pool.
    pub pool: Name,
    /// Where the process beside it takes requests of other hosts.
    pub address: SocketAddr,
    /// The data centre.
    pub data_centre: Name,
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// Whether it takes new work.
    pub ready: bool,
}

/// The key ranges of a pool.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Keys {
    /// The pool.
    pub pool: Name,
    /// Its ranges, in order and without gaps.
    pub ranges: Vec<Range>,
}

impl Keys {
    /// The range that has a key.
    #[must_use]
    pub fn find(&self, key: u16) -> Option<&Range> {
        let at = self.ranges.partition_point(|range| range.span.to < key);
        self.ranges.get(at).filter(|range| range.span.contains(key))
    }
}
