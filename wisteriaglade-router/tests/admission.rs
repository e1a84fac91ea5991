//! Tests of decisions on single requests: admission, limits and deadlines.

mod support;

use std::time::Duration;

use rstest::rstest;
use support::{MS, arrival, capacity, finish};
use wisteriaglade_router::{
    Arrival, Capacity, Class, Config, Effect, Event, Finish, Length, Policy, Reason, Report, Router,
};
use wisteriaglade_types::{Hash, Name, Request};

fn router(slots: u32, config: Config) -> Router {
    let mut router = Router::new(config);
    let target = Event::Target(Some(capacity(slots)));
    step(&mut router, Duration::ZERO, target);
    router
}

fn arrive(id: u128, length: Length) -> Event {
    Event::Arrive(Arrival {
        length,
        ..arrival(id)
    })
}

fn short(id: u128) -> Event {
    arrive(id, Length::Short)
}

fn step(router: &mut Router, now: Duration, event: Event) -> Vec<Effect> {
    let mut effects = Vec::new();
    router.step(now, event, &mut effects);
    effects.retain(|effect| !matches!(effect, Effect::Prewarm { .. }));
    effects
}

/// Runs requests one after the other, each with the service time `work`.
/// Returns the effects of the arrivals.
fn serve(router: &mut Router, arrivals: Vec<Event>, work: Duration) -> Vec<Effect> {
    let mut all = Vec::new();
    for (event, i) in arrivals.into_iter().zip(0..) {
        let Event::Arrive(Arrival { request, .. }) = &event else {
            panic!("{event:?} is not an arrival");
        };
        let id = request.get();
        all.extend(step(router, work * i, event));
        step(router, work * (i + 1), finish(id, Finish::Served));
    }
    all
}

fn refused(effects: &[Effect], id: u128) -> Option<Reason> {
    effects.iter().find_map(|effect| match effect {
        Effect::Refuse {
            request, reason, ..
        } if request.get() == id => Some(*reason),
        _ => None,
    })
}

fn dispatched(effects: &[Effect], id: u128) -> Option<Class> {
    effects.iter().find_map(|effect| match effect {
        Effect::Dispatch { request, class } if request.get() == id => Some(*class),
        _ => None,
    })
}

/// Guards against dispatching more requests at once than the target has slots.
#[rstest]
#[case(Policy::Adaptive, 1)]
#[case(Policy::Adaptive, 6)]
#[case(Policy::Baseline, 12)]
fn dispatches_up_to_the_slots(#[case] policy: Policy, #[case] slots: u32) {
    let config = Config {
        policy,
        ..Config::default()
    };
    let mut router = router(slots, config);

    let all = (0..20).map(|id| step(&mut router, MS, short(id)));
    let count = all.filter(|effects| !effects.is_empty()).count();
    let next = step(&mut router, 2 * MS, finish(0, Finish::Served));

    assert_eq!(count, slots as usize);
    assert!(dispatched(&next, u128::from(slots)).is_some(), "{next:?}");
}

/// Guards against long requests that occupy the slots reserved for short work.
#[rstest]
#[case(1, 1)]
#[case(2, 1)]
#[case(6, 3)]
#[case(12, 6)]
fn long_work_leaves_slots_to_short_work(#[case] slots: u32, #[case] long: u32) {
    let mut router = router(slots, Config::default());

    for id in 0..20 {
        step(&mut router, MS, arrive(id, Length::Long));
    }
    for id in 20..40 {
        step(&mut router, MS, short(id));
    }

    let summary = router.summary();
    assert_eq!(summary.running_long, long);
    assert_eq!(summary.running_short, slots - long);
}

/// Guards against the refusal of a dispatched request and the cancellation of a
/// waiting one when the caller disconnects.
#[test]
fn a_departed_caller_is_refused_or_cancelled() {
    let mut router = router(1, Config::default());
    step(&mut router, MS, short(1));
    step(&mut router, MS, short(2));
    let depart = |id| Event::Depart {
        request: Request::new(id),
    };

    let running = step(&mut router, 2 * MS, depart(1));
    let repeated = step(&mut router, 2 * MS, depart(1));
    let waiting = step(&mut router, 2 * MS, depart(2));

    let (request, reason) = (Request::new(1), Reason::Departed);
    assert_eq!(running, [Effect::Cancel { request, reason }]);
    assert_eq!(repeated, []);
    assert_eq!(refused(&waiting, 2), Some(Reason::Departed));
}

