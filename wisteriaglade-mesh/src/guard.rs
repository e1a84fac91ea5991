//! Decides what a target may hold.

use std::{collections::BTreeMap, time::Duration};

use wisteriaglade_types::Name;

use crate::{Keyspace, Owner, Span};

/// The shortest hold worth granting: a target that gets less loses it before
/// its next heartbeat.
const HOLD_MIN: Duration = Duration::from_millis(300);

/// What a target may hold for how long.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Grant {
    /// The keys, the fencing token and what the last holder passed on.
    pub rows: Vec<(Span, u64, Name)>,
    /// How long, from when the target sent its heartbeat.
    pub hold: Duration,
}

/// The part of a host that answers its target's heartbeats.
///
/// Three promises keep a key with one holder. The leader gives a host a lease
/// and reassigns the keys of its target only when the lease and every hold
/// under it are over. The host grants holds that end with the lease. And it
/// never grants again what the target has released, whatever an earlier
/// directory says.
#[derive(Debug, Default)]
pub struct Guard {
    owner: Option<Owner>,
    index: u64,
    rows: Vec<(Span, u64, Name)>,
    /// Ranges that the leader has asked to pass on, still held by the target.
    leaving: Vec<(Span, u64)>,
    lease_end: Duration,
    released: Vec<(Span, u64, Name)>,
    held: Vec<(Span, u64)>,
}

impl Guard {
    /// What the target has released and the leader has not recorded yet.
    #[must_use]
    pub fn released(&self) -> &[(Span, u64, Name)] {
        &self.released
    }

    /// Whether the target holds a key as far as its heartbeats and their answers
    /// tell.
    #[must_use]
    pub fn holds(&self, key: u16) -> bool {
        self.held.iter().any(|(span, _)| span.contains(key))
    }

    /// How long the current lease lasts.
    #[must_use]
    pub fn lease_left(&self, now: Duration) -> Duration {
        self.lease_end.saturating_sub(now)
    }

    /// Takes a lease that the leader has confirmed for a report sent at `sent`.
    pub fn lease(&mut self, sent: Duration, length: Duration) {
        self.lease_end = self.lease_end.max(sent + length);
    }

    /// Gives up the lease, because the target is not heard of any more.
    pub fn drop_lease(&mut self) {
        self.lease_end = Duration::ZERO;
    }

    /// Takes the key ranges as of a log entry.
    pub fn update(&mut self, index: u64, keyspaces: &BTreeMap<Name, Keyspace>) {
        if index < self.index {
            return;
        }
        self.index = index;
        self.rows.clear();
        self.leaving.clear();
        let Some(owner) = &self.owner else { return };
        let ranges = keyspaces.values().flat_map(Keyspace::ranges);
        for range in ranges.filter(|range| range.owner.as_ref() == Some(owner)) {
            if range.next.is_none() {
                let row = (range.span, range.fence, range.handover.clone());
                self.rows.push(row);
            } else {
                self.leaving.push((range.span, range.fence));
            }
        }
        let current: Vec<_> = self.known().collect();
        self.released.retain(|(span, fence, _)| {
            current
                .iter()
                .any(|(other, held)| held == fence && other.overlap(*span).is_some())
        });
    }

    /// Answers a heartbeat of the target.
    ///
    /// `holds` is what the target holds or still works on, `released` what it
    /// has released since its last heartbeat that was answered. `None` renews
    /// nothing.
    pub fn beat(
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
        self.lapse(&before);
        let hold = self.lease_end.saturating_sub(now).min(limit);
        if hold < HOLD_MIN {
            return None;
        }
        let rows: Vec<(Span, u64, Name)> = self
            .rows
            .iter()
            .filter(|(span, fence, _)| !self.is_released(*span, *fence))
            .map(|(span, fence, handover)| {
                // A target that holds the range has used what it was handed.
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
        // The target takes new ranges and lets go of the others when it reads
        // the answer.
        self.held = rows
            .iter()
            .map(|(span, fence, _)| (*span, *fence))
            .collect();
        Some(Grant { rows, hold })
    }

    /// Notes a release under the fencing token of its grant.
    fn release(&mut self, span: Span, handover: &Name) {
        let parts: Vec<_> = self
            .known()
            .filter_map(|(range, fence)| Some((range.overlap(span)?, fence)))
            .collect();
        for (part, fence) in parts {
            if !self.is_released(part, fence) {
                self.released.push((part, fence, handover.clone()));
            }
        }
    }

    /// Notes as released what is to be passed on and has ended by itself: a
    /// hold that runs out is not announced. Neither the target nor the answer
    /// before, which the target may have read late, names the range any more.
    fn lapse(&mut self, before: &[(Span, u64)]) {
        let is_named = |span: Span, fence: u64, rows: &[(Span, u64)]| {
            let mut rows = rows.iter();
            rows.any(|(other, token)| *token == fence && other.overlap(span).is_some())
        };
        for (span, fence) in self.leaving.clone() {
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

    /// The target's ranges according to the leader.
    fn known(&self) -> impl Iterator<Item = (Span, u64)> {
        let rows = self.rows.iter().map(|(span, fence, _)| (*span, *fence));
        rows.chain(self.leaving.iter().copied())
    }
}
