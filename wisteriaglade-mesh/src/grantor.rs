//! Grants of key ranges in the answers to a target's heartbeats.
//!
//! A host process whose target takes its ranges in these answers owns one
//! [`Grantor`]. It passes in the leases and key ranges that it receives from the
//! leader and the heartbeats of its target.

use std::time::Duration;

use wisteriaglade_types::Name;

use crate::{Allotment, Owner, Span};

/// The shortest hold that is granted. A shorter one would expire before the
/// target's next heartbeat renews it.
const MIN_HOLD: Duration = Duration::from_millis(300);

/// The most bytes that the ranges of an answer take, encoded as lists of text. A target
/// does not accept an answer of more than 4 KiB; the rest is for its other parts.
const MAX_RANGES_BYTES: usize = 3_584;

/// The answer to a heartbeat: the key ranges that the target may hold, and for
/// how long.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Grant {
    /// The keys, the fencing token of their grant, and the handover text of the
    /// previous holder. The text is empty if there is none or the target holds
    /// the keys already.
    pub ranges: Vec<(Span, u64, Name)>,
    /// How long the target may hold the keys, counted from when it sent its
    /// heartbeat.
    pub hold: Duration,
    /// The number of ranges that are assigned to the target and left out, as the
    /// answer has no room for them.
    pub omitted: usize,
}

/// Decides, for each heartbeat of a target, which key ranges it may hold.
///
/// Three rules together ensure that a key has at most one holder:
///
/// - The leader gives the host a lease. It reassigns the target's keys only
///   after the lease and every hold under it have expired.
/// - The host grants no hold that outlasts the lease.
/// - The host never grants a range again under a fencing token that the target
///   has released, even if an earlier directory still names the target.
#[derive(Debug, Default)]
pub struct Grantor {
    /// What the leader has assigned to the target that sent the last heartbeat.
    pub allotment: Allotment,
    /// Ranges that the target holds: those of its last heartbeat or, once that
    /// was answered, of the answer.
    held: Vec<(Span, u64)>,
}

impl Grantor {
    /// Returns whether the target holds a key, according to its heartbeats and
    /// their answers.
    #[must_use]
    pub fn holds(&self, key: u16) -> bool {
        self.held.iter().any(|(span, _)| span.contains(key))
    }

    /// Answers a heartbeat that `owner` sent.
    ///
    /// `holds` lists the ranges that the target holds or still runs requests
    /// for, with their fencing tokens. `released` lists the ranges that it has
    /// released since its last answered heartbeat, with the handover text for
    /// the next holder. `limit` is the longest hold to grant.
    ///
    /// Returns `None` if the lease ends too soon, so that no hold is renewed.
    pub fn heartbeat(
        &mut self,
        now: Duration,
        owner: &Owner,
        holds: &[(Span, u64)],
        released: &[(Span, Name)],
        limit: Duration,
    ) -> Option<Grant> {
        if self.allotment.owner() != Some(owner) {
            self.allotment = Allotment::of(owner.clone(), now);
            self.held.clear();
        }
        let before = std::mem::replace(&mut self.held, holds.to_vec());
        for (span, handover) in released {
            self.allotment.release(*span, handover);
        }
        self.release_expired(&before);
        let hold = self.allotment.lease_left(now).min(limit);
        if hold < MIN_HOLD {
            return None;
        }
        let assigned: Vec<(Span, u64, Name)> = self
            .allotment
            .grantable()
            .iter()
            .filter(|(span, fence, _)| !self.allotment.is_released(*span, *fence))
            .cloned()
            .collect();
        let count = assigned.len();
        let ranges = fit_ranges(assigned, holds);
        let omitted = count - ranges.len();
        // When the target reads the answer, it holds the listed ranges and
        // drops all others.
        self.held = ranges
            .iter()
            .map(|(span, fence, _)| (*span, *fence))
            .collect();
        Some(Grant {
            ranges,
            hold,
            omitted,
        })
    }

    /// Records ranges that have to move as released once their hold has expired.
    ///
    /// Targets don't report holds that expire. A hold has expired when neither
    /// this heartbeat nor `before` names the range. `before` are the ranges of
    /// the previous answer, which the target may have read only after it sent
    /// this heartbeat.
    fn release_expired(&mut self, before: &[(Span, u64)]) {
        let is_named = |span: Span, fence: u64, ranges: &[(Span, u64)]| {
            let mut ranges = ranges.iter();
            ranges.any(|(other, token)| *token == fence && other.overlap(span).is_some())
        };
        for (span, fence) in self.allotment.moving().to_vec() {
            let is_held = is_named(span, fence, before) || is_named(span, fence, &self.held);
            if !is_held {
                self.allotment.release_under(span, fence, &Name::from(""));
            }
        }
    }
}

/// Returns as many of the assigned ranges as an answer has room for: those that the
/// target holds, then the others, then the handover texts of the others. A target that
/// holds a range has received its text already.
fn fit_ranges(assigned: Vec<(Span, u64, Name)>, holds: &[(Span, u64)]) -> Vec<(Span, u64, Name)> {
    let is_held = |span: Span, fence: u64| {
        let mut holds = holds.iter();
        holds.any(|(held, token)| *token == fence && held.overlap(span) == Some(span))
    };
    let (held, other): (Vec<_>, Vec<_>) = assigned
        .into_iter()
        .partition(|(span, fence, _)| is_held(*span, *fence));
    let mut left = MAX_RANGES_BYTES;
    let mut take = |size: usize| {
        let fits = size <= left;
        left -= if fits { size } else { 0 };
        fits
    };
    let mut ranges: Vec<(Span, u64, Name)> = Vec::with_capacity(held.len() + other.len());
    for (span, fence, _) in held.iter().chain(&other) {
        if take(encoded_size(*span, *fence)) {
            ranges.push((*span, *fence, Name::from("")));
        }
    }
    for (span, fence, handover) in other {
        let range = ranges
            .iter_mut()
            .find(|(known, token, _)| *known == span && *token == fence);
        if let Some(range) = range
            && take(handover.as_str().len())
        {
            range.2 = handover.clone();
        }
    }
    ranges.sort_unstable();
    ranges
}

/// Returns the size in bytes of a range as a list of its keys, its token and a text
/// without characters, with a comma behind it.
fn encoded_size(span: Span, fence: u64) -> usize {
    const PUNCTUATION: usize = r#"[,,,""],"#.len();
    let digits = |number: u64| number.checked_ilog10().map_or(1, |log| log as usize + 1);
    digits(span.from.into()) + digits(span.to.into()) + digits(fence) + PUNCTUATION
}
