//! The addresses of a process.

use std::net::SocketAddr;

use serde::Deserialize;

/// Where a process listens. Other processes reach it at the same addresses.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// HTTP for callers.
    pub caller: SocketAddr,
    /// TCP and UDP for other processes of the system.
    pub peer: SocketAddr,
    /// HTTP for the target beside this process and for operators.
    pub admin: SocketAddr,
}
