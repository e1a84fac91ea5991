//! The result of a command, which every replica computes alike.

use serde::{Deserialize, Serialize};
use wisteriaglade_types::{Name, Node, Version};

use crate::Reason;

/// The result of a command, as returned by
/// [`State::apply`](crate::State::apply).
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The node joined, or had joined before, with this id.
    Joined(Node),
    /// The command took effect. For a command about several shards, at least
    /// one of them changed, or there were none.
    Accepted,
    /// The rules were replaced; their new version.
    Version(Version),
    /// The rules were not replaced, because the base was not the current
    /// version. The fields describe the change that made the current version.
    Conflict {
        /// The current version when the change was first applied.
        version: Version,
        /// The id of the change that made that version; 0 for version 0.
        id: u128,
        /// The operator who made that change; empty for version 0.
        operator: Name,
    },
    /// The command had no effect, for this reason.
    Refused(Reason),
}
