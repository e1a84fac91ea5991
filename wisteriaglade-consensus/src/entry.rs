//! One entry of the log.

use serde::{Deserialize, Serialize};
use wisteriaglade_types::{Index, Term};

use crate::Payload;

/// One entry of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The position; the first entry has index 1.
    pub index: Index,
    /// The term of the leader that created the entry.
    pub term: Term,
    /// The content.
    pub payload: Payload,
}
