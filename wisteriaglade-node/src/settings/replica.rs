//! The control replicas.

use std::{net::SocketAddr, path::PathBuf};

use serde::Deserialize;

/// One control replica of the cluster.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Replica {
    /// Its number, never reused for another disk.
    pub id: u64,
    /// The peer address of its process.
    pub peer: SocketAddr,
}

/// The control replica that this process runs.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Local {
    /// Its number among `replicas`.
    pub id: u64,
    /// The data directory.
    pub data: PathBuf,
}
