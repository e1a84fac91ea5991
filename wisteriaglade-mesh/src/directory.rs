//! The message by which the leader publishes targets and key ranges to the
//! hosts.

use std::{collections::BTreeMap, net::SocketAddr};

use serde::{Deserialize, Serialize};
use wisteriaglade_types::Name;

use crate::{Keyspace, Owner, Range};

/// The running targets and the key ranges, as the leader knows them.
///
/// Parts that have not changed since the last directory on the same connection
/// are left out.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Directory {
    /// The index of the last log entry that the key ranges reflect.
    pub index: u64,
    /// Whether every host has had time to report to this leader. Until then a
    /// target that is not listed may still run.
    pub complete: bool,
    /// The running targets.
    pub entries: EntryUpdate,
    /// The key ranges of the sharded pools.
    pub keyspaces: KeyspaceUpdate,
}

/// A running target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The identity of the target and this run of it.
    pub owner: Owner,
    /// The pool that the target serves.
    pub pool: Name,
    /// The address where its host process accepts requests of other hosts.
    pub address: SocketAddr,
    /// The data centre of its host.
    pub data_centre: Name,
    /// The number of requests that it runs at the same time.
    pub slots: u32,
    /// Whether it accepts new requests.
    pub ready: bool,
}

/// An update of a host's copy of the running targets.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum EntryUpdate {
    /// Nothing has changed.
    #[default]
    Unchanged,
    /// All targets. It is the first update on a connection.
    Full(Vec<Entry>),
    /// The changes since the last directory on the same connection.
    Changed {
        /// New targets and those that have changed.
        updated: Vec<Entry>,
        /// The addresses of hosts whose target no longer runs.
        removed: Vec<SocketAddr>,
    },
}

/// An update of a host's copy of the key ranges.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum KeyspaceUpdate {
    /// Nothing has changed.
    #[default]
    Unchanged,
    /// All ranges of each pool.
    Full(BTreeMap<Name, Keyspace>),
    /// The ranges of each pool that have changed since the index of the last
    /// directory, which may come from an earlier leader.
    Changed(BTreeMap<Name, Vec<Range>>),
}

impl KeyspaceUpdate {
    /// Applies the update to a copy of the key ranges.
    pub fn apply(&self, copy: &mut BTreeMap<Name, Keyspace>) {
        match self {
            Self::Unchanged => {}
            Self::Full(keyspaces) => copy.clone_from(keyspaces),
            Self::Changed(changes) => {
                for (pool, ranges) in changes {
                    copy.entry(pool.clone()).or_default().merge(ranges);
                }
            }
        }
    }
}
