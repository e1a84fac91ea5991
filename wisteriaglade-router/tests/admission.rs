//! Admission of single requests: decisions, limits and deadlines.

use std::time::Duration;

use rstest::rstest;
use wisteriaglade_router::{
    Arrival, Capacity, Class, Config, Effect, Event, Finish, Length, Policy, Reason, Router,
};
use wisteriaglade_types::{Hash, Name, Request};

const MS: Duration = Duration::from_millis(1);

fn router(slots: u32, config: Config) -> Router {
    let mut router = Router::new(config);
    let capacity = Capacity {
        slots,
        connections: 110,
        cold_start: Duration::ZERO,
    };
    step(&mut router, Duration::ZERO, Event::Target(Some(capacity)));
    router
}

fn arrival(id: u128, member: &str, length: Length) -> Event {
    Event::Arrive(Arrival {
        request: Request::new(id),
        member: Name::from(member),
        caller: Name::from("caller"),
        route: 1,
        key: Hash::new(7),
        weight: 1,
        length,
        deadline: 1000 * MS,
    })
}

fn step(router: &mut Router, now: Duration, event: Event) -> Vec<Effect> {
    let mut effects = Vec::new();
    router.step(now, event, &mut effects);
    effects.retain(|effect| !matches!(effect, Effect::Warm { .. }));
    effects
}

fn refused(effects: &[Effect], id: u128) -> Option<Reason> {
    effects.iter().find_map(|effect| match effect {
        Effect::Refuse {
            request, reason, ..
        } if request.get() == id => Some(*reason),
        _ => None,
    })
}

fn dispatched(effects: &[Effect], id: u128) -> bool {
    let dispatch =
        |effect: &Effect| matches!(effect, Effect::Dispatch { request, .. } if request.get() == id);
    effects.iter().any(dispatch)
}

/// Guards against dispatching more than the target's slots.
#[rstest]
#[case(Policy::Adaptive, 1)]
#[case(Policy::Adaptive, 6)]
#[case(Policy::Baseline, 12)]
fn dispatches_up_to_the_slots(#[case] policy: Policy, #[case] slots: u32) {
    let mut router = router(
        slots,
        Config {
            policy,
            ..Config::default()
        },
    );

    let all = (0..20).map(|id| step(&mut router, MS, arrival(id, "a", Length::Short)));
    let count = all.filter(|effects| !effects.is_empty()).count();

    assert_eq!(count, slots as usize);
    let request = Request::new(0);
    let result = Finish::Served;
    let effects = step(&mut router, 2 * MS, Event::Finish { request, result });
    assert!(dispatched(&effects, u128::from(slots)));
}

/// Guards against long work that takes the slots of short work.
#[rstest]
#[case(1, 1)]
#[case(2, 1)]
#[case(6, 3)]
#[case(12, 6)]
fn long_work_leaves_slots_to_short_work(#[case] slots: u32, #[case] long: u32) {
    let mut router = router(slots, Config::default());

    for id in 0..20 {
        step(&mut router, MS, arrival(id, "a", Length::Long));
    }
    for id in 20..40 {
        step(&mut router, MS, arrival(id, "b", Length::Short));
    }

    let summary = router.summary();
    assert_eq!(summary.running_long, long);
    assert_eq!(summary.running_short, slots - long);
}

/// Guards against a refusal of work that was dispatched, and against a
/// cancellation of work that was not.
#[test]
fn a_departed_caller_is_refused_or_cancelled() {
    let mut router = router(1, Config::default());
    step(&mut router, MS, arrival(1, "a", Length::Short));
    step(&mut router, MS, arrival(2, "a", Length::Short));
    let depart = |id| Event::Depart {
        request: Request::new(id),
    };

    let running = step(&mut router, 2 * MS, depart(1));
    let repeated = step(&mut router, 2 * MS, depart(1));
    let waiting = step(&mut router, 2 * MS, depart(2));

    let cancel = Effect::Cancel {
        request: Request::new(1),
        reason: Reason::Departed,
    };
    assert_eq!(running, [cancel]);
    assert_eq!(repeated, []);
    assert_eq!(refused(&waiting, 2), Some(Reason::Departed));
}

