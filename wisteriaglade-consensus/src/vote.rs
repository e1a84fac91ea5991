//! The durable part of an election.

use serde::{Deserialize, Serialize};
use wisteriaglade_types::Term;

use crate::Replica;

/// The current term and the vote given in it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vote {
    /// The latest term that this replica has seen.
    pub term: Term,
    /// The replica that got this replica's vote in the term.
    pub voted: Option<Replica>,
}
