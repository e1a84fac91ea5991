//! The roles of the Raft protocol.

use std::fmt;

/// The role of a replica in its current term.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Role {
    /// Accepts entries from the leader of the term, if there is one.
    Follower,
    /// Asks the others whether they would vote for it, without starting a new
    /// term.
    PreCandidate,
    /// Has started a new term and asks for votes in it.
    Candidate,
    /// Appends proposals to the log and replicates entries to the followers.
    Leader,
}

impl Role {
    /// Returns the name used in logs and metrics.
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
