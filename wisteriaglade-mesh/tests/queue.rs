//! Tests of [`Queue`], the admission control of a target.

use std::{collections::HashMap, time::Duration};

use rstest::rstest;
use wisteriaglade_mesh::{Arrival, Completion, Effect, Notice, Queue, Reason};

const LONG: u64 = 1;
const SHORT: u64 = 2;

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn arrival(id: u64, kind: u64, pool: &str, now: u64) -> Arrival {
    let (objective, deadline) = if kind == LONG {
        (500, 1200)
    } else {
        (150, 500)
    };
    Arrival {
        id,
        kind,
        priority: 1,
        caller_pool: pool.into(),
        objective: at(now + objective),
        deadline: at(now + deadline),
        may_wait: true,
        has_alternative: true,
    }
}

/// Returns a queue with one slot that has classified both kinds of work: long
/// work comes from every pool, short work only from `catalogue`, so it is
/// nested.
fn queue_with_known_kinds() -> Queue {
    let mut queue = Queue::new(1);
    let mut effects = Vec::new();
    let mut now = 0;
    for id in 0..60 {
        let pool = ["catalogue", "bookings", "ledger"][usize::try_from(id).unwrap_or(0) % 3];
        queue.arrive(at(now), arrival(id, LONG, pool, now), &mut effects);
        now += 100;
        queue.finish(at(now), id, Completion::Done, &mut effects);
        let short = 1_000 + id;
        queue.arrive(
            at(now),
            arrival(short, SHORT, "catalogue", now),
            &mut effects,
        );
        now += 20;
        queue.finish(at(now), short, Completion::Done, &mut effects);
    }
    queue
}

/// Guards against nested work that waits behind independent work, while the
/// request that waits for it keeps its slot.
#[test]
fn nested_work_starts_first() {
    let mut queue = queue_with_known_kinds();
    let mut effects = Vec::new();
    queue.arrive(at(10_000), arrival(1, LONG, "ledger", 10_000), &mut effects);
    queue.arrive(at(10_001), arrival(2, LONG, "ledger", 10_001), &mut effects);
    queue.arrive(
        at(10_002),
        arrival(3, SHORT, "catalogue", 10_002),
        &mut effects,
    );
    effects.clear();

    queue.finish(at(10_100), 1, Completion::Done, &mut effects);

    let waited = at(98);
    assert_eq!(effects, [Effect::Start { id: 3, waited }]);
}

/// Guards against a queue that grows when the demand is twice the capacity, so
/// that requests run but miss their objective. Requests that cannot meet it have
/// to be rejected on arrival, and the slot has to stay busy.
#[test]
fn an_overloaded_target_meets_the_objective_of_admitted_requests() {
    let mut queue = queue_with_known_kinds();
    let mut effects = Vec::new();
    let mut started: Vec<(u64, u64)> = Vec::new();
    let mut rejected = 0;
    let mut running = None;
    for now in 10_000..20_000 {
        if now % 50 == 0 {
            queue.arrive(at(now), arrival(now, LONG, "ledger", now), &mut effects);
        }
        if let Some((id, end)) = running
            && end == now
        {
            running = None;
            queue.finish(at(now), id, Completion::Done, &mut effects);
        }
        for effect in effects.drain(..) {
            match effect {
                Effect::Start { id, .. } => {
                    started.push((id, now));
                    running = Some((id, now + 100));
                }
                Effect::Reject { reason, .. } => {
                    assert_eq!(reason, Reason::Late);
                    rejected += 1;
                }
                Effect::Prefetch { .. } => {}
            }
        }
    }

    assert!(
        started.len() >= 98,
        "the target was idle: {}",
        started.len()
    );
    assert!(rejected >= 90, "only {rejected} of 200 were rejected");
    let late = started.iter().filter(|(id, start)| start + 100 > id + 500);
    assert_eq!(late.count(), 0);
}

