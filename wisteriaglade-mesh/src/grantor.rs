//! Grants of key ranges by a host to its target.
//!
//! A host process owns one [`Grantor`]. It passes in the leases and key ranges
//! that it receives from the leader and the heartbeats of its target.

use std::{collections::BTreeMap, time::Duration};

use wisteriaglade_types::Name;

use crate::{Keyspace, Owner, Span};

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
    /// The target that sent the last heartbeat.
    owner: Option<Owner>,
    /// The log index that the key ranges reflect.
    index: u64,
    /// Ranges that the target may hold: keys, fencing token, handover text.
    grantable: Vec<(Span, u64, Name)>,
    /// Ranges that the target still owns but has to release to another one:
    /// keys and fencing token.
    moving: Vec<(Span, u64)>,
    lease_end: Duration,
    /// Released ranges that the log does not show yet.
    released: Vec<(Span, u64, Name)>,
    /// Ranges that the target holds: those of its last heartbeat or, once that
    /// was answered, of the answer.
    held: Vec<(Span, u64)>,
}

impl Grantor {
    /// Returns the ranges that the target has released and the log does not show
    /// yet: keys, fencing token, handover text.
    #[must_use]
    pub fn released(&self) -> &[(Span, u64, Name)] {
        &self.released
    }

    /// Returns whether the target holds a key, according to its heartbeats and
    /// their answers.
    #[must_use]
    pub fn holds(&self, key: u16) -> bool {
        self.held.iter().any(|(span, _)| span.contains(key))
    }

    /// Returns the time until the lease expires, zero if it has expired.
    #[must_use]
    pub fn lease_left(&self, now: Duration) -> Duration {
        self.lease_end.saturating_sub(now)
    }

    /// Extends the lease to `length` after `sent`, when the host sent the report
    /// that the leader has confirmed with the lease.
    pub fn extend_lease(&mut self, sent: Duration, length: Duration) {
        self.lease_end = self.lease_end.max(sent + length);
    }

    /// Ends the lease, because the target has stopped sending heartbeats.
    pub fn drop_lease(&mut self) {
        self.lease_end = Duration::ZERO;
    }

    /// Replaces the key ranges by those that reflect the log entry `index`. An
    /// index below the last one is ignored.
    pub fn update(&mut self, index: u64, keyspaces: &BTreeMap<Name, Keyspace>) {
        if index < self.index {
            return;
        }
        self.index = index;
        self.grantable.clear();
        self.moving.clear();
        let Some(owner) = &self.owner else { return };
        let ranges = keyspaces.values().flat_map(Keyspace::ranges);
        for range in ranges.filter(|range| range.owner.as_ref() == Some(owner)) {
            if range.next.is_none() {
                let granted = (range.span, range.fence, range.handover.clone());
                self.grantable.push(granted);
            } else {
                self.moving.push((range.span, range.fence));
            }
        }
        let current: Vec<_> = self.owned().collect();
        self.released.retain(|(span, fence, _)| {
            current
                .iter()
                .any(|(other, held)| held == fence && other.overlap(*span).is_some())
        });
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
        if self.owner.as_ref() != Some(owner) {
            *self = Self {
                owner: Some(owner.clone()),
                ..Self::default()
            };
        }
        let before = std::mem::replace(&mut self.held, holds.to_vec());
        for (span, handover) in released {
            self.release(*span, handover);
        }
        self.release_expired(&before);
        let hold = self.lease_end.saturating_sub(now).min(limit);
        if hold < MIN_HOLD {
            return None;
        }
        let ranges: Vec<(Span, u64, Name)> = self
            .grantable
            .iter()
            .filter(|(span, fence, _)| !self.is_released(*span, *fence))
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

    /// Records the release of a span, under the fencing tokens of its grants.
    fn release(&mut self, span: Span, handover: &Name) {
        let parts: Vec<_> = self
            .owned()
            .filter_map(|(range, fence)| Some((range.overlap(span)?, fence)))
            .collect();
        for (part, fence) in parts {
            if !self.is_released(part, fence) {
                self.released.push((part, fence, handover.clone()));
            }
        }
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
        for (span, fence) in self.moving.clone() {
            let is_held = is_named(span, fence, before) || is_named(span, fence, &self.held);
            if !is_held && !self.is_released(span, fence) {
                self.released.push((span, fence, Name::from("")));
            }
        }
    }

    fn is_released(&self, span: Span, fence: u64) -> bool {
        self.released
            .iter()
            .any(|(other, held, _)| *held == fence && other.overlap(span).is_some())
    }

    /// Returns the ranges that the target owns according to the leader.
    fn owned(&self) -> impl Iterator<Item = (Span, u64)> {
        let grantable = self
            .grantable
            .iter()
            .map(|(span, fence, _)| (*span, *fence));
        grantable.chain(self.moving.iter().copied())
    }
}
