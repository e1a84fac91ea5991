//! What an entry carries.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::Replica;

/// The content of an entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// Nothing. A leader appends it at the start of its term so that earlier
    /// entries can be committed.
    Noop,
    /// A command for the state machine.
    Data(#[serde(with = "crate::bytes")] Arc<[u8]>),
    /// The replicas that form the group from this entry on.
    Members(Vec<Replica>),
}

impl Payload {
    /// The approximate encoded size in bytes.
    #[must_use]
    pub fn size(&self) -> usize {
        match self {
            Self::Noop => 1,
            Self::Data(data) => data.len() + 4,
            Self::Members(members) => members.len() * 10 + 4,
        }
    }
}
