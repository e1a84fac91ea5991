//! The state of the host's own target.
//!
//! [`Tracker`] derives it from the target's heartbeats and their absence. It
//! also decides which key ranges a heartbeat is granted and supplies the
//! target's part of the reports to the leader.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use tracing::info;
use wisteriaglade_mesh::{Condition, Grant, Guard, Heat, Keyspace, Owner, TargetReport};
use wisteriaglade_types::Name;

use crate::dialect::Beat;

/// The time without a heartbeat after which a target counts as silent, in
/// heartbeat intervals.
const SILENCE_INTERVALS: f64 = 2.6;

/// The longest time for which a target runs after it announced that it leaves.
/// A heartbeat that comes later under the same id is that of a new process.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(15);

/// Tracks the state of the host's own target.
#[derive(Debug)]
pub(super) struct Tracker {
    host: SocketAddr,
    /// The interval of the target's heartbeats.
    beat: Duration,
    /// The target; `None` before its first heartbeat.
    known: Option<Known>,
    guard: Guard,
    heat: Heat,
    /// A target that announced that it leaves before its first heartbeat arrived,
    /// and when.
    left: Option<(Name, Duration)>,
}

/// The state of a target, from its last heartbeat.
#[derive(Debug)]
struct Known {
    owner: Owner,
    pool: Name,
    slots: u32,
    /// The sequence number of the last heartbeat.
    seq: u64,
    /// When the last heartbeat arrived.
    heard: Duration,
    /// Since when it has been draining.
    draining: Option<Duration>,
    condition: Condition,
}

impl Tracker {
    /// Creates a tracker for the host with the peer address `host`, whose target
    /// sends a heartbeat every `beat`.
    pub(super) fn new(host: SocketAddr, beat: Duration) -> Self {
        Self {
            host,
            beat,
            known: None,
            guard: Guard::default(),
            heat: Heat::default(),
            left: None,
        }
    }

    /// Returns the id and start of the target; `None` before its first heartbeat.
    pub(super) fn owner(&self) -> Option<&Owner> {
        self.known.as_ref().map(|known| &known.owner)
    }

    /// Returns the condition of the target; `None` before its first heartbeat.
    pub(super) fn condition(&self) -> Option<Condition> {
        self.known.as_ref().map(|known| known.condition)
    }

    /// Returns how long the target has been draining; `None` if it is not.
    pub(super) fn draining(&self, now: Duration) -> Option<Duration> {
        let since = self.known.as_ref()?.draining?;
        Some(now.saturating_sub(since))
    }

    /// Whether the target holds a key.
    pub(super) fn holds(&self, key: u16) -> bool {
        self.guard.holds(key)
    }

    /// Counts a request for a key.
    pub(super) fn note(&mut self, key: u16) {
        self.heat.note(key);
    }

    /// Returns the time until the lease ends.
    pub(super) fn lease_left(&self, now: Duration) -> Duration {
        self.guard.lease_left(now)
    }

    /// Renews the lease to end `length` after `sent`, when the report that the
    /// leader confirmed was sent. Has no effect if the target has become silent
    /// since.
    pub(super) fn lease(&mut self, sent: Duration, length: Duration) {
        if !matches!(self.condition(), Some(Condition::Silent | Condition::Gone)) {
            self.guard.lease(sent, length);
        }
    }

    /// Sets the key ranges of all pools as of the entry `index` of the control log.
    pub(super) fn update(&mut self, index: u64, keyspaces: &BTreeMap<Name, Keyspace>) {
        self.guard.update(index, keyspaces);
    }

