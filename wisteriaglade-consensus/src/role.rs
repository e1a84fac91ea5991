//! The part a replica plays in its term.

use std::fmt;

/// The part that a replica plays in its current term.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Role {
    /// Accepts entries from a leader.
    Follower,
    /// Asks whether an election could succeed, without a new term.
    PreCandidate,
    /// Asks for votes in a new term.
    Candidate,
    /// Appends and replicates entries.
    Leader,
}

impl Role {
    /// The name used in logs and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Follower => "follower",
            Self::PreCandidate => "pre-candidate",
            Self::Candidate => "candidate",
            Self::Leader => "leader",
        }
    }
}

impl fmt::Display for Role {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