/// Guards against requests that wait for a target that is absent, or whose
/// grace period is over, instead of being refused immediately.
#[test]
fn work_is_refused_without_a_target_and_after_the_grace_period() {
    let config = Config::default();
    let late = config.drain_grace + 2 * MS;
    let mut router = router(1, config);
    step(&mut router, MS, short(1));
    step(&mut router, MS, Event::Drain);

    let within = step(&mut router, 2 * MS, short(2));
    let patient = Arrival {
        deadline: 10_000 * MS,
        ..arrival(3)
    };
    step(&mut router, 2 * MS, Event::Arrive(patient));
    let after = step(&mut router, late, Event::Tick);
    let arriving = step(&mut router, late, short(4));
    step(&mut router, late, Event::Target(None));
    let absent = step(&mut router, late, short(5));

    assert_eq!(refused(&within, 2), None);
    assert_eq!(refused(&after, 3), Some(Reason::Draining));
    assert_eq!(refused(&arriving, 4), Some(Reason::Draining));
    assert_eq!(refused(&absent, 5), Some(Reason::Absent));
}

/// Guards against a member that fills the queue so that the others are refused.
#[test]
fn a_full_queue_refuses_the_member_furthest_over_its_share() {
    let config = Config {
        max_queued: 10,
        max_queued_per_member: 10,
        ..Config::default()
    };
    let mut router = router(1, config);
    for id in 0..11 {
        step(&mut router, MS, short(id));
    }
    let small = Arrival {
        member: Name::from("small"),
        ..arrival(12)
    };

    let own = step(&mut router, MS, short(11));
    let other = step(&mut router, MS, Event::Arrive(small));

    assert_eq!(refused(&own, 11), Some(Reason::Full));
    assert_eq!(refused(&other, 12), None);
    assert_eq!(refused(&other, 10), Some(Reason::Full));
}

/// Guards against requests that wait although they cannot meet their deadline,
/// and against a request that occupies its slot after its deadline.
#[test]
fn unmeetable_deadlines_are_refused_and_overdue_work_is_cancelled() {
    let mut router = router(1, Config::default());
    serve(&mut router, (0..10).map(short).collect(), 60 * MS);
    step(&mut router, 600 * MS, short(20));

    let waits = (21..40).map(|id| step(&mut router, 600 * MS, short(id)));
    let early = waits.filter(|e| !e.is_empty()).count();
    let expired = step(&mut router, 940 * MS, Event::Tick);
    let late = step(&mut router, 1000 * MS, Event::Tick);

    assert!(
        (12..=14).contains(&early),
        "{early} of 19 refused, but 6 fit into 400 ms"
    );
    assert_eq!(refused(&expired, 21), Some(Reason::Expired));
    let (request, reason) = (Request::new(20), Reason::Expired);
    assert_eq!(late, [Effect::Cancel { request, reason }]);
}

/// Guards against a key that is dispatched as short work after its requests
/// turned out to be long.
#[test]
fn a_key_with_long_work_is_learned() {
    let mut router = router(6, Config::default());
    let of = |id, key| {
        Event::Arrive(Arrival {
            key: Hash::new(key),
            length: Length::Learned,
            deadline: 10_000 * MS,
            ..arrival(id)
        })
    };
    let known = (0..20).map(|id| of(id.into(), id % 5)).collect();
    serve(&mut router, known, 10 * MS);

    let effects = serve(
        &mut router,
        vec![of(30, 77), of(31, 77), of(32, 3)],
        300 * MS,
    );

    assert_eq!(dispatched(&effects, 30), Some(Class::Short));
    assert_eq!(dispatched(&effects, 31), Some(Class::Long));
    assert_eq!(dispatched(&effects, 32), Some(Class::Short));
}

