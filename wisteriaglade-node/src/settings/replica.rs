//! The control replicas of the cluster.

use std::{net::SocketAddr, path::PathBuf};

use serde::Deserialize;

/// A control replica of the cluster.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Replica {
    /// The id of the replica. It must not be reused for another disk, since
    /// the votes and the log on disk belong to it.
    pub id: u64,
    /// The peer address of the process that runs the replica.
    pub peer: SocketAddr,
}

/// The control replica that this process runs.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Local {
    /// The id of the replica, which must be listed in `replicas`.
    pub id: u64,
    /// The data directory, which holds the log, the vote and snapshots.
    pub data: PathBuf,
}
