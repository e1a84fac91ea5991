use std::fmt;

/// Why a request was refused without running.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Reason {
    /// This process does not own the shard or the key, or no longer.
    NotOwner,
    /// Fewer than a majority of the holders could be reached.
    Unavailable,
    /// Fewer than a majority of the holders stored the start, and at least one of the others
    /// had no room for it.
    Full,
    /// The deadline passed before the start was recorded.
    Deadline,
    /// The idempotency key was already used with another method or path.
    KeyReused,
    /// The driver reported that the request did not run, by
    /// [`Event::Abort`](super::Event::Abort).
    Aborted,
}

impl Reason {
    /// The name of the reason in logs and refusals.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotOwner => "not-owner",
            Self::Unavailable => "holders-unavailable",
            Self::Full => "holders-full",
            Self::Deadline => "deadline",
            Self::KeyReused => "key-reused",
            Self::Aborted => "aborted",
        }
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
