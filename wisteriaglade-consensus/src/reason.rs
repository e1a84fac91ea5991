//! Why a proposal was dropped.

use std::fmt;

/// Why a proposal was dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Reason {
    /// This replica is not the leader. The proposal was not appended.
    NotLeader,
    /// This replica lost its leadership or its storage after it had appended
    /// the proposal. The proposal may still be committed.
    Deposed,
    /// The data exceeds the limit of an entry. The proposal was not appended.
    TooLarge,
    /// Too many entries wait for their commit, or another change of the group
    /// is under way. The proposal was not appended.
    Busy,
    /// The change of the group replaces more than one replica or leaves none.
    /// The proposal was not appended.
    Invalid,
    /// The storage of this replica has failed. The proposal was not appended.
    Failed,
}

impl Reason {
    /// Whether the proposal may still be committed.
    #[must_use]
    pub const fn is_unknown(self) -> bool {
        matches!(self, Self::Deposed)
    }

    /// The name used in logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotLeader => "not-leader",
            Self::Deposed => "deposed",
            Self::TooLarge => "too-large",
            Self::Busy => "busy",
            Self::Invalid => "invalid",
            Self::Failed => "failed",
        }
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
