//! What the leader publishes to the hosts.

use std::{collections::BTreeMap, net::SocketAddr};

use serde::{Deserialize, Serialize};
use wisteriaglade_types::Name;

use crate::{Keyspace, Owner, Range};

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
    /// The key ranges of the pools that are divided by key.
    pub keys: Keys,
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

/// Key ranges.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Keys {
    /// They have not changed.
    #[default]
    Same,
    /// All ranges of each pool.
    All(BTreeMap<Name, Keyspace>),
    /// The ranges of each pool that have changed since the last directory on
    /// the same connection.
    Changed(BTreeMap<Name, Vec<Range>>),
}

impl Keys {
    /// Applies the change to a copy.
    pub fn apply(&self, copy: &mut BTreeMap<Name, Keyspace>) {
        match self {
            Self::Same => {}
            Self::All(keyspaces) => copy.clone_from(keyspaces),
            Self::Changed(changes) => {
                for (pool, ranges) in changes {
                    copy.entry(pool.clone()).or_default().merge(ranges);
                }
            }
        }
    }
}