/// Guards against means that leave out cancelled requests: a target that becomes
/// slow would seem as fast as before.
#[test]
fn cancelled_requests_raise_the_measured_mean() {
    let mut queue = queue_with_known_kinds();
    let mut effects = Vec::new();
    let before = queue.measured_mean();

    for id in 1..30 {
        let now = 10_000 + id * 1_000;
        queue.arrive(at(now), arrival(id, LONG, "ledger", now), &mut effects);
        queue.finish(at(now + 900), id, Completion::Cancelled, &mut effects);
    }

    assert!(queue.measured_mean() > before.map(|mean| mean * 3));
}

/// Guards against a slot that is idle while a body arrives over a slow link,
/// which takes as long as the work itself here. Waiting requests have to have
/// their bodies by the time a slot is free.
#[test]
fn bodies_are_prefetched_while_requests_wait() {
    const FETCH: u64 = 50;
    const WORK: u64 = 50;
    let mut queue = queue_with_known_kinds();
    let mut effects = Vec::new();
    let mut arrives: HashMap<u64, u64> = HashMap::new();
    let mut running = None;
    let mut done = 0;
    for now in 10_000..20_000 {
        if now % 30 == 0 {
            queue.arrive(at(now), arrival(now, LONG, "ledger", now), &mut effects);
        }
        if let Some((id, end)) = running
            && end == now
        {
            running = None;
            done += 1;
            queue.finish(at(now), id, Completion::Done, &mut effects);
        }
        for effect in effects.drain(..) {
            match effect {
                Effect::Prefetch { id } => {
                    arrives.insert(id, now + FETCH);
                }
                Effect::Start { id, .. } => {
                    let arrives = *arrives.entry(id).or_insert(now + FETCH);
                    running = Some((id, arrives.max(now) + WORK));
                }
                Effect::Reject { .. } => {}
            }
        }
    }

    // 200 requests fit into the time with prefetching and 100 without.
    assert!(done >= 190, "only {done} requests were served");
}

/// Returns a queue with six slots for a target that names a limit.
fn limited_queue(rate: f64) -> Queue {
    let mut queue = Queue::new(6);
    queue.set_notice(Duration::ZERO, Some(limit(Some(rate))));
    queue
}

fn limit(rate_limit: Option<f64>) -> Notice {
    Notice {
        rate_limit,
        leaving: false,
    }
}

/// Offers requests of 20 ms at `interval` for 20 s and returns when each started.
fn starts_under_load(queue: &mut Queue, interval: u64) -> Vec<u64> {
    let mut effects = Vec::new();
    let mut ends: Vec<(u64, u64)> = Vec::new();
    let mut starts = Vec::new();
    for now in 0..20_000 {
        for (_, id) in ends.extract_if(.., |(end, _)| *end <= now) {
            queue.finish(at(now), id, Completion::Done, &mut effects);
        }
        if now % interval == 0 {
            queue.arrive(at(now), arrival(now, LONG, "ledger", now), &mut effects);
        }
        if now % 50 == 0 {
            queue.start_waiting(at(now), &mut effects);
        }
        for effect in effects.drain(..) {
            if let Effect::Start { id, .. } = effect {
                starts.push(now);
                ends.push((now + 20, id));
            }
        }
    }
    starts
}

/// Guards against more starts than the limit of a target allows, and against starts
/// that it allows and that are not used.
#[rstest]
#[case::high(50.0, 980, 1_030)]
#[case::usual(10.0, 190, 206)]
#[case::one(1.0, 19, 21)]
#[case::tiny(0.01, 4, 6)]
#[case::zero(0.0, 4, 6)]
#[case::no_limit_in_effect(1e300, 1_990, 2_000)]
fn starts_keep_to_the_limit(#[case] rate: f64, #[case] least: usize, #[case] most: usize) {
    let mut queue = limited_queue(rate);

    let starts = starts_under_load(&mut queue, 10);

    assert!((least..=most).contains(&starts.len()), "{}", starts.len());
    for from in &starts {
        let inside = starts
            .iter()
            .filter(|at| (*from..from + 4_000).contains(at));
        let inside = f64::from(u32::try_from(inside.count()).unwrap());
        assert!(inside <= 6.0 * rate + 5.0, "{inside} from {from}");
    }
}