/// Guards against an estimate from a slow period that refuses all requests with
/// shorter deadlines and is therefore never corrected.
#[rstest]
#[case(Length::Short)]
#[case(Length::Long)]
fn an_idle_target_is_tried_despite_the_estimate(#[case] length: Length) {
    let mut router = router(6, Config::default());
    let slow = (0..10).map(|id| arrive(id, length)).collect();
    serve(&mut router, slow, 90 * MS);

    // 50 ms are left until the deadline, and the estimate is 90 ms.
    let first = step(&mut router, 950 * MS, arrive(20, length));
    let second = step(&mut router, 950 * MS, arrive(21, length));

    assert!(dispatched(&first, 20).is_some(), "{first:?}");
    assert_eq!(refused(&second, 21), Some(Reason::Deadline));
}

/// Guards against full load on a target during its cold start.
#[test]
fn a_cold_target_is_ramped_up() {
    let mut router = Router::new(Config {
        prewarm_rate: 1,
        ..Config::default()
    });
    let cold = Capacity {
        cold_start: 1000 * MS,
        ..capacity(10)
    };
    step(&mut router, Duration::ZERO, Event::Target(Some(cold)));
    for id in 0..20 {
        step(&mut router, MS, short(id));
    }

    let woken = router.wake();
    let running = [1, 499, 501, 999].map(|at| {
        step(&mut router, at * MS, Event::Tick);
        router.summary().running_short
    });

    assert_eq!(woken, Some(200 * MS), "when the limit rises to 2");
    assert_eq!(running, [1, 4, 5, 9]);
}

/// Guards against a new target that becomes suspect because requests to the
/// previous target failed.
#[test]
fn failures_at_an_earlier_target_do_not_count() {
    let mut router = router(6, Config::default());
    for id in 0..6 {
        step(&mut router, MS, short(id));
    }
    step(&mut router, 2 * MS, Event::Target(None));
    step(&mut router, 3 * MS, Event::Target(Some(capacity(6))));

    let effects = (0..6).flat_map(|id| step(&mut router, 4 * MS, finish(id, Finish::Failed)));

    assert_eq!(effects.collect::<Vec<_>>(), []);
}

/// Guards against requests that are admitted to a draining target although they
/// cannot be dispatched within its grace period.
#[test]
fn a_leaving_target_admits_only_what_it_can_start() {
    let config = Config {
        drain_grace: 200 * MS,
        ..Config::default()
    };
    let mut router = router(1, config);
    serve(&mut router, (0..10).map(short).collect(), 30 * MS);
    step(&mut router, 300 * MS, Event::Drain);

    let effects = (20..40).flat_map(|id| step(&mut router, 300 * MS, short(id)));
    let effects: Vec<_> = effects.collect();

    let admitted = (20..40).filter(|id| refused(&effects, *id).is_none());
    let admitted = admitted.count();
    assert!(
        (6..=8).contains(&admitted),
        "{admitted} admitted, but 6 fit into 200 ms"
    );
    assert_eq!(refused(&effects, 39), Some(Reason::Draining));
}

/// Guards against long requests that wait and are mistaken for a standing queue
/// of short ones, which would then be served newest first.
#[test]
fn waiting_long_work_does_not_reverse_short_work() {
    let mut router = router(2, Config::default());
    for id in 0..4 {
        step(&mut router, MS, arrive(id, Length::Long));
    }
    for (id, at) in [(10, 500), (11, 650), (12, 651)] {
        step(&mut router, at * MS, short(id));
    }

    let effects = step(&mut router, 652 * MS, finish(10, Finish::Served));

    assert!(dispatched(&effects, 11).is_some(), "{effects:?}");
}

