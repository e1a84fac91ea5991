//! The payloads of log entries.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::Replica;

/// What an entry carries.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// Nothing. A leader appends such an entry at the start of its term; its
    /// commit also commits the entries of earlier terms.
    Noop,
    /// A command for the state machine, in the driver's encoding.
    Data(#[serde(with = "crate::bytes")] Arc<[u8]>),
    /// All members of the group from this entry on.
    Members(Vec<Replica>),
}

impl Payload {
    /// Returns the approximate encoded size in bytes.
    #[must_use]
    pub fn size(&self) -> usize {
        match self {
            Self::Noop => 1,
            Self::Data(data) => data.len() + 4,
            Self::Members(members) => members.len() * 10 + 4,
        }
    }
}
