//! The addresses of a process.

use std::net::SocketAddr;

use serde::Deserialize;

/// Where a process listens.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// HTTP for callers.
    pub caller: SocketAddr,
    /// TCP and UDP for other processes of the system.
    pub peer: SocketAddr,
    /// HTTP for the target beside this process and for operators.
    pub admin: SocketAddr,
    /// Where others reach this process, when that differs from where it
    /// listens, for example behind address translation.
    #[serde(default)]
    pub advertise: Advertise,
}

/// The addresses that a process gives to others.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Advertise {
    /// In place of `listen.caller`.
    pub caller: Option<SocketAddr>,
    /// In place of `listen.peer`.
    pub peer: Option<SocketAddr>,
    /// In place of `listen.admin`.
    pub admin: Option<SocketAddr>,
}
