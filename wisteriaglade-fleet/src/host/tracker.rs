//! What a host knows of its own target.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use tracing::info;
use wisteriaglade_mesh::{Condition, Grant, Grantor, KeyRates, Keyspace, Owner, TargetReport};
use wisteriaglade_types::Name;

use crate::dialect::Beat;

/// Heartbeats that may be missing before a target counts as silent.
const MISSED: f64 = 2.6;

/// How long a target may go on after its farewell. A later heartbeat under the
/// same id is of another life.
const FAREWELL: Duration = Duration::from_secs(15);

/// What a host knows of its own target.
#[derive(Debug)]
pub(super) struct Tracker {
    host: SocketAddr,
    beat: Duration,
    known: Option<Known>,
    guard: Grantor,
    heat: KeyRates,
    /// A target that said farewell before it was known, and when.
    left: Option<(Name, Duration)>,
}

#[derive(Debug)]
struct Known {
    owner: Owner,
    pool: Name,
    slots: u32,
    seq: u64,
    heard: Duration,
    /// Since when it is leaving.
    draining: Option<Duration>,
    condition: Condition,
}

impl Tracker {
    pub(super) fn new(host: SocketAddr, beat: Duration) -> Self {
        Self {
            host,
            beat,
            known: None,
            guard: Grantor::default(),
            heat: KeyRates::default(),
            left: None,
        }
    }

    /// The target, once it has announced itself.
    pub(super) fn owner(&self) -> Option<&Owner> {
        self.known.as_ref().map(|known| &known.owner)
    }

    /// Whether the target runs as far as its heartbeats tell.
    pub(super) fn condition(&self) -> Option<Condition> {
        self.known.as_ref().map(|known| known.condition)
    }

    /// How long the target has been leaving.
    pub(super) fn draining(&self, now: Duration) -> Option<Duration> {
        let since = self.known.as_ref()?.draining?;
        Some(now.saturating_sub(since))
    }

    /// Whether the target holds a key.
    pub(super) fn holds(&self, key: u16) -> bool {
        self.guard.holds(key)
    }

    /// Notes a request for a key.
    pub(super) fn note(&mut self, key: u16) {
        self.heat.record(key);
    }

    /// How long the lease lasts.
    pub(super) fn lease_left(&self, now: Duration) -> Duration {
        self.guard.lease_left(now)
    }

    /// Takes a lease for a report sent at `sent`, if the target is still the
    /// one that the report was about.
    pub(super) fn lease(&mut self, sent: Duration, length: Duration) {
        if !matches!(self.condition(), Some(Condition::Silent | Condition::Gone)) {
            self.guard.extend_lease(sent, length);
        }
    }

    /// Takes the key ranges as of a log entry.
    pub(super) fn update(&mut self, index: u64, keyspaces: &BTreeMap<Name, Keyspace>) {
        self.guard.update(index, keyspaces);
    }

    /// Takes a heartbeat. Returns the grant and whether the leader should hear
    /// of it at once; `None` for a heartbeat of a former life. The guard of a
    /// new target knows no key ranges until the next [`update`](Self::update).
    pub(super) fn beat(
        &mut self,
        now: Duration,
        beat: &Beat,
        limit: Duration,
    ) -> Option<(Option<Grant>, bool)> {
        let owner = Owner {
            target: beat.target.clone(),
            started_ms: beat.born,
            host_address: self.host,
        };
        let mut news = false;
        let is_other = self.known.as_ref().is_none_or(|known| known.owner != owner);
        if is_other {
            if let Some(known) = &self.known
                && known.owner.started_ms > owner.started_ms
            {
                info!(event = "beat-stale", target = %owner.target, born = owner.started_ms);
                return None;
            }
            info!(event = "target", target = %owner.target, born = owner.started_ms, pool = %beat.pool, slots = beat.slots);
            news = true;
            self.heat = KeyRates::default();
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
            *target == owner.target && now.saturating_sub(*at) < FAREWELL
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
            .heartbeat(now, &owner, &beat.holds, &beat.released, limit);
        news |= self.guard.released().len() > before;
        Some((grant, news))
    }

    /// Takes a farewell, which may not name the life of the target. Returns
    /// whether the leader should hear of it at once.
    pub(super) fn leave(&mut self, now: Duration, target: &Name, born: Option<u64>) -> bool {
        let known = self
            .known
            .as_mut()
            .filter(|known| known.owner.target == *target);
        let Some(known) = known else {
            // The target's heartbeats may follow, and must not revive it.
            info!(event = "target-leaves", target = %target, known = false);
            self.left = Some((target.clone(), now));
            return false;
        };
        if born.is_some_and(|born| born != known.owner.started_ms) {
            return false;
        }
        info!(event = "target-leaves", target = %target, announced = known.draining.is_some());
        known.draining.get_or_insert(now);
        known.condition = Condition::Draining;
        true
    }

    /// Notes that time has passed. Returns whether the leader should hear of
    /// it at once.
    pub(super) fn look(&mut self, now: Duration) -> bool {
        self.heat.update(now);
        let silence = self.beat.mul_f64(MISSED);
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

    /// What the leader is told.
    ///
    /// `mean_ms` is the mean time of a request in milliseconds.
    pub(super) fn report(&self, mean_ms: u32) -> Option<TargetReport> {
        let known = self.known.as_ref()?;
        Some(TargetReport {
            owner: known.owner.clone(),
            pool: known.pool.clone(),
            slots: known.slots,
            condition: known.condition,
            released: self.guard.released().to_vec(),
            mean_ms,
            key_rates: self.heat.summary(),
        })
    }
}
