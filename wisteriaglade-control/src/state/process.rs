//! The record of a node.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use wisteriaglade_types::{Name, Node};

use super::Status;
use crate::Target;

/// The record of a node: one start of a process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Process {
    pub(crate) node: Node,
    pub(crate) ticket: u128,
    pub(crate) host: Name,
    pub(crate) data_centre: Name,
    pub(crate) caller: SocketAddr,
    pub(crate) peer: SocketAddr,
    pub(crate) admin: SocketAddr,
    pub(crate) status: Status,
    pub(crate) service: Option<(Name, Target)>,
    pub(crate) held: u32,
}

impl Process {
    /// The id of the node.
    #[must_use]
    pub const fn node(&self) -> Node {
        self.node
    }

    /// The machine that the process runs on.
    #[must_use]
    pub const fn host(&self) -> &Name {
        &self.host
    }

    /// The data centre of the machine.
    #[must_use]
    pub const fn data_centre(&self) -> &Name {
        &self.data_centre
    }

    /// Where callers reach the process.
    #[must_use]
    pub const fn caller(&self) -> SocketAddr {
        self.caller
    }

    /// Where other processes reach the process.
    #[must_use]
    pub const fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// Where operators and the local target reach the process.
    #[must_use]
    pub const fn admin(&self) -> SocketAddr {
        self.admin
    }

    /// Whether the node may receive shards.
    #[must_use]
    pub const fn status(&self) -> Status {
        self.status
    }

    /// The pool of the target, once it has announced itself.
    #[must_use]
    pub fn pool(&self) -> Option<&Name> {
        self.service.as_ref().map(|(pool, _)| pool)
    }

    /// The target, once it has announced itself.
    #[must_use]
    pub fn target(&self) -> Option<&Target> {
        self.service.as_ref().map(|(_, target)| target)
    }

    /// The number of shards that the node owns.
    #[must_use]
    pub const fn held(&self) -> u32 {
        self.held
    }

    /// Whether the node may receive shards of `pool`.
    #[must_use]
    pub fn is_ready(&self, pool: &str) -> bool {
        self.status == Status::Ready && self.pool().is_some_and(|own| own.as_str() == pool)
    }

    /// Whether the node is fenced.
    #[must_use]
    pub const fn is_fenced(&self) -> bool {
        matches!(self.status, Status::Fenced { .. })
    }
}
