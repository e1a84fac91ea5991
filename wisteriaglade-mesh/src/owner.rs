//! Who holds a key range.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use wisteriaglade_types::Name;

/// One life of a target.
///
/// A target that restarts under its old id holds nothing of what its former
/// life held, so the id alone does not name a holder.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Owner {
    /// The id that the target gives itself.
    pub target: Name,
    /// When it started, in Unix milliseconds of its own clock.
    pub born: u64,
    /// Where the process beside it takes links. A host has one target, so a
    /// later target there shows that this one has ended.
    pub host: SocketAddr,
}