/// Guards against work that waits for a target that is absent or leaving,
/// instead of being refused at once.
#[test]
fn work_is_refused_without_a_target_and_after_the_grace_period() {
    let config = Config::default();
    let late = config.grace + 2 * MS;
    let mut router = router(1, config);
    let arrive = |id| arrival(id, "a", Length::Short);
    step(&mut router, MS, arrive(1));
    step(&mut router, MS, Event::Drain);

    let within = step(&mut router, 2 * MS, arrive(2));
    let Event::Arrive(mut patient) = arrive(3) else {
        unreachable!()
    };
    patient.deadline = 10_000 * MS;
    step(&mut router, 2 * MS, Event::Arrive(patient));
    let after = step(&mut router, late, Event::Tick);
    let arriving = step(&mut router, late, arrive(4));
    step(&mut router, late, Event::Target(None));
    let absent = step(&mut router, late, arrive(5));

    assert_eq!(refused(&within, 2), None);
    assert_eq!(refused(&after, 3), Some(Reason::Draining));
    assert_eq!(refused(&arriving, 4), Some(Reason::Draining));
    assert_eq!(refused(&absent, 5), Some(Reason::Absent));
}

/// Guards against a member that fills the queue for the others.
#[test]
fn a_full_queue_refuses_the_member_furthest_over_its_share() {
    let config = Config {
        queue: 10,
        member_queue: 10,
        ..Config::default()
    };
    let mut router = router(1, config);
    for id in 0..11 {
        step(&mut router, MS, arrival(id, "large", Length::Short));
    }

    let own = step(&mut router, MS, arrival(11, "large", Length::Short));
    let other = step(&mut router, MS, arrival(12, "small", Length::Short));

    assert_eq!(refused(&own, 11), Some(Reason::Full));
    assert_eq!(refused(&other, 12), None);
    assert_eq!(refused(&other, 10), Some(Reason::Full));
}

/// Guards against waiting for a deadline that cannot be met, and against a
/// request that holds its slot after its deadline.
#[test]
fn hopeless_work_is_refused_at_once_and_late_work_is_cancelled() {
    let mut router = router(1, Config::default());
    for id in 0..10 {
        step(
            &mut router,
            60 * MS * id,
            arrival(u128::from(id), "a", Length::Short),
        );
        let request = Request::new(u128::from(id));
        let result = Finish::Served;
        step(
            &mut router,
            60 * MS * (id + 1),
            Event::Finish { request, result },
        );
    }
    step(&mut router, 600 * MS, arrival(20, "a", Length::Short));

    let waits = (21..40).map(|id| step(&mut router, 600 * MS, arrival(id, "a", Length::Short)));
    let early = waits.filter(|e| !e.is_empty()).count();
    let expired = step(&mut router, 940 * MS, Event::Tick);
    let late = step(&mut router, 1000 * MS, Event::Tick);

    assert!(
        (12..=14).contains(&early),
        "400 ms hold 6 of 19, {early} refused"
    );
    assert_eq!(refused(&expired, 21), Some(Reason::Expired));
    let cancel = Effect::Cancel {
        request: Request::new(20),
        reason: Reason::Expired,
    };
    assert_eq!(late, [cancel]);
}

/// Guards against learned long work that is still dispatched as short.
#[test]
fn a_key_with_long_work_is_learned() {
    let mut router = router(6, Config::default());
    let mut now = Duration::ZERO;
    let mut one = |id: u128, key, work: Duration| {
        let Event::Arrive(mut arrival) = arrival(id, "a", Length::Learned) else {
            unreachable!()
        };
        arrival.key = Hash::new(key);
        arrival.deadline = now + 10_000 * MS;
        let effects = step(&mut router, now, Event::Arrive(arrival));
        now += work;
        let (request, result) = (Request::new(id), Finish::Served);
        step(&mut router, now, Event::Finish { request, result });
        effects
    };
    for id in 0..20_u64 {
        one(id.into(), id % 5, 10 * MS);
    }

    let first = one(30, 77, 300 * MS);
    let second = one(31, 77, 300 * MS);
    let other = one(32, 3, 10 * MS);

    let class = |effects: &[Effect]| match effects[0] {
        Effect::Dispatch { class, .. } => class,
        _ => panic!("no dispatch in {effects:?}"),
    };
    assert_eq!(class(&first), Class::Short);
    assert_eq!(class(&second), Class::Long);
    assert_eq!(class(&other), Class::Short);
}

