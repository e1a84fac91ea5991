//! The state of the host's own target.
//!
//! [`Tracker`] derives it from the target's heartbeats and their absence. It
//! also decides which key ranges a heartbeat is granted and supplies the
//! target's part of the reports to the leader.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use tracing::info;
use wisteriaglade_mesh::{
    Allotment, Condition, Grant, Grantor, Issuer, KeyRates, Keyspace, Notice, Order, Owner,
    Response, TargetReport,
};
use wisteriaglade_types::Name;

use super::LEASE;
use crate::{Settings, dialect::Heartbeat, settings::GrantChannel};

#[cfg(test)]
mod tests;

/// The time without a heartbeat after which a target counts as silent, in
/// heartbeat intervals.
const SILENCE_INTERVALS: f64 = 2.6;

/// The time without a heartbeat after which another process may take the place of a
/// target, in heartbeat intervals. A target that is still heard has not ended,
/// whatever another sender says.
const REPLACEABLE_INTERVALS: f64 = 1.25;

/// The longest time for which a target runs after it announced that it leaves.
/// A heartbeat that comes later under the same id is that of a new process.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(15);

/// What grants the target its key ranges.
#[derive(Debug)]
enum Grants {
    /// The answers to its heartbeats.
    Heartbeat(Grantor),
    /// Calls to the target.
    Call(Box<Issuer>),
}

impl Grants {
    fn allotment(&self) -> &Allotment {
        match self {
            Self::Heartbeat(grantor) => &grantor.allotment,
            Self::Call(issuer) => &issuer.allotment,
        }
    }

    fn allotment_mut(&mut self) -> &mut Allotment {
        match self {
            Self::Heartbeat(grantor) => &mut grantor.allotment,
            Self::Call(issuer) => &mut issuer.allotment,
        }
    }
}

/// Tracks the state of the host's own target.
#[derive(Debug)]
pub(super) struct Tracker {
    host: SocketAddr,
    /// The interval of the target's heartbeats.
    heartbeat_interval: Duration,
    /// The target; `None` before its first heartbeat.
    state: Option<TargetState>,
    grants: Grants,
    /// The number of released ranges that the last report could hold.
    known_releases: usize,
    /// The longest hold that a grant may give.
    hold_max: Duration,
    key_rates: KeyRates,
    /// An announcement that a target leaves, which came before its first heartbeat.
    early_leave: Option<EarlyLeave>,
}

/// An announcement that a target leaves, of which no heartbeat has come yet.
#[derive(Debug)]
struct EarlyLeave {
    target: Name,
    /// The start of the target's process, if the message holds it.
    born: Option<u64>,
    at: Duration,
}

impl EarlyLeave {
    /// Whether the announcement is that of a process of which a heartbeat arrives
    /// at `now`.
    fn is_of(&self, owner: &Owner, now: Duration) -> bool {
        self.target == owner.target
            && self.born.is_none_or(|born| born == owner.started_ms)
            && now.saturating_sub(self.at) < LEAVE_TIMEOUT
    }
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
    /// What it last said of itself in an answer, if that is known.
    notice: Option<Notice>,
    /// Whether it has answered this process.
    has_answered: bool,
}

impl TargetState {
    /// Records that the target finishes its work and then ends. `source` tells how it
    /// became known. Returns whether that is new.
    fn start_draining(&mut self, now: Duration, source: &'static str) -> bool {
        let is_new = self.draining_since.is_none();
        if is_new {
            info!(event = "target-draining", target = %self.owner.target, source);
            self.draining_since = Some(now);
        }
        if self.condition == Condition::Ready {
            self.condition = Condition::Draining;
        }
        is_new
    }
}

