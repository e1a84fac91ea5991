//! Assignment of key ranges to targets.
//!
//! The leader of the control replicas owns one [`Planner`], calls it at
//! intervals and proposes the commands that it returns to the control log.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use wisteriaglade_router::throttle::MIN_RATE;
use wisteriaglade_types::Name;

use crate::{Command, Condition, Keyspace, Owner, Pool, Roster, Span, State, TargetReport};

/// The number of ranges that each target of a new pool gets. Busy keys lie close
/// together, so neighbouring ranges go to different targets. The answer to a
/// heartbeat, which lists a target's ranges, is limited to 4 KiB.
const INITIAL_RANGES_PER_TARGET: u32 = 16;

/// How long the set of targets of a new pool has to be unchanged before its keys
/// are granted, so that the last target to announce itself gets a share.
const STABLE_TARGETS_TIME: Duration = Duration::from_millis(1200);

/// The age of a host's last report above which its target gets no more keys.
const MAX_REPORT_AGE: Duration = Duration::from_secs(2);

/// The factor applied to leases for clock drift. A target's clock may run 2%
/// slow and the leader's 2% fast, which 4% covers.
const DRIFT_FACTOR: f64 = 1.04;

/// The time added to each wait for a lease to expire, for timers that fire early
/// or late.
const TIMER_MARGIN: Duration = Duration::from_millis(300);

/// The most ranges of one target that rebalancing creates. The answer to a
/// heartbeat is limited to 4 KiB, and a range takes 20 to 45 bytes of it. The
/// limit leaves room for the ranges of draining targets: if half of a pool
/// drains, the other half has twice as many, which still fit.
const MAX_RANGES_PER_TARGET: usize = 48;

/// The most moves that one step starts. Keys are unavailable while they move, so
/// a large change is spread over several steps.
const MAX_MOVES_PER_STEP: usize = 40;

/// A target is overloaded, and ranges move away from it, if its utilization is
/// at least this multiple of the mean of its pool.
const OVERLOAD_RATIO: f64 = 1.2;

/// Once a range has moved away from an overloaded target, further ranges move in
/// the same step until no target's utilization is at least this multiple of the
/// mean of its pool.
const BALANCED_RATIO: f64 = 1.05;

/// The utilization below which no ranges move away from a target, however much
/// less the other targets of its pool are used.
const MIN_UTILIZATION: f64 = 0.8;

/// The mean time of a request in milliseconds that is assumed for a target
/// without measurements.
const DEFAULT_MEAN_MS: f64 = 100.0;

/// The least time between two rebalancing steps of a pool. Reports of the new
/// load have to arrive in between.
const REBALANCE_INTERVAL: Duration = Duration::from_millis(1500);

/// The fraction of its fair share of the keys below which a target counts as
/// new.
const NEW_TARGET_RATIO: f64 = 0.25;

/// The smallest move, as a fraction of the request rate to be moved. A smaller
/// one is not worth the time in which its keys have no holder.
const MIN_MOVE_RATIO: f64 = 0.03;

/// A running target of a pool that may be given keys.
struct Target {
    owner: Owner,
    /// The rate that it can serve, in requests per second.
    capacity: f64,
    /// The number of keys that it owns or is about to own.
    keys: f64,
    /// The number of ranges that it owns or is about to own.
    ranges: usize,
    /// The rate that it is sent, in requests per second.
    rate: f64,
}

impl Target {
    /// Returns the utilization: the rate divided by the capacity.
    fn utilization(&self) -> f64 {
        self.rate / self.capacity
    }
}

/// Decides which key ranges are granted, moved and taken back.
#[derive(Debug)]
pub struct Planner {
    /// The length of a host's lease.
    lease: Duration,
    /// Whether hosts grant ranges by calls to their targets.
    grants_by_call: bool,
    /// The targets of each pool whose keys have never been granted, and the time
    /// since which they have been unchanged.
    stable: BTreeMap<Name, (Vec<Owner>, Duration)>,
    /// When each pool was last rebalanced.
    rebalanced: BTreeMap<Name, Duration>,
}

impl Planner {
    /// Creates a planner. `lease` is the length of the leases that the leader
    /// gives to hosts.
    #[must_use]
    pub fn new(lease: Duration) -> Self {
        Self {
            lease,
            grants_by_call: false,
            stable: BTreeMap::new(),
            rebalanced: BTreeMap::new(),
        }
    }

