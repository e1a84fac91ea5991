//! The addresses of a process.

use std::net::SocketAddr;

use serde::Deserialize;

/// The addresses on which a process listens.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// The HTTP address for callers.
    pub caller: SocketAddr,
    /// The TCP and UDP address for other processes of the cluster.
    pub peer: SocketAddr,
    /// The HTTP address for operators and for the target beside this process.
    pub admin: SocketAddr,
    /// The addresses at which others reach this process, where they differ
    /// from those on which it listens, for example behind network address
    /// translation.
    #[serde(default)]
    pub advertise: Advertise,
}

/// The addresses that a process advertises to others. An absent one is the
/// address on which it listens.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Advertise {
    /// Replaces `listen.caller`.
    pub caller: Option<SocketAddr>,
    /// Replaces `listen.peer`.
    pub peer: Option<SocketAddr>,
    /// Replaces `listen.admin`.
    pub admin: Option<SocketAddr>,
}
