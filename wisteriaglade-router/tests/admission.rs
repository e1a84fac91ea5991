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