/// Guards against an estimate from a slow period that keeps out all work with
/// shorter deadlines, so that it is never corrected.
#[rstest]
#[case(Length::Short)]
#[case(Length::Long)]
fn an_idle_target_is_tried_despite_the_estimate(#[case] length: Length) {
    let mut router = router(6, Config::default());
    let mut now = Duration::ZERO;
    let finish = |id| Event::Finish {
        request: Request::new(id),
        result: Finish::Served,
    };
    for id in 0..10 {
        step(&mut router, now, arrival(id, "a", length));
        now += 90 * MS;
        step(&mut router, now, finish(id));
    }

    // 50 ms are left until the deadline, and the estimate is 90 ms.
    let first = step(&mut router, now + 50 * MS, arrival(20, "a", length));
    let second = step(&mut router, now + 50 * MS, arrival(21, "a", length));

    assert!(dispatched(&first, 20), "{first:?}");
    assert_eq!(refused(&second, 21), Some(Reason::Deadline));
}

/// Guards against full load on a target that has just started.
#[test]
fn a_cold_target_is_ramped_up() {
    let mut router = Router::new(Config {
        warm_rate: 1,
        ..Config::default()
    });
    let capacity = Capacity {
        slots: 10,
        connections: 110,
        cold_start: 1000 * MS,
    };
    step(&mut router, Duration::ZERO, Event::Target(Some(capacity)));
    for id in 0..20 {
        step(&mut router, MS, arrival(id, "a", Length::Short));
    }

    let woken = router.wake();
    let limits = [1, 499, 501, 999].map(|at| {
        step(&mut router, at * MS, Event::Tick);
        router.summary().running_short
    });

    assert_eq!(woken, Some(200 * MS), "when the limit rises to 2");
    assert_eq!(limits, [1, 4, 5, 9]);
}

/// Guards against failures of work at an earlier target that make the one that
/// took its place suspect.
#[test]
fn a_new_target_is_not_blamed_for_the_old_one() {
    let mut router = router(6, Config::default());
    for id in 0..6 {
        step(&mut router, MS, arrival(id, "a", Length::Short));
    }
    let capacity = Capacity {
        slots: 6,
        connections: 110,
        cold_start: Duration::ZERO,
    };
    step(&mut router, 2 * MS, Event::Target(None));
    step(&mut router, 3 * MS, Event::Target(Some(capacity)));

    let effects = (0..6).flat_map(|id| {
        let request = Request::new(id);
        let result = Finish::Failed;
        step(&mut router, 4 * MS, Event::Finish { request, result })
    });

    assert_eq!(effects.collect::<Vec<_>>(), []);
}

/// Guards against work that waits for a leaving target although it cannot be
/// dispatched within the grace period.
#[test]
fn a_leaving_target_admits_only_what_it_can_start() {
    let config = Config {
        grace: 200 * MS,
        ..Config::default()
    };
    let mut router = router(1, config);
    for id in 0..10 {
        step(
            &mut router,
            30 * MS * id,
            arrival(id.into(), "a", Length::Short),
        );
        let (request, result) = (Request::new(id.into()), Finish::Served);
        step(
            &mut router,
            30 * MS * (id + 1),
            Event::Finish { request, result },
        );
    }
    step(&mut router, 300 * MS, Event::Drain);

    let arrive = |id: u128| step(&mut router, 300 * MS, arrival(id, "a", Length::Short));
    let effects: Vec<_> = (20..40).flat_map(arrive).collect();

    let admitted = (20..40)
        .filter(|id| refused(&effects, *id).is_none())
        .count();
    assert!(
        (6..=8).contains(&admitted),
        "200 ms hold 6 of 30 ms: {effects:?}"
    );
    assert_eq!(refused(&effects, 39), Some(Reason::Draining));
}

/// Guards against short work that is served freshest first because long work
/// waits.
#[test]
fn waiting_long_work_does_not_reverse_short_work() {
    let mut router = router(2, Config::default());
    for id in 0..4 {
        step(&mut router, MS, arrival(id, "a", Length::Long));
    }
    step(&mut router, 500 * MS, arrival(10, "a", Length::Short));
    step(&mut router, 650 * MS, arrival(11, "a", Length::Short));
    step(&mut router, 651 * MS, arrival(12, "a", Length::Short));

    let (request, result) = (Request::new(10), Finish::Served);
    let effects = step(&mut router, 652 * MS, Event::Finish { request, result });

    assert!(dispatched(&effects, 11), "{effects:?}");
}
