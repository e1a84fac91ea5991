//! The leader's decisions about key ranges.

use std::{collections::BTreeMap, time::Duration};

use wisteriaglade_types::Name;

use crate::{Command, Condition, Keyspace, Owner, Pool, Roster, Span, State, TargetReport};

/// Ranges for each target of a new pool. Busy keys lie close together, so
/// neighbouring ranges go to different targets; a heartbeat's answer holds at
/// most 4 KiB.
const STRIPES: u32 = 16;

/// How long the set of targets of a new pool has to stay the same before its
/// keys are divided, so that the last target to announce itself gets a share.
const SETTLE: Duration = Duration::from_millis(1200);

/// A host that has not reported for this long takes no keys.
const FRESH: Duration = Duration::from_secs(2);

/// A target's clock may run 2% slow, and the leader's fast; 4% cover both.
const DRIFT: f64 = 1.04;

/// Added to each wait for a lease, for timers that fire early or late.
const SLACK: Duration = Duration::from_millis(300);

/// Ranges of one target at most, as far as moves for balance go. A heartbeat's
/// answer holds at most 4 KiB, a range takes 20 to 45 bytes of it, and targets
/// that leave pass theirs on: with half of a pool gone, twice as many fit.
const RANGES: usize = 48;

/// Moves that one pass starts, so that a large change does not halt all keys
/// at once.
const MOVES: usize = 40;

/// How many times the mean of the pool a target's use has to be before ranges
/// move away from it.
const OVERLOAD: f64 = 1.2;

/// How close to the mean a target's use is brought once ranges move.
const EVEN: f64 = 1.05;

/// The use of its slots below which a target is left alone.
const USE_MIN: f64 = 0.8;

/// The mean time of a request at a target that was not measured yet, in
/// milliseconds.
const MEAN_FIRST: f64 = 100.0;

/// The shortest time between two moves for balance in a pool. Reports of the
/// new load have to arrive in between.
const REBALANCE: Duration = Duration::from_millis(1500);

/// A newcomer has less than this part of its fair share of the keys.
const NEWCOMER: f64 = 0.25;

/// The part of the wanted rate below which a move is not worth the time in
/// which its keys have no holder.
const SMALLEST: f64 = 0.03;

/// A target that may take keys.
struct Taker {
    owner: Owner,
    /// Requests a second that it can run.
    capacity: f64,
    keys: f64,
    /// Ranges that it holds or is about to.
    ranges: usize,
    /// Requests a second that it is sent.
    rate: f64,
}

impl Taker {
    /// The part of the capacity that is used.
    fn used(&self) -> f64 {
        self.rate / self.capacity
    }
}

/// The leader's decisions about key ranges.
#[derive(Debug)]
pub struct Planner {
    /// How long a host's lease lasts.
    lease: Duration,
    /// Since when each new pool has had the same targets.
    settled: BTreeMap<Name, (Vec<Owner>, Duration)>,
    /// When ranges last moved for balance.
    balanced: BTreeMap<Name, Duration>,
}

impl Planner {
    /// A planner for leases of a length.
    #[must_use]
    pub fn new(lease: Duration) -> Self {
        Self {
            lease,
            settled: BTreeMap::new(),
            balanced: BTreeMap::new(),
        }
    }

    /// The commands that are due. Call it again only when these are applied.
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

