//! The back end server beside a node.

use std::{net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};

/// A back end server, as it announces itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// Where its node reaches it.
    pub address: SocketAddr,
    /// The number of requests that it runs at once, at least 1.
    pub slots: u32,
    /// The number of connections that it accepts.
    pub connections: u32,
    /// Whether it refuses requests with an epoch below the highest that it
    /// has seen.
    pub fencing: bool,
    /// The time after its start until it runs at full speed.
    pub cold_start: Duration,
}
