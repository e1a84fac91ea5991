//! The description of a target: the server beside a node that executes its
//! requests.

use std::{net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};

/// A target, as it describes itself when it announces to its node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// The address where its node connects to it.
    pub address: SocketAddr,
    /// The number of requests that it executes concurrently, at least 1.
    pub slots: u32,
    /// The maximum number of connections that it accepts.
    pub connections: u32,
    /// Whether it checks fencing tokens, that is, refuses requests with an
    /// epoch below the highest that it has seen.
    pub fencing: bool,
    /// The duration of its cold start: the time from its start until it runs at
    /// full speed.
    pub cold_start: Duration,
}
