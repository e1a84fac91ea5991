//! A key range with its owner.

use serde::{Deserialize, Serialize};
use wisteriaglade_types::Name;

use crate::{Owner, Span};

/// A span of keys that share an owner and a fencing token.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Range {
    /// The keys of the range.
    pub span: Span,
    /// The holder; `None` while the keys are not granted to any target.
    pub owner: Option<Owner>,
    /// The fencing token of the last grant, which is the index of its log
    /// entry; 0 before the first one. It rises with every grant.
    pub fence: u64,
    /// Opaque text that the last holder passed to the next one with its
    /// release; empty if it passed none.
    pub handover: Name,
    /// The target that the range moves to once the holder has released it.
    pub next: Option<Owner>,
    /// The index of the log entry that last changed the range.
    pub index: u64,
}

impl Range {
    /// Returns a copy of the range with other keys.
    pub(crate) fn with_span(&self, span: Span) -> Self {
        Self {
            span,
            ..self.clone()
        }
    }

    /// Returns whether `next` follows this range without a gap and differs
    /// from it in nothing but its keys and log index.
    pub(crate) fn merges_with(&self, next: &Self) -> bool {
        self.span.to.checked_add(1) == Some(next.span.from)
            && self.owner == next.owner
            && self.fence == next.fence
            && self.handover == next.handover
            && self.next == next.next
    }
}
