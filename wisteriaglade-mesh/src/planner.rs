//! Assignment of key ranges to targets.
//!
//! The leader of the control replicas owns one [`Planner`], calls it at
//! intervals and proposes the commands that it returns to the control log.

use std::{collections::BTreeMap, time::Duration};

use wisteriaglade_types::Name;

use crate::{Command, Condition, Keyspace, Owner, Pool, Roster, Span, State, TargetReport};

/// The number of ranges that each target of a new pool gets. Busy keys lie close
/// together, so neighbouring ranges go to different targets. The answer to a
/// heartbeat, which lists a target's ranges, is limited to 4 KiB.
const STRIPES: u32 = 16;

/// How long the set of targets of a new pool has to be unchanged before its keys
/// are granted, so that the last target to announce itself gets a share.
const SETTLE: Duration = Duration::from_millis(1200);

/// The age of a host's last report above which its target gets no more keys.
const FRESH: Duration = Duration::from_secs(2);

/// The factor applied to leases for clock drift. A target's clock may run 2%
/// slow and the leader's 2% fast, which 4% covers.
const DRIFT: f64 = 1.04;

/// The time added to each wait for a lease to expire, for timers that fire early
/// or late.
const SLACK: Duration = Duration::from_millis(300);

/// The most ranges of one target that rebalancing creates. The answer to a
/// heartbeat is limited to 4 KiB, and a range takes 20 to 45 bytes of it. The
/// limit leaves room for the ranges of draining targets: if half of a pool
/// drains, the other half has twice as many, which still fit.
const RANGES: usize = 48;

/// The most moves that one step starts. Keys are unavailable while they move, so
/// a large change is spread over several steps.
const MOVES: usize = 40;

/// The utilization of a target, relative to the mean of its pool, from which
/// ranges move away from it.
const OVERLOAD: f64 = 1.2;

/// The utilization of a target, relative to the mean of its pool, to which it is
/// brought once ranges move.
const EVEN: f64 = 1.05;

/// The utilization below which no ranges move away from a target.
const USE_MIN: f64 = 0.8;

/// The mean time of a request in milliseconds that is assumed for a target
/// without measurements.
const MEAN_FIRST: f64 = 100.0;

/// The least time between two rebalancing steps of a pool. Reports of the new
/// load have to arrive in between.
const REBALANCE: Duration = Duration::from_millis(1500);

/// The fraction of its fair share of the keys below which a target counts as
/// new.
const NEWCOMER: f64 = 0.25;

/// The smallest move, as a fraction of the request rate to be moved. A smaller
/// one is not worth the time in which its keys have no holder.
const SMALLEST: f64 = 0.03;

/// A target that may be given keys.
struct Taker {
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

impl Taker {
    /// Returns the utilization: the rate divided by the capacity.
    fn used(&self) -> f64 {
        self.rate / self.capacity
    }
}

/// Decides which key ranges are granted, moved and taken back.
#[derive(Debug)]
pub struct Planner {
    /// The length of a host's lease.
    lease: Duration,
    /// The targets of each new pool, and since when they have been unchanged.
    settled: BTreeMap<Name, (Vec<Owner>, Duration)>,
    /// When each pool was last rebalanced.
    balanced: BTreeMap<Name, Duration>,
}

impl Planner {
    /// Creates a planner. `lease` is the length of the leases that the leader
    /// gives to hosts.
    #[must_use]
    pub fn new(lease: Duration) -> Self {
        Self {
            lease,
            settled: BTreeMap::new(),
            balanced: BTreeMap::new(),
        }
    }

    /// Returns the commands to propose now. Call it again only after they were
    /// applied to `state`.
    pub fn step(&mut self, now: Duration, state: &State, roster: &Roster) -> Vec<Command> {
        let mut commands = self.forget(now, state, roster);
        if !commands.is_empty() {
            return commands;
        }
        for pool in state.plan().pools.iter().filter(|pool| pool.sharded) {
            let fallback = Keyspace::default();
            let keyspace = state.keyspaces().get(&pool.name).unwrap_or(&fallback);
            if let Some(command) = free(pool, keyspace, roster) {
                commands.push(command);
                continue;
            }
            commands.extend(self.place(now, pool, keyspace, roster));
        }
        commands
    }

