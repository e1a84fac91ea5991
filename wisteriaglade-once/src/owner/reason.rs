use std::fmt;

/// Why a request was refused without running.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Reason {
    /// This process does not own the shard, or no longer.
    NotOwner,
    /// Too few holders could be reached.
    Unavailable,
    /// Too few holders have room for the record.
    Full,
    /// The deadline passed before the start was recorded.
    Deadline,
    /// The idempotency key was used with another method or path.
    Mismatch,
    /// The caller of the package reported that the work did not run.
    Aborted,
}

impl Reason {
    /// The reason as it stands in a refusal.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotOwner => "not-owner",
            Self::Unavailable => "holders-unavailable",
            Self::Full => "holders-full",
            Self::Deadline => "deadline",
            Self::Mismatch => "key-reused",
            Self::Aborted => "aborted",
        }
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
