//! The key ranges that the leader has assigned to a host's target.
//!
//! [`Grantor`](crate::Grantor) and [`Issuer`](crate::Issuer), which pass the
//! ranges on to the target, each own one [`Allotment`].

use std::{collections::BTreeMap, time::Duration};

use wisteriaglade_types::Name;

use crate::{Keyspace, Owner, Span};

/// The ranges that the leader has assigned to a target, the lease under which
/// its host may grant them, and the ranges that the target has released.
#[derive(Debug, Default)]
pub struct Allotment {
    /// The target; `None` before its first heartbeat.
    owner: Option<Owner>,
    /// When the target's first heartbeat arrived.
    since: Duration,
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
}

impl Allotment {
    /// Returns the allotment of a target whose first heartbeat arrived at `now`.
    /// It is empty until the first [`update`](Self::update).
    pub(crate) fn of(owner: Owner, now: Duration) -> Self {
        Self {
            owner: Some(owner),
            since: now,
            ..Self::default()
        }
    }

    /// Returns the target; `None` before its first heartbeat.
    pub(crate) fn owner(&self) -> Option<&Owner> {
        self.owner.as_ref()
    }

    /// Returns whether a key is assigned to the target and does not have to move.
    #[must_use]
    pub fn is_assigned(&self, key: u16) -> bool {
        self.grantable().iter().any(|(span, ..)| span.contains(key))
    }

    /// Returns the ranges that the target may hold: keys, fencing token, and the
    /// handover text of the previous holder.
    pub(crate) fn grantable(&self) -> &[(Span, u64, Name)] {
        &self.grantable
    }

    /// Returns the ranges that the target has to release to another one: keys
    /// and fencing token.
    pub(crate) fn moving(&self) -> &[(Span, u64)] {
        &self.moving
    }

    /// Returns the ranges that the target has released and the log does not show
    /// yet: keys, fencing token, handover text.
    #[must_use]
    pub fn released(&self) -> &[(Span, u64, Name)] {
        &self.released
    }

    /// Returns the time until the lease expires, zero if it has expired.
    #[must_use]
    pub fn lease_left(&self, now: Duration) -> Duration {
        self.lease_end.saturating_sub(now)
    }

    /// Returns when the lease expires.
    pub(crate) fn lease_end(&self) -> Duration {
        self.lease_end
    }

    /// Extends the lease to `length` after `sent`, when the host sent the report
    /// that the leader has confirmed with the lease. A report from before the
    /// target's first heartbeat was about an earlier target and has no effect.
    pub fn extend_lease(&mut self, sent: Duration, length: Duration) {
        if sent >= self.since {
            self.lease_end = self.lease_end.max(sent + length);
        }
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

    /// Records the release of a span, under the fencing tokens of the ranges
    /// that the target owns in it.
    pub(crate) fn release(&mut self, span: Span, handover: &Name) {
        let parts: Vec<_> = self
            .owned()
            .filter_map(|(range, fence)| Some((range.overlap(span)?, fence)))
            .collect();
        for (part, fence) in parts {
            self.release_under(part, fence, handover);
        }
    }

    /// Records the release of a span under a fencing token, unless part of it is
    /// recorded already.
    pub(crate) fn release_under(&mut self, span: Span, fence: u64, handover: &Name) {
        if !self.is_released(span, fence) {
            self.released.push((span, fence, handover.clone()));
        }
    }

    /// Returns whether part of a span was released under a fencing token. Such a
    /// range is never granted again under that token, even if an earlier
    /// directory still names the target as its owner.
    pub(crate) fn is_released(&self, span: Span, fence: u64) -> bool {
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