    /// Returns commands that remove owners all of whose holds have ended.
    fn forget(&self, now: Duration, state: &State, roster: &Roster) -> Vec<Command> {
        let mut owners: Vec<&Owner> = Vec::new();
        for range in state.keyspaces().values().flat_map(Keyspace::ranges) {
            for owner in [&range.owner, &range.next].into_iter().flatten() {
                if !owners.contains(&owner) {
                    owners.push(owner);
                }
            }
        }
        owners
            .into_iter()
            .filter(|owner| self.is_over(now, owner, roster))
            .map(|owner| Command::Revoke {
                owner: owner.clone(),
            })
            .collect()
    }

    /// Returns whether every hold of a target has ended: the target was replaced
    /// or has ended, or it is silent and its last lease has expired.
    fn is_over(&self, now: Duration, owner: &Owner, roster: &Roster) -> bool {
        let is_replaced = roster.reports().any(|received| {
            let target = received.report.target.as_ref().map(|target| &target.owner);
            target.is_some_and(|target| {
                target.host_address == owner.host_address
                    && target != owner
                    && target.started_ms >= owner.started_ms
            })
        });
        if is_replaced || roster.ended().contains(owner) {
            return true;
        }
        let wait = self.lease.mul_f64(DRIFT) + SLACK;
        let received = roster.reports().find(|received| {
            let target = received.report.target.as_ref();
            target.is_some_and(|target| target.owner == *owner)
        });
        let last_lease = roster.last_lease(owner);
        let silent = received.is_none_or(|received| {
            let target = received.report.target.as_ref();
            now.saturating_sub(received.received_at) > FRESH
                || target.is_some_and(|target| target.condition == Condition::Silent)
        });
        silent && now.saturating_sub(last_lease) > wait
    }

    /// Returns a command that grants unowned keys, or else one that moves keys
    /// away from draining or overloaded targets.
    fn place(
        &mut self,
        now: Duration,
        pool: &Pool,
        keyspace: &Keyspace,
        roster: &Roster,
    ) -> Option<Command> {
        let mut takers = takers(now, pool, keyspace, roster);
        if takers.is_empty() {
            return None;
        }
        if keyspace.is_new() {
            return self.divide(now, pool, &takers);
        }
        let name = pool.name.clone();
        let mut grants = Vec::new();
        let mut moves = Vec::new();
        for range in keyspace.ranges() {
            match &range.owner {
                None => {
                    let taker = lightest(&mut takers);
                    taker.keys += f64::from(range.span.len());
                    grants.push((range.span, taker.owner.clone()));
                }
                Some(owner) if range.next.is_none() && moves.len() < MOVES => {
                    if takers.iter().all(|taker| taker.owner != *owner) && is_leaving(owner, roster)
                    {
                        let taker = lightest(&mut takers);
                        taker.keys += f64::from(range.span.len());
                        moves.push((range.span, taker.owner.clone()));
                    }
                }
                Some(_) => {}
            }
        }
        if !grants.is_empty() {
            return Some(Command::Grant { pool: name, grants });
        }
        if moves.is_empty() {
            moves = self.balance(now, &name, keyspace, &mut takers, roster);
        }
        (!moves.is_empty()).then_some(Command::Move { pool: name, moves })
    }

    /// Grants all keys of a new pool once its set of targets is stable.
    fn divide(&mut self, now: Duration, pool: &Pool, takers: &[Taker]) -> Option<Command> {
        let owners: Vec<_> = takers.iter().map(|taker| taker.owner.clone()).collect();
        let entry = self.settled.entry(pool.name.clone());
        let (known, since) = entry.or_insert_with(|| (owners.clone(), now));
        if *known != owners {
            *known = owners;
            *since = now;
        }
        if now.saturating_sub(*since) < SETTLE {
            return None;
        }
        let count = u32::try_from(takers.len()).unwrap_or(1) * STRIPES;
        let edge = |stripe: u32| u16::try_from(65_536 * u64::from(stripe) / u64::from(count));
        let grants = (0..count)
            .filter_map(|stripe| {
                let to = edge(stripe + 1).map_or(u16::MAX, |next| next - 1);
                let taker = &takers[stripe as usize % takers.len()];
                Some((Span::new(edge(stripe).ok()?, to), taker.owner.clone()))
            })
            .collect();
        let pool = pool.name.clone();
        Some(Command::Grant { pool, grants })
    }