/// Guards against a limit that stays low after a shed request while only long
/// requests run.
#[test]
fn the_limit_recovers_with_long_work_alone() {
    let mut router = router(12, Config::default());
    for id in 0..2 {
        step(&mut router, MS, arrive(id, Length::Long));
    }
    let retry_after = None;
    step(&mut router, 2 * MS, finish(0, Finish::Shed { retry_after }));
    step(&mut router, 3 * MS, finish(1, Finish::Served));
    let lowered = router.summary().limit;

    let long = (100..250).map(|id| arrive(id, Length::Long)).collect();
    serve(&mut router, long, 5 * MS);

    assert_eq!(lowered, 1);
    assert_eq!(router.summary().limit, 12);
}

/// Guards against an arithmetic overflow or a huge allocation caused by extreme
/// values from a target or caller.
#[test]
fn extreme_values_are_accepted() {
    let mut router = Router::new(Config::default());
    let target = Event::Target(Some(Capacity {
        slots: u32::MAX,
        connections: u32::MAX,
        cold_start: Duration::MAX,
    }));
    let patient = Arrival {
        deadline: Duration::MAX,
        weight: u32::MAX,
        ..arrival(1)
    };
    let retry_after = Some(Duration::MAX);
    let report = Report {
        running: u32::MAX,
        queued: u32::MAX,
        healthy: true,
    };
    let waits = Arrival {
        request: Request::new(2),
        ..patient.clone()
    };
    let shed = finish(1, Finish::Shed { retry_after });

    let events = [target, Event::Arrive(patient), Event::Arrive(waits), shed];
    for event in events.into_iter().chain([Event::Report(report)]) {
        step(&mut router, MS, event);
    }
    let later = step(&mut router, 30_001 * MS, Event::Tick);

    assert!(dispatched(&later, 2).is_some(), "{:?}", router.summary());
}

/// Returns a router whose target has six slots and names a limit.
fn limited_router(rate: f64) -> Router {
    let mut router = router(6, Config::default());
    step(&mut router, Duration::ZERO, Event::RateLimit(Some(rate)));
    router
}

/// Guards against more dispatches than the limit that the target names, and against
/// requests that stay in the queue when it has room for them.
#[test]
fn dispatches_keep_to_the_rate_limit() {
    let mut router = limited_router(4.0);

    let first = step(&mut router, Duration::ZERO, short(1));
    let second = step(&mut router, MS, short(2));
    let wake = router.wake();
    let third = step(&mut router, 251 * MS, Event::Tick);

    assert_eq!(dispatched(&first, 1), Some(Class::Short));
    assert_eq!(dispatched(&second, 2), None);
    assert!(wake <= Some(250 * MS), "{wake:?}");
    assert_eq!(dispatched(&third, 2), Some(Class::Short));
}

/// Guards against a limit that goes on after the target has ceased to name it.
#[test]
fn a_rate_limit_ends_when_the_target_names_none() {
    let mut router = limited_router(1.0);
    step(&mut router, Duration::ZERO, short(1));
    step(&mut router, MS, short(2));

    let effects = step(&mut router, 2 * MS, Event::RateLimit(None));

    assert_eq!(dispatched(&effects, 2), Some(Class::Short));
}

/// Guards against requests that wait for a limit which cannot let them start before
/// their deadline, and against callers that are all sent back at the same moment.
#[test]
fn requests_over_the_rate_limit_are_refused_with_a_time_of_their_own() {
    let mut router = limited_router(0.5);
    let mut retries = Vec::new();

    for id in 0..8 {
        for effect in step(&mut router, MS, short(id)) {
            if let Effect::Refuse {
                reason,
                retry_after,
                ..
            } = effect
            {
                assert_eq!(reason, Reason::Limited);
                retries.extend(retry_after);
            }
        }
    }

    assert!(retries.len() >= 3, "{retries:?}");
    assert!(retries[0] < retries[1], "{retries:?}");
}

/// Guards against a second copy of a request that the limit does not count.
#[test]
fn a_copy_of_a_request_counts_towards_the_rate_limit() {
    let mut router = limited_router(4.0);
    step(&mut router, Duration::ZERO, short(1));

    assert!(!router.start_copy(MS));
    assert!(router.start_copy(260 * MS));
    assert_eq!(dispatched(&step(&mut router, 261 * MS, short(2)), 2), None);
}
