//! The term and the vote, which a replica must keep across restarts.

use serde::{Deserialize, Serialize};
use wisteriaglade_types::Term;

use crate::Replica;

/// The current term and the vote in it: `currentTerm` and `votedFor` of the
/// Raft paper.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vote {
    /// The highest term that this replica has learned of.
    pub term: Term,
    /// The replica that this replica voted for in the term, or `None` when it
    /// has not voted.
    pub voted_for: Option<Replica>,
}
