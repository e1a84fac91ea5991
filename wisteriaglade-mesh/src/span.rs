//! A run of neighbouring keys.

use serde::{Deserialize, Serialize};

/// The keys from `from` to `to`, both included.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Span {
    /// The first key.
    pub from: u16,
    /// The last key.
    pub to: u16,
}

impl Span {
    /// All keys of a pool.
    pub const ALL: Self = Self {
        from: 0,
        to: u16::MAX,
    };

    /// The keys from `from` to `to`.
    #[must_use]
    pub const fn new(from: u16, to: u16) -> Self {
        Self { from, to }
    }

    /// The number of keys.
    #[must_use]
    pub fn len(self) -> u32 {
        (u32::from(self.to) + 1).saturating_sub(u32::from(self.from))
    }

    /// Whether the span has no key.
    #[must_use]
    pub fn is_empty(self) -> bool {
        self.len() == 0
    }

    /// Whether the span has the key.
    #[must_use]
    pub fn contains(self, key: u16) -> bool {
        self.from <= key && key <= self.to
    }

    /// The keys that both spans have.
    #[must_use]
    pub fn overlap(self, other: Self) -> Option<Self> {
        let span = Self::new(self.from.max(other.from), self.to.min(other.to));
        (span.from <= span.to).then_some(span)
    }
}
