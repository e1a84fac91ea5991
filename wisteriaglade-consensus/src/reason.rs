//! The reasons for which a replica drops a proposal.

use std::fmt;

/// Why a proposal or a change of the group was dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Reason {
    /// This replica is not the leader. The proposal was not appended.
    NotLeader,
    /// This replica appended the proposal, then lost its leadership or its
    /// storage. The proposal may still be committed.
    Deposed,
    /// The command exceeds
    /// [`Config::max_command_bytes`](crate::Config::max_command_bytes). The
    /// proposal was not appended.
    TooLarge,
    /// The number of uncommitted entries has reached
    /// [`Config::max_uncommitted_entries`](crate::Config::max_uncommitted_entries),
    /// or another change of the group is not complete. The proposal was not
    /// appended.
    Busy,
    /// The change of the group adds or removes more than one replica, or
    /// leaves no member. It was not appended.
    Invalid,
    /// The storage of this replica has failed. The proposal was not appended.
    StorageFailed,
}

impl Reason {
    /// Returns whether the outcome is unknown: the proposal may still be
    /// committed.
    #[must_use]
    pub const fn is_outcome_unknown(self) -> bool {
        matches!(self, Self::Deposed)
    }

    /// Returns the name used in logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotLeader => "not-leader",
            Self::Deposed => "deposed",
            Self::TooLarge => "too-large",
            Self::Busy => "busy",
            Self::Invalid => "invalid",
            Self::StorageFailed => "failed",
        }
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
