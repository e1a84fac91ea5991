//! The identity of a key range's owner.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use wisteriaglade_types::Name;

/// One run of a target, from its start to its end.
///
/// A target that restarts under the same id no longer holds the key ranges of
/// its earlier run, so the id alone does not identify an owner.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Owner {
    /// The id that the target announces.
    pub target: Name,
    /// When the target started, in Unix milliseconds by its own clock.
    pub started_ms: u64,
    /// The address where its host process accepts connections of other hosts.
    /// A host has one target, so a later target at the same address shows that
    /// this one has ended.
    pub host_address: SocketAddr,
}