    /// Sets whether hosts grant ranges by calls to their targets.
    ///
    /// The calls use connections that end with the target, so once another target
    /// runs at its host, it holds nothing. If it has ended and no other one is
    /// reported there, its ranges stay assigned until its last lease has expired.
    #[must_use]
    pub fn with_grants_by_call(self, grants_by_call: bool) -> Self {
        Self {
            grants_by_call,
            ..self
        }
    }

    /// Returns the commands to propose now.
    ///
    /// `now` is on the clock that timed the reports in `roster`. Call this again
    /// only after the commands were applied to `state`.
    pub fn step(&mut self, now: Duration, state: &State, roster: &Roster) -> Vec<Command> {
        let mut commands = self.revoke_ended(now, state, roster);
        if !commands.is_empty() {
            return commands;
        }
        for pool in state.plan().pools.iter().filter(|pool| pool.sharded) {
            let empty = Keyspace::default();
            let keyspace = state.keyspaces().get(&pool.name).unwrap_or(&empty);
            if let Some(command) = record_release(pool, keyspace, roster) {
                commands.push(command);
                continue;
            }
            commands.extend(self.assign(now, pool, keyspace, roster));
        }
        commands
    }

    /// Returns a command for each owner all of whose holds have ended, which takes
    /// back its key ranges.
    fn revoke_ended(&self, now: Duration, state: &State, roster: &Roster) -> Vec<Command> {
        let ranges = state.keyspaces().values().flat_map(Keyspace::ranges);
        let owners: BTreeSet<&Owner> = ranges
            .flat_map(|range| range.owner.iter().chain(&range.next))
            .collect();
        // The reported targets by the address of their host.
        let mut reported: BTreeMap<SocketAddr, Vec<(&TargetReport, Duration)>> = BTreeMap::new();
        for received in roster.reports() {
            if let Some(target) = &received.report.target {
                let at_address = reported.entry(target.owner.host_address).or_default();
                at_address.push((target, received.received_at));
            }
        }
        owners
            .into_iter()
            .filter(|owner| {
                let at_address = reported.get(&owner.host_address);
                self.has_no_hold(now, owner, at_address.map_or(&[], Vec::as_slice), roster)
            })
            .map(|owner| Command::Revoke {
                owner: owner.clone(),
            })
            .collect()
    }

    /// Returns whether every hold of a target has ended: the target was replaced
    /// or has ended, or it is silent and its last lease has expired. `reported`
    /// are the targets that were reported at its address, and when.
    fn has_no_hold(
        &self,
        now: Duration,
        owner: &Owner,
        reported: &[(&TargetReport, Duration)],
        roster: &Roster,
    ) -> bool {
        let is_replaced = reported.iter().any(|(target, _)| {
            target.owner != *owner && target.owner.started_ms >= owner.started_ms
        });
        let wait = self.lease.mul_f64(DRIFT_FACTOR) + TIMER_MARGIN;
        let last_lease = roster.last_lease(owner);
        let is_expired = now.saturating_sub(last_lease) > wait;
        if is_replaced {
            return true;
        }
        if roster.ended().contains(owner) {
            return is_expired || !self.grants_by_call;
        }
        let received = reported.iter().find(|(target, _)| target.owner == *owner);
        let silent = received.is_none_or(|(target, received_at)| {
            now.saturating_sub(*received_at) > MAX_REPORT_AGE
                || target.condition == Condition::Silent
        });
        silent && is_expired
    }

