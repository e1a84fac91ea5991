//! Reasons for refusals and cancellations.

use std::fmt;

/// The reason why the router refused or cancelled a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reason {
    /// The queue is full, or the member has reached its own queue limit. Of all
    /// members, the one that is furthest over its share is refused.
    Full,
    /// On arrival, the expected wait was too long for the deadline.
    Deadline,
    /// After admission, the deadline passed or could no longer be met.
    Expired,
    /// While there was a standing queue, a newer request of the same caller
    /// replaced this one.
    Overload,
    /// The caller disconnected.
    Departed,
    /// The target is draining and its grace period is over, or would be before
    /// the request could be dispatched.
    Draining,
    /// No target is announced.
    Absent,
    /// The target does not respond.
    Unresponsive,
    /// The target would get more requests than the rate limit that it names.
    Limited,
}

impl Reason {
    /// All reasons, in the order of the counts in
    /// [`Usage::refused`](crate::Usage::refused).
    pub const ALL: [Self; 9] = [
        Self::Full,
        Self::Deadline,
        Self::Expired,
        Self::Overload,
        Self::Departed,
        Self::Draining,
        Self::Absent,
        Self::Unresponsive,
        Self::Limited,
    ];

    /// Returns the name of the reason, as it appears in metrics and response
    /// bodies.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Full => "full",
            Self::Deadline => "deadline",
            Self::Expired => "expired",
            Self::Overload => "overload",
            Self::Departed => "departed",
            Self::Draining => "draining",
            Self::Absent => "absent",
            Self::Unresponsive => "unresponsive",
            Self::Limited => "limited",
        }
    }

    pub(crate) const fn index(self) -> usize {
        self as usize
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