/// Guards against callers that are all sent back at the same moment, when the limit
/// has room for one of them.
#[test]
fn refused_callers_return_at_the_rate_of_the_limit() {
    let mut queue = limited_queue(10.0);
    let mut effects = Vec::new();

    for id in 0..12 {
        queue.arrive(at(id), arrival(id, LONG, "ledger", id), &mut effects);
    }

    let retries: Vec<_> = effects
        .iter()
        .filter_map(|effect| match effect {
            Effect::Reject { retry, reason, .. } => Some((*retry, *reason)),
            _ => None,
        })
        .collect();
    assert!(retries.len() > 5, "{retries:?}");
    for pair in retries.windows(2) {
        assert_eq!(pair[1].1, Reason::Limited);
        let apart = pair[1].0.saturating_sub(pair[0].0);
        assert!(apart >= at(90), "{retries:?}");
    }
}

/// Guards against requests that wait for a limit after it has ended.
#[test]
fn requests_that_wait_for_a_limit_start_when_it_ends() {
    let mut queue = limited_queue(10.0);
    let mut effects = Vec::new();
    for id in 0..2 {
        queue.arrive(at(id), arrival(id, LONG, "ledger", id), &mut effects);
    }
    assert!(!effects.contains(&Effect::Start {
        id: 1,
        waited: at(9)
    }));

    queue.set_notice(at(10), Some(limit(None)));
    queue.start_waiting(at(10), &mut effects);

    assert!(effects.contains(&Effect::Start {
        id: 1,
        waited: at(9)
    }));
}

/// Guards against a request that waits until its deadline although the limit lets
/// only those before it start.
#[test]
fn a_request_that_others_overtake_under_a_limit_is_rejected_at_once() {
    let mut queue = queue_with_known_kinds();
    queue.resize(6);
    queue.set_notice(at(20_000), Some(limit(Some(10.0))));
    let mut effects = Vec::new();
    queue.arrive(at(20_000), arrival(1, LONG, "ledger", 20_000), &mut effects);
    let waiting = Arrival {
        deadline: at(20_520),
        ..arrival(2, LONG, "ledger", 20_001)
    };
    let mut nested = arrival(3, SHORT, "catalogue", 20_002);
    nested.has_alternative = false;
    queue.arrive(at(20_001), waiting, &mut effects);
    effects.clear();

    for id in 3..7 {
        nested.id = id;
        queue.arrive(at(20_002), nested.clone(), &mut effects);
    }
    queue.start_waiting(at(20_004), &mut effects);

    assert!(
        effects
            .iter()
            .any(|effect| matches!(effect, Effect::Reject { id: 2, .. })),
        "{effects:?}"
    );
}

/// Guards against nested work that is rejected because of a limit although it would
/// start before its deadline and no other target has room: the request that waits for
/// it would fail.
#[rstest]
#[case::another_target_may_have_room(true, false)]
#[case::no_other_target_has_room(false, true)]
fn nested_work_waits_for_a_limit_if_no_other_target_has_room(
    #[case] has_alternative: bool,
    #[case] waits: bool,
) {
    let mut queue = queue_with_known_kinds();
    queue.resize(6);
    queue.set_notice(at(20_000), Some(limit(Some(4.0))));
    let mut effects = Vec::new();
    queue.arrive(at(20_000), arrival(1, LONG, "ledger", 20_000), &mut effects);
    effects.clear();

    let nested = Arrival {
        has_alternative,
        ..arrival(2, SHORT, "catalogue", 20_001)
    };
    queue.arrive(at(20_001), nested, &mut effects);

    let is_rejected = effects
        .iter()
        .any(|effect| matches!(effect, Effect::Reject { id: 2, .. }));
    assert_eq!(is_rejected, !waits, "{effects:?}");
    let next = queue.limit_wait(at(20_001));
    assert_eq!(next.is_some(), waits, "{next:?}");
}