    /// Returns a command that grants the unowned keys of a pool, or else one that
    /// moves keys away from draining targets, to new targets or away from
    /// overloaded ones, in this order. Returns `None` if there is nothing to do or
    /// no target may be given keys.
    fn assign(
        &mut self,
        now: Duration,
        pool: &Pool,
        keyspace: &Keyspace,
        roster: &Roster,
    ) -> Option<Command> {
        let mut targets = targets(now, pool, keyspace, roster);
        if targets.is_empty() {
            return None;
        }
        if keyspace.is_new() {
            return self.assign_new_pool(now, pool, &targets);
        }
        let name = pool.name.clone();
        let assignable: BTreeSet<Owner> =
            targets.iter().map(|target| target.owner.clone()).collect();
        let draining = draining(roster);
        let mut grants = Vec::new();
        let mut moves = Vec::new();
        for range in keyspace.ranges() {
            match &range.owner {
                None => {
                    let target = with_fewest_keys(&mut targets);
                    target.keys += f64::from(range.span.len());
                    grants.push((range.span, target.owner.clone()));
                }
                Some(owner) if range.next.is_none() && moves.len() < MAX_MOVES_PER_STEP => {
                    if draining.contains(owner) && !assignable.contains(owner) {
                        let target = with_fewest_keys(&mut targets);
                        target.keys += f64::from(range.span.len());
                        moves.push((range.span, target.owner.clone()));
                    }
                }
                Some(_) => {}
            }
        }
        if !grants.is_empty() {
            return Some(Command::Grant { pool: name, grants });
        }
        if moves.is_empty() {
            moves = self.rebalance(now, &name, keyspace, &mut targets, roster);
        }
        (!moves.is_empty()).then_some(Command::Move { pool: name, moves })
    }

    /// Returns a command that grants all keys of a new pool, once its set of
    /// targets has been unchanged for [`STABLE_TARGETS_TIME`].
    fn assign_new_pool(
        &mut self,
        now: Duration,
        pool: &Pool,
        targets: &[Target],
    ) -> Option<Command> {
        let owners: Vec<_> = targets.iter().map(|target| target.owner.clone()).collect();
        let entry = self.stable.entry(pool.name.clone());
        let (known, since) = entry.or_insert_with(|| (owners.clone(), now));
        if *known != owners {
            *known = owners;
            *since = now;
        }
        if now.saturating_sub(*since) < STABLE_TARGETS_TIME {
            return None;
        }
        let count = u32::try_from(targets.len()).unwrap_or(1) * INITIAL_RANGES_PER_TARGET;
        let first_key = |number: u32| u16::try_from(65_536 * u64::from(number) / u64::from(count));
        let grants = (0..count)
            .filter_map(|number| {
                let to = first_key(number + 1).map_or(u16::MAX, |next| next - 1);
                let target = &targets[number as usize % targets.len()];
                Some((Span::new(first_key(number).ok()?, to), target.owner.clone()))
            })
            .collect();
        let pool = pool.name.clone();
        Some(Command::Grant { pool, grants })
    }

    /// Returns moves of ranges to new targets, or else away from overloaded
    /// ones. Returns none while an earlier move of the pool is in progress.
    fn rebalance(
        &mut self,
        now: Duration,
        pool: &Name,
        keyspace: &Keyspace,
        targets: &mut [Target],
        roster: &Roster,
    ) -> Vec<(Span, Owner)> {
        if keyspace.ranges().iter().any(|range| range.next.is_some()) {
            return Vec::new();
        }
        let moves = moves_to_new_targets(keyspace, targets);
        if !moves.is_empty() {
            return moves;
        }
        let last = self.rebalanced.get(pool).copied();
        if last.is_some_and(|at| now.saturating_sub(at) < REBALANCE_INTERVAL) {
            return Vec::new();
        }
        let moves = moves_from_overloaded(keyspace, targets, roster);
        if !moves.is_empty() {
            self.rebalanced.insert(pool.clone(), now);
        }
        moves
    }
}

/// Returns a command that records the key ranges of a pool that a target reports
/// as released and that it still owns, under the same fencing token, in the
/// control log.
fn record_release(pool: &Pool, keyspace: &Keyspace, roster: &Roster) -> Option<Command> {
    roster.reports().find_map(|received| {
        let target = received.report.target.as_ref()?;
        let released: Vec<_> = target
            .released
            .iter()
            .filter(|(span, fence, _)| {
                keyspace.ranges().iter().any(|range| {
                    range.owner.as_ref() == Some(&target.owner)
                        && range.fence == *fence
                        && range.span.overlap(*span).is_some()
                })
            })
            .cloned()
            .collect();
        (!released.is_empty() && target.pool == pool.name).then(|| Command::Release {
            pool: pool.name.clone(),
            owner: target.owner.clone(),
            released,
        })
    })
}

