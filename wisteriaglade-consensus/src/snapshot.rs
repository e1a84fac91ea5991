//! A snapshot of the state machine.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use wisteriaglade_types::{Index, Term};

use crate::Replica;

/// The state machine after an entry was applied.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The last applied entry.
    pub index: Index,
    /// The term of that entry.
    pub term: Term,
    /// The group as of that entry.
    pub members: Vec<Replica>,
    /// The encoded state machine.
    #[serde(with = "crate::bytes")]
    pub data: Arc<[u8]>,
}
