//! The entries of the replicated log.

use serde::{Deserialize, Serialize};
use wisteriaglade_types::{Index, Term};

use crate::Payload;

/// One entry of the replicated log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The position in the log. The first entry has index 1.
    pub index: Index,
    /// The term of the leader that created the entry.
    pub term: Term,
    /// What the entry carries: a command, a new group or nothing.
    pub payload: Payload,
}