/// Returns the targets that may be given keys of a pool: those that are ready,
/// have not ended, and whose host is not leaving and has reported recently.
fn targets(now: Duration, pool: &Pool, keyspace: &Keyspace, roster: &Roster) -> Vec<Target> {
    // The number of keys and of ranges that each target owns or is about to own.
    let mut owned: BTreeMap<&Owner, (f64, usize)> = BTreeMap::new();
    for range in keyspace.ranges() {
        if let Some(owner) = range.next.as_ref().or(range.owner.as_ref()) {
            let (keys, ranges) = owned.entry(owner).or_default();
            *keys += f64::from(range.span.len());
            *ranges += 1;
        }
    }
    let mut targets = Vec::new();
    for received in roster.reports() {
        let Some(target) = &received.report.target else {
            continue;
        };
        let is_recent = now.saturating_sub(received.received_at) <= MAX_REPORT_AGE;
        let is_ready = target.condition == Condition::Ready && !received.report.leaving;
        if target.pool != pool.name
            || !is_recent
            || !is_ready
            || roster.ended().contains(&target.owner)
        {
            continue;
        }
        let (keys, ranges) = owned.get(&target.owner).copied().unwrap_or_default();
        targets.push(Target {
            owner: target.owner.clone(),
            capacity: capacity(target),
            keys,
            ranges,
            rate: target.key_rates.iter().map(|(_, count)| rate(*count)).sum(),
        });
    }
    targets
}

/// Returns the target with the fewest keys relative to its capacity.
fn with_fewest_keys(targets: &mut [Target]) -> &mut Target {
    targets
        .iter_mut()
        .min_by(|a, b| (a.keys / a.capacity).total_cmp(&(b.keys / b.capacity)))
        .expect("the caller passes at least one target")
}

/// Returns the draining targets. A target that is only silent keeps its keys
/// until its holds have expired.
fn draining(roster: &Roster) -> BTreeSet<&Owner> {
    let reports = roster.reports();
    let targets = reports.filter_map(|received| received.report.target.as_ref());
    targets
        .filter(|target| target.condition == Condition::Draining)
        .map(|target| &target.owner)
        .collect()
}

/// Returns moves of ranges to targets that own less than [`NEW_TARGET_RATIO`] of
/// their fair share of the keys, each from the target that owns the most keys
/// relative to its capacity. A range that holds more than the share is divided.
fn moves_to_new_targets(keyspace: &Keyspace, targets: &mut [Target]) -> Vec<(Span, Owner)> {
    let capacity: f64 = targets.iter().map(|target| target.capacity).sum();
    let mut moves: Vec<(Span, Owner)> = Vec::new();
    while moves.len() < MAX_MOVES_PER_STEP {
        let Some(empty) = targets.iter().position(|target| {
            let fair = 65_536.0 * target.capacity / capacity;
            target.keys < fair * NEW_TARGET_RATIO && targets.len() > 1
        }) else {
            break;
        };
        let Some(full) = (0..targets.len()).filter(|at| *at != empty).max_by(|a, b| {
            let weight = |at: usize| targets[at].keys / targets[at].capacity;
            weight(*a).total_cmp(&weight(*b))
        }) else {
            break;
        };
        let range = keyspace.ranges().iter().find(|range| {
            let mut taken = moves.iter().map(|(span, _)| *span);
            range.owner.as_ref() == Some(&targets[full].owner)
                && taken.all(|span| span.overlap(range.span).is_none())
        });
        let Some(range) = range else { break };
        let fair = 65_536.0 * targets[empty].capacity / capacity;
        let span = first_keys(range.span, fair - targets[empty].keys);
        let length = f64::from(span.len());
        targets[full].keys -= length;
        targets[empty].keys += length;
        moves.push((span, targets[empty].owner.clone()));
    }
    moves
}

/// Returns the first keys of a span: the whole span, or the largest of its half,
/// quarter and so on that has at most `count` keys, but at least one key.
fn first_keys(span: Span, count: f64) -> Span {
    let mut part = span;
    while part.len() > 1 && f64::from(part.len()) > count {
        part.to = part.from + (part.to - part.from) / 2;
    }
    part
}

