//! The result of a command.

use serde::{Deserialize, Serialize};
use wisteriaglade_types::{Name, Node, Version};

use crate::Reason;

/// What [`State::apply`](crate::State::apply) returns.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The id of the node that joined.
    Joined(Node),
    /// The command took effect. For a command with several moves, at least one
    /// of them did.
    Accepted,
    /// The version of the rules that the change made.
    Version(Version),
    /// The change had a wrong base. The fields describe the change that is in
    /// force instead.
    Conflict {
        /// The version in force when the change was first applied.
        version: Version,
        /// The id of the change that made it; 0 for version 0.
        id: u128,
        /// Who made it; empty for version 0.
        operator: Name,
    },
    /// The command had no effect.
    Refused(Reason),
}