    /// Takes the keys of targets that hold nothing any more.
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
            .map(|owner| Command::Forget {
                owner: owner.clone(),
            })
            .collect()
    }

    /// Whether every hold of a target is over.
    fn is_over(&self, now: Duration, owner: &Owner, roster: &Roster) -> bool {
        let is_replaced = roster.records().any(|record| {
            let target = record.report.target.as_ref().map(|target| &target.owner);
            target.is_some_and(|target| {
                target.host == owner.host && target != owner && target.born >= owner.born
            })
        });
        if is_replaced || roster.ended().contains(owner) {
            return true;
        }
        let wait = self.lease.mul_f64(DRIFT) + SLACK;
        let record = roster.records().find(|record| {
            let target = record.report.target.as_ref();
            target.is_some_and(|target| target.owner == *owner)
        });
        let leased = roster.leased(owner);
        let silent = record.is_none_or(|record| {
            let target = record.report.target.as_ref();
            now.saturating_sub(record.seen) > FRESH
                || target.is_some_and(|target| target.condition == Condition::Silent)
        });
        silent && now.saturating_sub(leased) > wait
    }

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
        (!moves.is_empty()).then_some(Command::Shift { pool: name, moves })
    }

    /// Divides a new pool once its targets have announced themselves.
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

    /// Moves ranges to targets without any, and away from targets with far
    /// more load than the others.
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

/// What a target has released and the log does not show yet.
fn free(pool: &Pool, keyspace: &Keyspace, roster: &Roster) -> Option<Command> {
    roster.records().find_map(|record| {
        let target = record.report.target.as_ref()?;
        let rows: Vec<_> = target
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
        (!rows.is_empty() && target.pool == pool.name).then(|| Command::Free {
            pool: pool.name.clone(),
            owner: target.owner.clone(),
            rows,
        })
    })
}

/// The targets that may take keys of a pool.
fn takers(now: Duration, pool: &Pool, keyspace: &Keyspace, roster: &Roster) -> Vec<Taker> {
    let mut takers = Vec::new();
    for record in roster.records() {
        let Some(target) = &record.report.target else {
            continue;
        };
        let is_fresh = now.saturating_sub(record.seen) <= FRESH;
        let is_ready = target.condition == Condition::Ready && !record.report.leaving;
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
            rate: target.heat.iter().map(|(_, count)| rate(*count)).sum(),
        });
    }
    takers
}

/// The taker with the fewest keys for its size.
fn lightest(takers: &mut [Taker]) -> &mut Taker {
    takers
        .iter_mut()
        .min_by(|a, b| (a.keys / a.capacity).total_cmp(&(b.keys / b.capacity)))
        .expect("the caller has checked that a target may take keys")
}

/// Whether a target is about to end. One that is only silent keeps its keys
/// until its holds are over.
fn is_leaving(owner: &Owner, roster: &Roster) -> bool {
    roster.records().any(|record| {
        let target = record.report.target.as_ref();
        target
            .is_some_and(|target| target.owner == *owner && target.condition == Condition::Draining)
    })
}

/// Ranges for targets that have none.
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

/// Moves ranges from the busiest targets to the least busy ones.
///
/// A range that would only move the overload stays, so a single hot key stays
/// where it is and the other ranges of its target leave.
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
        // Once ranges move at all, they move until the loads are even.
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
                // A part from the middle of a range leaves two.
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

/// The busiest range, or part of a range, of a target that is not busier than
/// `most` requests a second.
fn best_part(
    keyspace: &Keyspace,
    busy: &Taker,
    roster: &Roster,
    most: f64,
    taken: &[(Span, Owner)],
) -> Option<(Span, f64)> {
    let reports = roster
        .records()
        .filter_map(|record| record.report.target.as_ref());
    let heat = &reports
        .into_iter()
        .find(|target| target.owner == busy.owner)?
        .heat;
    let mut parts: Vec<(Span, f64)> = Vec::new();
    for range in keyspace.ranges() {
        if range.owner.as_ref() != Some(&busy.owner) {
            continue;
        }
        let inside: Vec<(Span, f64)> = heat
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

/// Requests a second that a target can run.
fn capacity(target: &TargetReport) -> f64 {
    let mean = if target.mean == 0 {
        MEAN_FIRST
    } else {
        f64::from(target.mean)
    };
    f64::from(target.slots.max(1)) * 1000.0 / mean
}

/// Requests a second, from the number in ten seconds that a report carries.
fn rate(count: u32) -> f64 {
    f64::from(count) / 10.0
}
