//! Snapshots of the state machine.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use wisteriaglade_types::{Index, Term};

use crate::Replica;

/// The state machine as of one committed entry, which replaces all entries up
/// to it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The index of the last entry that the snapshot includes.
    pub index: Index,
    /// The term of that entry.
    pub term: Term,
    /// The group as of that entry.
    pub members: Vec<Replica>,
    /// The state machine in the driver's encoding.
    #[serde(with = "crate::bytes")]
    pub data: Arc<[u8]>,
}