impl Tracker {
    /// Creates the tracker of a host process that starts at `now`.
    pub(super) fn new(settings: &Settings, now: Duration) -> Self {
        let grants = match settings.grants {
            GrantChannel::Heartbeat => Grants::Heartbeat(Grantor::default()),
            GrantChannel::Call => {
                Grants::Call(Box::new(Issuer::new(now, LEASE, settings.hold_max)))
            }
        };
        Self {
            host: settings.link,
            heartbeat_interval: settings.beat,
            hold_max: settings.hold_max,
            state: None,
            grants,
            known_releases: 0,
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

    /// Returns what the target says of itself in its answers; `None` if it has not
    /// answered this process and no other host has told it.
    pub(super) fn notice(&self) -> Option<Notice> {
        let state = self.state.as_ref()?;
        if state.draining_since.is_none() {
            return state.notice;
        }
        Some(Notice {
            leaving: true,
            ..state.notice.unwrap_or_default()
        })
    }

    /// Takes what the target says of itself in an answer. Returns whether a report
    /// should be sent to the leader immediately.
    pub(super) fn apply_notice(&mut self, now: Duration, notice: Notice) -> bool {
        let Some(state) = &mut self.state else {
            return false;
        };
        state.notice = Some(notice);
        state.has_answered = true;
        notice.leaving && state.start_draining(now, "answer")
    }

    /// Takes what the target said of itself in an answer that another host passed on.
    /// Once the target has answered this process, only its leaving is learned. Returns
    /// whether a report should be sent to the leader immediately.
    pub(super) fn learn_notice(&mut self, now: Duration, notice: Notice) -> bool {
        let Some(state) = &mut self.state else {
            return false;
        };
        let report_now = notice.leaving && state.start_draining(now, "other-host");
        if state.has_answered {
            return report_now;
        }
        let known = state.notice.unwrap_or_default();
        let lower = notice
            .rate_limit
            .filter(|rate| known.rate_limit.is_none_or(|known| *rate < known));
        if lower.is_some() {
            info!(event = "target-limit-learned", target = %state.owner.target, limit = lower);
            state.notice = Some(Notice {
                rate_limit: lower,
                ..known
            });
        }
        report_now
    }

    /// Whether the target holds a key.
    pub(super) fn holds(&self, now: Duration, key: u16) -> bool {
        match &self.grants {
            Grants::Heartbeat(grantor) => grantor.holds(key),
            Grants::Call(issuer) => issuer.holds(now, key),
        }
    }

    /// Whether a key has moved away: the target does not hold it, and it is not assigned
    /// to the target either. A hold that is only renewed late does not count.
    pub(super) fn has_lost(&self, now: Duration, key: u16) -> bool {
        !self.holds(now, key) && !self.grants.allotment().is_assigned(key)
    }

    /// Returns the number of assigned ranges that the target holds and of those
    /// that it does not hold, if ranges are granted by calls; else zeros.
    pub(super) fn held_ranges(&self, now: Duration) -> (usize, usize) {
        match &self.grants {
            Grants::Heartbeat(_) => (0, 0),
            Grants::Call(issuer) => issuer.held_ranges(now),
        }
    }

    /// Returns the calls to send to the target now. `connected` tells whether a
    /// connection for them is open.
    pub(super) fn orders(&mut self, now: Duration, connected: bool) -> Vec<Order> {
        match &mut self.grants {
            Grants::Heartbeat(_) => Vec::new(),
            Grants::Call(issuer) => issuer.orders(now, connected),
        }
    }

    /// Records how a call to the target ended.
    pub(super) fn settle(&mut self, now: Duration, id: u64, response: Response) {
        if let Grants::Call(issuer) = &mut self.grants {
            issuer.settle(now, id, response);
        }
    }

    /// Returns whether ranges were released since the last call of this method.
    pub(super) fn has_new_releases(&mut self) -> bool {
        let released = self.grants.allotment().released().len();
        let known = std::mem::replace(&mut self.known_releases, released);
        released > known
    }

    /// Counts a request for a key.
    pub(super) fn record_request(&mut self, key: u16) {
        self.key_rates.record(key);
    }

    /// Returns the time until the lease ends.
    pub(super) fn lease_left(&self, now: Duration) -> Duration {
        self.grants.allotment().lease_left(now)
    }

    /// Renews the lease to end `length` after `sent`, when the report that the
    /// leader confirmed was sent. Has no effect if the target has become silent
    /// since.
    pub(super) fn renew_lease(&mut self, sent: Duration, length: Duration) {
        if !matches!(self.condition(), Some(Condition::Silent | Condition::Gone)) {
            self.grants.allotment_mut().extend_lease(sent, length);
        }
    }

    /// Sets the key ranges of all pools as of the entry `index` of the control log.
    pub(super) fn update_keyspaces(&mut self, index: u64, keyspaces: &BTreeMap<Name, Keyspace>) {
        self.grants.allotment_mut().update(index, keyspaces);
    }

    /// Takes a heartbeat. Returns the grant for its answer, if ranges are granted
    /// there, and whether a report should be sent to the leader immediately. Returns `None`
    /// for a heartbeat of an earlier process, for one that was overtaken by a later
    /// one, and for one of another process while the target is still heard. A new
    /// target is granted no key ranges until the next
    /// [`update_keyspaces`](Self::update_keyspaces).
    pub(super) fn apply_heartbeat(
        &mut self,
        now: Duration,
        heartbeat: &Heartbeat,
    ) -> Option<(Option<Grant>, bool)> {
        let owner = Owner {
            target: heartbeat.target.clone(),
            started_ms: heartbeat.born,
            host_address: self.host,
        };
        let mut report_now = false;
        let is_new_target = self.state.as_ref().is_none_or(|state| state.owner != owner);
        if is_new_target {
            if let Some(state) = &self.state {
                if state.owner.started_ms >= owner.started_ms {
                    info!(event = "beat-stale", target = %owner.target, born = owner.started_ms);
                    return None;
                }
                let heard_ago = now.saturating_sub(state.last_heartbeat);
                if heard_ago < self.heartbeat_interval.mul_f64(REPLACEABLE_INTERVALS) {
                    info!(
                        event = "beat-unconfirmed",
                        target = %owner.target,
                        born = owner.started_ms,
                        known = %state.owner.target,
                        heard_ms_ago = heard_ago.as_millis()
                    );
                    return None;
                }
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
                notice: None,
                has_answered: false,
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
        let has_left = self
            .early_leave
            .as_ref()
            .is_some_and(|leave| leave.is_of(&owner, now));
        let is_draining = heartbeat.draining || state.draining_since.is_some() || has_left;
        let condition = if is_draining {
            Condition::Draining
        } else {
            Condition::Ready
        };
        report_now |= state.condition != condition;
        if is_draining {
            state.start_draining(now, "heartbeat");
        }
        state.condition = condition;
        let grant = match &mut self.grants {
            Grants::Heartbeat(grantor) => grantor.heartbeat(
                now,
                &owner,
                &heartbeat.holds,
                &heartbeat.released,
                self.hold_max,
            ),
            Grants::Call(issuer) => {
                issuer.heartbeat(now, &owner);
                None
            }
        };
        report_now |= self.has_new_releases();
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
            self.early_leave = Some(EarlyLeave {
                target: target.clone(),
                born,
                at: now,
            });
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
        self.grants.allotment_mut().drop_lease();
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
            released: self.grants.allotment().released().to_vec(),
            mean_ms,
            rate_limit: state.notice.and_then(|notice| notice.rate_limit),
            key_rates: self.key_rates.summary(),
        })
    }
}
