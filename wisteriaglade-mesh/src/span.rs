//! A contiguous interval of keys.

use serde::{Deserialize, Serialize};

/// The keys from `from` to `to`, both inclusive.
///
/// A key is the 16-bit number to which the key of a request is mapped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Span {
    /// The first key.
    pub from: u16,
    /// The last key.
    pub to: u16,
}

impl Span {
    /// All keys that a pool has.
    pub const ALL: Self = Self {
        from: 0,
        to: u16::MAX,
    };

    /// Creates the span from `from` to `to`, both inclusive.
    #[must_use]
    pub const fn new(from: u16, to: u16) -> Self {
        Self { from, to }
    }

    /// Returns the number of keys.
    #[must_use]
    pub fn len(self) -> u32 {
        (u32::from(self.to) + 1).saturating_sub(u32::from(self.from))
    }

    /// Returns whether the span contains no key, because `from` is above `to`.
    #[must_use]
    pub fn is_empty(self) -> bool {
        self.len() == 0
    }

    /// Returns whether the span contains a key.
    #[must_use]
    pub fn contains(self, key: u16) -> bool {
        self.from <= key && key <= self.to
    }

    /// Returns the keys that both spans contain, or `None` if there are none.
    #[must_use]
    pub fn overlap(self, other: Self) -> Option<Self> {
        let span = Self::new(self.from.max(other.from), self.to.min(other.to));
        (span.from <= span.to).then_some(span)
    }
}
