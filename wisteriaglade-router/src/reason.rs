//! Why a request was refused or cancelled.

use std::fmt;

/// The reason of a refusal or of a cancellation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reason {
    /// The queue is full and the member is the furthest over its share.
    Full,
    /// On arrival the expected wait did not fit the deadline.
    Deadline,
    /// The deadline passed, or could no longer be met, after admission.
    Expired,
    /// A fresher request of the same caller took its place at peak load.
    Overload,
    /// The caller disconnected.
    Departed,
    /// The target is leaving.
    Draining,
    /// No target is announced.
    Absent,
    /// The target does not respond.
    Unresponsive,
}

impl Reason {
    /// All reasons, in the order of [`Usage::refused`](crate::Usage::refused).
    pub const ALL: [Self; 8] = [
        Self::Full,
        Self::Deadline,
        Self::Expired,
        Self::Overload,
        Self::Departed,
        Self::Draining,
        Self::Absent,
        Self::Unresponsive,
    ];

    /// The label of the reason in metrics and response bodies.
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