    /// Takes a heartbeat. Returns the grant, which holds for at most `limit`, and
    /// whether a report should be sent to the leader immediately. Returns `None`
    /// for a heartbeat of an earlier process or one that was overtaken by a later
    /// one. A new target is granted no key ranges until the next
    /// [`update`](Self::update).
    pub(super) fn beat(
        &mut self,
        now: Duration,
        beat: &Beat,
        limit: Duration,
    ) -> Option<(Option<Grant>, bool)> {
        let owner = Owner {
            target: beat.target.clone(),
            born: beat.born,
            host: self.host,
        };
        let mut news = false;
        let is_other = self.known.as_ref().is_none_or(|known| known.owner != owner);
        if is_other {
            if let Some(known) = &self.known
                && known.owner.born > owner.born
            {
                info!(event = "beat-stale", target = %owner.target, born = owner.born);
                return None;
            }
            info!(event = "target", target = %owner.target, born = owner.born, pool = %beat.pool, slots = beat.slots);
            news = true;
            self.heat = Heat::default();
            self.known = Some(Known {
                owner: owner.clone(),
                pool: beat.pool.clone(),
                slots: beat.slots,
                seq: beat.seq,
                heard: now,
                draining: None,
                condition: Condition::Ready,
            });
        }
        let known = self.known.as_mut()?;
        if beat.seq < known.seq {
            info!(event = "beat-late", target = %owner.target, seq = beat.seq, known = known.seq);
            return None;
        }
        known.seq = beat.seq;
        known.heard = now;
        known.slots = beat.slots;
        known.pool = beat.pool.clone();
        let left = self.left.as_ref().is_some_and(|(target, at)| {
            *target == owner.target && now.saturating_sub(*at) < LEAVE_TIMEOUT
        });
        let is_draining = beat.draining || known.draining.is_some() || left;
        let condition = if is_draining {
            Condition::Draining
        } else {
            Condition::Ready
        };
        if is_draining && known.draining.is_none() {
            info!(event = "target-draining", target = %owner.target);
            known.draining = Some(now);
        }
        news |= known.condition != condition;
        known.condition = condition;
        let before = self.guard.released().len();
        let grant = self
            .guard
            .beat(now, &owner, &beat.holds, &beat.released, limit);
        news |= self.guard.released().len() > before;
        Some((grant, news))
    }

    /// Takes a target's announcement that it leaves; `born` is the start of the
    /// target if the message holds it. Returns whether a report should be sent to
    /// the leader immediately.
    pub(super) fn leave(&mut self, now: Duration, target: &Name, born: Option<u64>) -> bool {
        let known = self
            .known
            .as_mut()
            .filter(|known| known.owner.target == *target);
        let Some(known) = known else {
            // Heartbeats of this target may still arrive and must not make it
            // ready again.
            info!(event = "target-leaves", target = %target, known = false);
            self.left = Some((target.clone(), now));
            return false;
        };
        if born.is_some_and(|born| born != known.owner.born) {
            return false;
        }
        info!(event = "target-leaves", target = %target, announced = known.draining.is_some());
        known.draining.get_or_insert(now);
        known.condition = Condition::Draining;
        true
    }

    /// Marks the target as silent if its heartbeats are missing, and updates the
    /// request rates. Returns whether a report should be sent to the leader
    /// immediately. Called at a fixed interval.
    pub(super) fn tick(&mut self, now: Duration) -> bool {
        self.heat.look(now);
        let silence = self.beat.mul_f64(SILENCE_INTERVALS);
        let Some(known) = &mut self.known else {
            return false;
        };
        let is_silent = now.saturating_sub(known.heard) > silence;
        if !is_silent || matches!(known.condition, Condition::Silent | Condition::Gone) {
            return false;
        }
        info!(
            event = "target-silent",
            target = %known.owner.target,
            heard_ms_ago = now.saturating_sub(known.heard).as_millis()
        );
        known.condition = Condition::Silent;
        self.guard.drop_lease();
        true
    }

    /// Returns the target's part of a report to the leader; `None` before its
    /// first heartbeat.
    ///
    /// `mean` is the mean time of a request in milliseconds.
    pub(super) fn report(&self, mean: u32) -> Option<TargetReport> {
        let known = self.known.as_ref()?;
        Some(TargetReport {
            owner: known.owner.clone(),
            pool: known.pool.clone(),
            slots: known.slots,
            condition: known.condition,
            released: self.guard.released().to_vec(),
            mean,
            heat: self.heat.parts(),
        })
    }
}
