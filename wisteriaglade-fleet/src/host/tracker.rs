//! The state of the host's own target.
//!
//! [`Tracker`] derives it from the target's heartbeats and their absence. It
//! also decides which key ranges a heartbeat is granted and supplies the
//! target's part of the reports to the leader.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use tracing::info;
use wisteriaglade_mesh::{Condition, Grant, Grantor, KeyRates, Keyspace, Owner, TargetReport};
use wisteriaglade_types::Name;

use crate::dialect::Heartbeat;

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
    heartbeat_interval: Duration,
    /// The target; `None` before its first heartbeat.
    state: Option<TargetState>,
    grantor: Grantor,
    key_rates: KeyRates,
    /// A target that announced that it leaves before its first heartbeat arrived,
    /// and when.
    early_leave: Option<(Name, Duration)>,
}

/// The state of a target, from its last heartbeat.
#[derive(Debug)]
struct TargetState {
    owner: Owner,
    pool: Name,
    slots: u32,
    /// The sequence number of the last heartbeat.
    seq: u64,
    /// When the last heartbeat arrived.
    last_heartbeat: Duration,
    /// Since when it has been draining.
    draining_since: Option<Duration>,
    condition: Condition,
}

impl Tracker {
    /// Creates a tracker for the host with the peer address `host`, whose target
    /// sends a heartbeat every `heartbeat_interval`.
    pub(super) fn new(host: SocketAddr, heartbeat_interval: Duration) -> Self {
        Self {
            host,
            heartbeat_interval,
            state: None,
            grantor: Grantor::default(),
            key_rates: KeyRates::default(),
            early_leave: None,
        }
    }

    /// Returns the id and start of the target; `None` before its first heartbeat.
    pub(super) fn owner(&self) -> Option<&Owner> {
        self.state.as_ref().map(|state| &state.owner)
    }

    /// Returns the condition of the target; `None` before its first heartbeat.
    pub(super) fn condition(&self) -> Option<Condition> {
        self.state.as_ref().map(|state| state.condition)
    }

    /// Returns how long the target has been draining; `None` if it is not.
    pub(super) fn draining_for(&self, now: Duration) -> Option<Duration> {
        let since = self.state.as_ref()?.draining_since?;
        Some(now.saturating_sub(since))
    }

    /// Whether the target holds a key.
    pub(super) fn holds(&self, key: u16) -> bool {
        self.grantor.holds(key)
    }

    /// Counts a request for a key.
    pub(super) fn record_request(&mut self, key: u16) {
        self.key_rates.record(key);
    }

    /// Returns the time until the lease ends.
    pub(super) fn lease_left(&self, now: Duration) -> Duration {
        self.grantor.lease_left(now)
    }

    /// Renews the lease to end `length` after `sent`, when the report that the
    /// leader confirmed was sent. Has no effect if the target has become silent
    /// since.
    pub(super) fn renew_lease(&mut self, sent: Duration, length: Duration) {
        if !matches!(self.condition(), Some(Condition::Silent | Condition::Gone)) {
            self.grantor.extend_lease(sent, length);
        }
    }

    /// Sets the key ranges of all pools as of the entry `index` of the control log.
    pub(super) fn update_keyspaces(&mut self, index: u64, keyspaces: &BTreeMap<Name, Keyspace>) {
        self.grantor.update(index, keyspaces);
    }

