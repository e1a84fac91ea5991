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
        let ranges: Vec<(Span, u64, Name)> = self
            .allotment
            .grantable()
            .iter()
            .filter(|(span, fence, _)| !self.allotment.is_released(*span, *fence))
            .map(|(span, fence, handover)| {
                // A target that holds the range has received the text already.
                let is_held = holds
                    .iter()
                    .any(|(held, token)| token == fence && held.overlap(*span) == Some(*span));
                let handover = if is_held {
                    Name::from("")
                } else {
                    handover.clone()
                };
                (*span, *fence, handover)
            })
            .collect();
        // When the target reads the answer, it holds the listed ranges and
        // drops all others.
        self.held = ranges
            .iter()
            .map(|(span, fence, _)| (*span, *fence))
            .collect();
        Some(Grant { ranges, hold })
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
