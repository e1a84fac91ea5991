//! The key ranges of a sharded pool.
//!
//! [`State`](crate::State) owns one [`Keyspace`] for each sharded pool. Hosts
//! keep copies, which the leader's directory brings up to date.

use serde::{Deserialize, Serialize};
use wisteriaglade_types::Name;

use crate::{Owner, Range, Span};

/// All key ranges of a pool, in ascending order and without gaps.
///
/// Neighbouring ranges with the same owner and fencing token are merged.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Keyspace {
    ranges: Vec<Range>,
}

impl Default for Keyspace {
    fn default() -> Self {
        Self {
            ranges: vec![Range {
                span: Span::ALL,
                owner: None,
                fence: 0,
                handover: Name::from(""),
                next: None,
                index: 0,
            }],
        }
    }
}

impl Keyspace {
    /// Returns the ranges in ascending order.
    #[must_use]
    pub fn ranges(&self) -> &[Range] {
        &self.ranges
    }

    /// Returns the range that contains a key.
    #[must_use]
    pub fn find(&self, key: u16) -> Option<&Range> {
        let at = self.ranges.partition_point(|range| range.span.to < key);
        self.ranges.get(at).filter(|range| range.span.contains(key))
    }

    /// Returns the ranges that log entries after `index` have changed.
    #[must_use]
    pub fn changed_since(&self, index: u64) -> Vec<Range> {
        let ranges = self.ranges.iter();
        ranges
            .filter(|range| range.index > index)
            .cloned()
            .collect()
    }

    /// Overwrites the keys of the given ranges, which come from a newer copy.
    pub fn merge(&mut self, ranges: &[Range]) {
        for new in ranges {
            self.edit(new.span, |range| *range = new.with_span(range.span));
        }
    }

    /// Returns whether no key was ever granted.
    #[must_use]
    pub fn is_new(&self) -> bool {
        self.ranges.iter().all(|range| range.fence == 0)
    }

    /// Grants the unowned keys of each span to an owner, with `index` as the
    /// fencing token. Keys that have an owner stay as they are.
    pub(crate) fn grant(&mut self, index: u64, grants: &[(Span, Owner)]) {
        for (span, owner) in grants {
            self.edit_and_mark(index, *span, |range| {
                if range.owner.is_none() {
                    range.owner = Some(owner.clone());
                    range.fence = index;
                    range.next = None;
                }
            });
        }
    }

    /// Sets the next owner of the owned keys in each span. The current holder
    /// keeps them until it has released them.
    pub(crate) fn request_moves(&mut self, index: u64, moves: &[(Span, Owner)]) {
        for (span, to) in moves {
            self.edit_and_mark(index, *span, |range| {
                if range.owner.as_ref().is_some_and(|owner| owner != to) {
                    range.next = Some(to.clone());
                }
            });
        }
    }

    /// Removes a holder from the keys that it has released.
    ///
    /// Each entry of `released` holds the keys, the fencing token under which
    /// they were held and the handover text for the next holder. Entries with
    /// another token are outdated and ignored. Keys with a next owner go to it
    /// at once, with `index` as the new fencing token.
    pub(crate) fn release(&mut self, index: u64, owner: &Owner, released: &[(Span, u64, Name)]) {
        for (span, token, handover) in released {
            self.edit_and_mark(index, *span, |range| {
                if range.owner.as_ref() == Some(owner) && range.fence == *token {
                    range.owner = range.next.take();
                    range.handover = handover.clone();
                    if range.owner.is_some() {
                        range.fence = index;
                    }
                }
            });
        }
    }

    /// Removes an owner from all its keys, because it no longer runs or all
    /// its holds have expired. Keys with a next owner go to it at once.
    pub(crate) fn revoke(&mut self, index: u64, owner: &Owner) {
        self.edit_and_mark(index, Span::ALL, |range| {
            if range.next.as_ref() == Some(owner) {
                range.next = None;
            }
            if range.owner.as_ref() == Some(owner) {
                range.owner = range.next.take();
                range.handover = Name::from("");
                if range.owner.is_some() {
                    range.fence = index;
                }
            }
        });
    }

    /// Edits the ranges in a span and sets the log index of those that differ
    /// afterwards.
    fn edit_and_mark(&mut self, index: u64, span: Span, mut edit: impl FnMut(&mut Range)) {
        self.edit(span, |range| {
            let before = range.clone();
            edit(range);
            if *range != before {
                range.index = index;
            }
        });
    }

    /// Applies `edit` to the part of each range that lies in a span, splitting
    /// ranges at the edges of the span and merging equal neighbours.
    fn edit(&mut self, span: Span, mut edit: impl FnMut(&mut Range)) {
        let mut ranges: Vec<Range> = Vec::with_capacity(self.ranges.len() + 2);
        let mut push = |range: Range| match ranges.last_mut() {
            Some(last) if last.merges_with(&range) => {
                last.span.to = range.span.to;
                last.index = last.index.max(range.index);
            }
            _ => ranges.push(range),
        };
        for range in self.ranges.drain(..) {
            let Some(inside) = range.span.overlap(span) else {
                push(range);
                continue;
            };
            if range.span.from < inside.from {
                push(range.with_span(Span::new(range.span.from, inside.from - 1)));
            }
            let mut part = range.with_span(inside);
            edit(&mut part);
            push(part);
            if inside.to < range.span.to {
                push(range.with_span(Span::new(inside.to + 1, range.span.to)));
            }
        }
        self.ranges = ranges;
    }
}