    /// Takes a heartbeat. Returns the grant, which holds for at most `limit`, and
    /// whether a report should be sent to the leader immediately. Returns `None`
    /// for a heartbeat of an earlier process or one that was overtaken by a later
    /// one. A new target is granted no key ranges until the next
    /// [`update_keyspaces`](Self::update_keyspaces).
    pub(super) fn apply_heartbeat(
        &mut self,
        now: Duration,
        heartbeat: &Heartbeat,
        limit: Duration,
    ) -> Option<(Option<Grant>, bool)> {
        let owner = Owner {
            target: heartbeat.target.clone(),
            started_ms: heartbeat.born,
            host_address: self.host,
        };
        let mut report_now = false;
        let is_new_target = self.state.as_ref().is_none_or(|state| state.owner != owner);
        if is_new_target {
            if let Some(state) = &self.state
                && state.owner.started_ms > owner.started_ms
            {
                info!(event = "beat-stale", target = %owner.target, born = owner.started_ms);
                return None;
            }
            info!(event = "target", target = %owner.target, born = owner.started_ms, pool = %heartbeat.pool, slots = heartbeat.slots);
            report_now = true;
            self.key_rates = KeyRates::default();
            self.state = Some(TargetState {
                owner: owner.clone(),
                pool: heartbeat.pool.clone(),
                slots: heartbeat.slots,
                seq: heartbeat.seq,
                last_heartbeat: now,
                draining_since: None,
                condition: Condition::Ready,
            });
        }
        let state = self.state.as_mut()?;
        if heartbeat.seq < state.seq {
            info!(event = "beat-late", target = %owner.target, seq = heartbeat.seq, known = state.seq);
            return None;
        }
        state.seq = heartbeat.seq;
        state.last_heartbeat = now;
        state.slots = heartbeat.slots;
        state.pool = heartbeat.pool.clone();
        let has_left = self.early_leave.as_ref().is_some_and(|(target, at)| {
            *target == owner.target && now.saturating_sub(*at) < LEAVE_TIMEOUT
        });
        let is_draining = heartbeat.draining || state.draining_since.is_some() || has_left;
        let condition = if is_draining {
            Condition::Draining
        } else {
            Condition::Ready
        };
        if is_draining && state.draining_since.is_none() {
            info!(event = "target-draining", target = %owner.target);
            state.draining_since = Some(now);
        }
        report_now |= state.condition != condition;
        state.condition = condition;
        let released_before = self.grantor.released().len();
        let grant =
            self.grantor
                .heartbeat(now, &owner, &heartbeat.holds, &heartbeat.released, limit);
        report_now |= self.grantor.released().len() > released_before;
        Some((grant, report_now))
    }

    /// Takes a target's announcement that it leaves; `born` is the start of the
    /// target if the message holds it. Returns whether a report should be sent to
    /// the leader immediately.
    pub(super) fn apply_leave(&mut self, now: Duration, target: &Name, born: Option<u64>) -> bool {
        let state = self
            .state
            .as_mut()
            .filter(|state| state.owner.target == *target);
        let Some(state) = state else {
            // Heartbeats of this target may still arrive and must not make it
            // ready again.
            info!(event = "target-leaves", target = %target, known = false);
            self.early_leave = Some((target.clone(), now));
            return false;
        };
        if born.is_some_and(|born| born != state.owner.started_ms) {
            return false;
        }
        info!(event = "target-leaves", target = %target, announced = state.draining_since.is_some());
        state.draining_since.get_or_insert(now);
        state.condition = Condition::Draining;
        true
    }

    /// Marks the target as silent if its heartbeats are missing, and updates the
    /// request rates. Returns whether a report should be sent to the leader
    /// immediately. Called at a fixed interval.
    pub(super) fn tick(&mut self, now: Duration) -> bool {
        self.key_rates.update(now);
        let silence = self.heartbeat_interval.mul_f64(SILENCE_INTERVALS);
        let Some(state) = &mut self.state else {
            return false;
        };
        let is_silent = now.saturating_sub(state.last_heartbeat) > silence;
        if !is_silent || matches!(state.condition, Condition::Silent | Condition::Gone) {
            return false;
        }
        info!(
            event = "target-silent",
            target = %state.owner.target,
            heard_ms_ago = now.saturating_sub(state.last_heartbeat).as_millis()
        );
        state.condition = Condition::Silent;
        self.grantor.drop_lease();
        true
    }

    /// Returns the target's part of a report to the leader; `None` before its
    /// first heartbeat.
    ///
    /// `mean_ms` is the mean time of a request in milliseconds.
    pub(super) fn report(&self, mean_ms: u32) -> Option<TargetReport> {
        let state = self.state.as_ref()?;
        Some(TargetReport {
            owner: state.owner.clone(),
            pool: state.pool.clone(),
            slots: state.slots,
            condition: state.condition,
            released: self.grantor.released().to_vec(),
            mean_ms,
            key_rates: self.key_rates.summary(),
        })
    }
}
