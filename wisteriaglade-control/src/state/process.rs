//! The description of a node.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use wisteriaglade_types::{Name, Node};

use super::Status;
use crate::Target;

/// The description of a node. A node is one run of a process: a restarted
/// process joins as a new node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Process {
    pub(crate) node: Node,
    pub(crate) nonce: u128,
    pub(crate) host: Name,
    pub(crate) data_centre: Name,
    pub(crate) caller: SocketAddr,
    pub(crate) peer: SocketAddr,
    pub(crate) admin: SocketAddr,
    pub(crate) status: Status,
    pub(crate) announcement: Option<(Name, Target)>,
    pub(crate) shard_count: u32,
}

impl Process {
    /// Returns the id of the node: the index of the entry with which it joined.
    #[must_use]
    pub const fn node(&self) -> Node {
        self.node
    }

    /// Returns the host that the process runs on.
    #[must_use]
    pub const fn host(&self) -> &Name {
        &self.host
    }

    /// Returns the data centre of the host.
    #[must_use]
    pub const fn data_centre(&self) -> &Name {
        &self.data_centre
    }

    /// Returns the caller address, where callers connect to the node.
    #[must_use]
    pub const fn caller(&self) -> SocketAddr {
        self.caller
    }

    /// Returns the peer address, where other nodes and replicas connect to the
    /// node.
    #[must_use]
    pub const fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// Returns the admin address, where operators and the local target connect
    /// to the node.
    #[must_use]
    pub const fn admin(&self) -> SocketAddr {
        self.admin
    }

    /// Returns the status of the node, which decides whether it may receive
    /// shards.
    #[must_use]
    pub const fn status(&self) -> Status {
        self.status
    }

    /// Returns the pool of the target, or `None` before the target has
    /// announced itself.
    #[must_use]
    pub fn pool(&self) -> Option<&Name> {
        self.announcement.as_ref().map(|(pool, _)| pool)
    }

    /// Returns the target, or `None` before it has announced itself.
    #[must_use]
    pub fn target(&self) -> Option<&Target> {
        self.announcement.as_ref().map(|(_, target)| target)
    }

    /// Returns the number of shards that the node owns, dedicated ones
    /// included.
    #[must_use]
    pub const fn shard_count(&self) -> u32 {
        self.shard_count
    }

    /// Returns whether the node may receive shards of `pool`.
    #[must_use]
    pub fn is_ready(&self, pool: &str) -> bool {
        self.status == Status::Ready && self.pool().is_some_and(|own| own.as_str() == pool)
    }

    /// Returns whether the node is fenced.
    #[must_use]
    pub const fn is_fenced(&self) -> bool {
        matches!(self.status, Status::Fenced { .. })
    }
}