    /// Returns moves of ranges to new targets, or else away from overloaded
    /// ones.
    fn balance(
        &mut self,
        now: Duration,
        pool: &Name,
        keyspace: &Keyspace,
        takers: &mut [Taker],
        roster: &Roster,
    ) -> Vec<(Span, Owner)> {
        if keyspace.ranges().iter().any(|range| range.next.is_some()) {
            return Vec::new();
        }
        let moves = newcomers(keyspace, takers);
        if !moves.is_empty() {
            return moves;
        }
        let last = self.balanced.get(pool).copied();
        if last.is_some_and(|at| now.saturating_sub(at) < REBALANCE) {
            return Vec::new();
        }
        let moves = relieve(keyspace, takers, roster);
        if !moves.is_empty() {
            self.balanced.insert(pool.clone(), now);
        }
        moves
    }
}

/// Returns a command that records keys that a target has released, if the log
/// does not show them yet.
fn free(pool: &Pool, keyspace: &Keyspace, roster: &Roster) -> Option<Command> {
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

/// Returns the targets that may be given keys of a pool.
fn takers(now: Duration, pool: &Pool, keyspace: &Keyspace, roster: &Roster) -> Vec<Taker> {
    let mut takers = Vec::new();
    for received in roster.reports() {
        let Some(target) = &received.report.target else {
            continue;
        };
        let is_fresh = now.saturating_sub(received.received_at) <= FRESH;
        let is_ready = target.condition == Condition::Ready && !received.report.leaving;
        if target.pool != pool.name
            || !is_fresh
            || !is_ready
            || roster.ended().contains(&target.owner)
        {
            continue;
        }
        let mine = |range: &&crate::Range| {
            range.next.as_ref().or(range.owner.as_ref()) == Some(&target.owner)
        };
        let keys = keyspace.ranges().iter().filter(mine);
        let ranges = keys.clone().count();
        takers.push(Taker {
            owner: target.owner.clone(),
            capacity: capacity(target),
            keys: keys.map(|range| f64::from(range.span.len())).sum(),
            ranges,
            rate: target.key_rates.iter().map(|(_, count)| rate(*count)).sum(),
        });
    }
    takers
}

/// Returns the target with the fewest keys relative to its capacity.
fn lightest(takers: &mut [Taker]) -> &mut Taker {
    takers
        .iter_mut()
        .min_by(|a, b| (a.keys / a.capacity).total_cmp(&(b.keys / b.capacity)))
        .expect("the caller has checked that a target may take keys")
}

/// Returns whether a target is draining. A target that is only silent keeps its
/// keys until its holds have expired.
fn is_leaving(owner: &Owner, roster: &Roster) -> bool {
    roster.reports().any(|received| {
        let target = received.report.target.as_ref();
        target
            .is_some_and(|target| target.owner == *owner && target.condition == Condition::Draining)
    })
}

/// Returns moves of ranges to targets with far less than their fair share of the
/// keys.
fn newcomers(keyspace: &Keyspace, takers: &mut [Taker]) -> Vec<(Span, Owner)> {
    let capacity: f64 = takers.iter().map(|taker| taker.capacity).sum();
    let mut moves: Vec<(Span, Owner)> = Vec::new();
    while moves.len() < MOVES {
        let Some(empty) = takers.iter().position(|taker| {
            let fair = 65_536.0 * taker.capacity / capacity;
            taker.keys < fair * NEWCOMER && takers.len() > 1
        }) else {
            break;
        };
        let Some(full) = (0..takers.len()).filter(|at| *at != empty).max_by(|a, b| {
            let weight = |at: usize| takers[at].keys / takers[at].capacity;
            weight(*a).total_cmp(&weight(*b))
        }) else {
            break;
        };
        let range = keyspace.ranges().iter().find(|range| {
            range.owner.as_ref() == Some(&takers[full].owner)
                && moves.iter().all(|(span, _)| *span != range.span)
        });
        let Some(range) = range else { break };
        let length = f64::from(range.span.len());
        takers[full].keys -= length;
        takers[empty].keys += length;
        moves.push((range.span, takers[empty].owner.clone()));
    }
    moves
}

/// Returns moves of ranges from the most to the least utilized targets.
///
/// A range that would overload its next owner doesn't move. A single hot key
/// therefore stays with its target, and the target's other ranges move.
fn relieve(keyspace: &Keyspace, takers: &mut [Taker], roster: &Roster) -> Vec<(Span, Owner)> {
    let rate: f64 = takers.iter().map(|taker| taker.rate).sum();
    let capacity: f64 = takers.iter().map(|taker| taker.capacity).sum();
    let mean = rate / capacity;
    let mut moves: Vec<(Span, Owner)> = Vec::new();
    while moves.len() < MOVES {
        let by_use = |a: &&Taker, b: &&Taker| a.used().total_cmp(&b.used());
        let free = takers.iter().filter(|taker| taker.ranges < RANGES);
        let (Some(busy), Some(calm)) = (takers.iter().max_by(by_use), free.min_by(by_use)) else {
            break;
        };
        // The first move needs a larger imbalance than those that follow it, so
        // that small differences cause no moves but larger ones are levelled.
        let limit = if moves.is_empty() { OVERLOAD } else { EVEN };
        if busy.used() < USE_MIN || busy.used() < mean * limit {
            break;
        }
        let excess = (busy.used() - mean) * busy.capacity;
        let room = (mean - calm.used()) * calm.capacity;
        let most = excess.min(room * 1.2);
        let Some((span, rate)) = best_part(keyspace, busy, roster, most, &moves) else {
            break;
        };
        let (from, to) = (busy.owner.clone(), calm.owner.clone());
        for taker in takers.iter_mut() {
            if taker.owner == from {
                taker.rate -= rate;
                // Moving the middle of a range leaves two ranges behind.
                taker.ranges += 1;
            } else if taker.owner == to {
                taker.rate += rate;
                taker.ranges += 1;
            }
        }
        moves.push((span, to));
    }
    moves
}

/// Returns the range or part of a range of the target `busy` with the highest
/// rate up to `most`, with that rate. Rates are in requests per second. Spans
/// that overlap one in `taken` are left out.
fn best_part(
    keyspace: &Keyspace,
    busy: &Taker,
    roster: &Roster,
    most: f64,
    taken: &[(Span, Owner)],
) -> Option<(Span, f64)> {
    let reports = roster
        .reports()
        .filter_map(|received| received.report.target.as_ref());
    let key_rates = &reports
        .into_iter()
        .find(|target| target.owner == busy.owner)?
        .key_rates;
    let mut parts: Vec<(Span, f64)> = Vec::new();
    for range in keyspace.ranges() {
        if range.owner.as_ref() != Some(&busy.owner) {
            continue;
        }
        let inside: Vec<(Span, f64)> = key_rates
            .iter()
            .filter_map(|(part, count)| Some((part.overlap(range.span)?, rate(*count))))
            .collect();
        let total: f64 = inside.iter().map(|(_, rate)| rate).sum();
        if total <= most {
            parts.push((range.span, total));
        } else if busy.ranges < RANGES {
            parts.extend(inside);
        }
    }
    parts
        .into_iter()
        .filter(|(span, rate)| {
            let is_free = taken
                .iter()
                .all(|(other, _)| other.overlap(*span).is_none());
            is_free && *rate <= most && *rate > most * SMALLEST
        })
        .max_by(|a, b| a.1.total_cmp(&b.1))
}

/// Returns the rate that a target can serve, in requests per second.
fn capacity(target: &TargetReport) -> f64 {
    let mean = if target.mean_ms == 0 {
        MEAN_FIRST
    } else {
        f64::from(target.mean_ms)
    };
    f64::from(target.slots.max(1)) * 1000.0 / mean
}

/// Converts the rate in a report, in requests per ten seconds, to requests per
/// second.
fn rate(count: u32) -> f64 {
    f64::from(count) / 10.0
}