/// Returns moves of ranges from the most to the least utilized targets.
///
/// A range that would overload its next owner doesn't move. A single hot key
/// therefore stays with its target, and the target's other ranges move.
fn moves_from_overloaded(
    keyspace: &Keyspace,
    targets: &mut [Target],
    roster: &Roster,
) -> Vec<(Span, Owner)> {
    let rate: f64 = targets.iter().map(|target| target.rate).sum();
    let capacity: f64 = targets.iter().map(|target| target.capacity).sum();
    let mean = rate / capacity;
    let mut moves: Vec<(Span, Owner)> = Vec::new();
    while moves.len() < MAX_MOVES_PER_STEP {
        let by_use = |a: &&Target, b: &&Target| a.utilization().total_cmp(&b.utilization());
        let free = targets
            .iter()
            .filter(|target| target.ranges < MAX_RANGES_PER_TARGET);
        let (Some(busiest), Some(least_used)) =
            (targets.iter().max_by(by_use), free.min_by(by_use))
        else {
            break;
        };
        // The first move needs a larger imbalance than those that follow it, so
        // that small differences cause no moves but larger ones are levelled.
        let limit = if moves.is_empty() {
            OVERLOAD_RATIO
        } else {
            BALANCED_RATIO
        };
        if busiest.utilization() < MIN_UTILIZATION || busiest.utilization() < mean * limit {
            break;
        }
        // The rates above and below the mean, in requests per second. A move may
        // exceed the rate that the next owner has to spare by 20%.
        let excess = (busiest.utilization() - mean) * busiest.capacity;
        let spare = (mean - least_used.utilization()) * least_used.capacity;
        let max_rate = excess.min(spare * 1.2);
        let Some((span, rate)) = busiest_span(keyspace, busiest, roster, max_rate, &moves) else {
            break;
        };
        let (from, to) = (busiest.owner.clone(), least_used.owner.clone());
        for target in targets.iter_mut() {
            if target.owner == from {
                target.rate -= rate;
                // Moving the middle of a range leaves two ranges behind.
                target.ranges += 1;
            } else if target.owner == to {
                target.rate += rate;
                target.ranges += 1;
            }
        }
        moves.push((span, to));
    }
    moves
}

/// Returns the range or part of a range of the target `busiest` with the highest
/// rate up to `max_rate`, and that rate.
///
/// Rates are in requests per second. Spans that overlap one in `taken` are left
/// out.
fn busiest_span(
    keyspace: &Keyspace,
    busiest: &Target,
    roster: &Roster,
    max_rate: f64,
    taken: &[(Span, Owner)],
) -> Option<(Span, f64)> {
    let reports = roster
        .reports()
        .filter_map(|received| received.report.target.as_ref());
    let key_rates = &reports
        .into_iter()
        .find(|target| target.owner == busiest.owner)?
        .key_rates;
    let mut parts: Vec<(Span, f64)> = Vec::new();
    for range in keyspace.ranges() {
        if range.owner.as_ref() != Some(&busiest.owner) {
            continue;
        }
        let inside: Vec<(Span, f64)> = key_rates
            .iter()
            .filter_map(|(part, count)| Some((part.overlap(range.span)?, rate(*count))))
            .collect();
        let total: f64 = inside.iter().map(|(_, rate)| rate).sum();
        if total <= max_rate {
            parts.push((range.span, total));
        } else if busiest.ranges < MAX_RANGES_PER_TARGET {
            parts.extend(inside);
        }
    }
    parts
        .into_iter()
        .filter(|(span, rate)| {
            let is_free = taken
                .iter()
                .all(|(other, _)| other.overlap(*span).is_none());
            is_free && *rate <= max_rate && *rate > max_rate * MIN_MOVE_RATIO
        })
        .max_by(|a, b| a.1.total_cmp(&b.1))
}

/// Returns the rate that a target can serve, in requests per second: its slots
/// divided by the mean time of a request, or the limit that it names if that is lower.
fn capacity(target: &TargetReport) -> f64 {
    let mean = if target.mean_ms == 0 {
        DEFAULT_MEAN_MS
    } else {
        f64::from(target.mean_ms)
    };
    let rate = f64::from(target.slots.max(1)) * 1000.0 / mean;
    target
        .rate_limit
        .map_or(rate, |limit| rate.min(limit.max(MIN_RATE)))
}

/// Converts the rate in a report, in requests per ten seconds, to requests per
/// second.
fn rate(count: u32) -> f64 {
    f64::from(count) / 10.0
}
