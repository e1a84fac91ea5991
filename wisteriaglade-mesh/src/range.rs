//! A key range and its holder.

use serde::{Deserialize, Serialize};
use wisteriaglade_types::Name;

use crate::{Owner, Span};

/// A key range with its holder.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Range {
    /// The keys.
    pub span: Span,
    /// The holder, if there is one.
    pub owner: Option<Owner>,
    /// The fencing token of the current grant; it rises with every grant.
    pub fence: u64,
    /// What the last holder passed on for the next one; empty when it passed
    /// on nothing.
    pub handover: Name,
    /// Who takes the range once the holder has released it.
    pub next: Option<Owner>,
    /// The log entry that last changed the range.
    pub index: u64,
}

impl Range {
    /// The same range cut to a part of its keys.
    pub(crate) fn cut(&self, span: Span) -> Self {
        Self {
            span,
            ..self.clone()
        }
    }

    /// Whether two neighbouring ranges can be kept as one.
    pub(crate) fn joins(&self, next: &Self) -> bool {
        self.span.to.checked_add(1) == Some(next.span.from)
            && self.owner == next.owner
            && self.fence == next.fence
            && self.handover == next.handover
            && self.next == next.next
    }
}
