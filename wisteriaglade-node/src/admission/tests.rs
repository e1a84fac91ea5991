//! Tests of requests that are evicted from the admission queue or cancelled.

use std::{sync::Arc, time::Duration};

use tokio::time::timeout;
use wisteriaglade_router::{Arrival, Capacity, Config, Finish, Length, Reason};
use wisteriaglade_types::{Hash, Request, Shard};

use super::{Admission, Decision, Guard};
use wisteriaglade_wire::Clock;

/// An admission queue in front of a target with one slot.
fn admission() -> Arc<Admission> {
    let admission = Arc::new(Admission::new(Clock::new(), Config::default()));
    admission.set_capacity(Some(Capacity {
        slots: 1,
        connections: 1,
        cold_start: Duration::ZERO,
    }));
    admission
}

/// Enters request `number` of `shard`, with an arrival that is not yet submitted.
fn enter(admission: &Arc<Admission>, number: u128, shard: u32) -> (Guard, Arrival) {
    let request = Request::new(number);
    let arrival = Arrival {
        request,
        member: "llewellyn".into(),
        caller: "stall-4".into(),
        route: 1,
        key: Hash::new(1),
        weight: 1,
        length: Length::Short,
        deadline: admission.clock.now() + Duration::from_secs(30),
    };
    (admission.enter(request, Shard::new(shard)), arrival)
}

/// Enters a request and waits until it is dispatched.
async fn admitted(admission: &Arc<Admission>, number: u128, shard: u32) -> Guard {
    let (mut guard, arrival) = enter(admission, number, shard);
    let decision = timeout(Duration::from_secs(5), guard.admit(arrival)).await;
    assert!(
        matches!(decision, Ok(Decision::Dispatch(_))),
        "{decision:?}"
    );
    guard
}

/// Guards against a move that has to wait for queued requests of its shard, and
/// against a slot that leaks when a request is evicted.
#[tokio::test]
async fn requests_of_a_moving_shard_leave_the_queue() {
    let admission = admission();
    let mut running = admitted(&admission, 1, 1).await;
    let (mut waiting, arrival) = enter(&admission, 2, 2);
    let task = tokio::spawn(async move { waiting.admit(arrival).await });
    while admission.pending() < 2 {
        tokio::task::yield_now().await;
    }

    admission.evict(|shard| shard == Shard::new(2));

    let decision = task.await.unwrap();
    assert_eq!(decision, Decision::Refuse(Reason::Draining, None));
    assert!(admission.idle(Shard::new(2)));
    assert!(!admission.idle(Shard::new(1)));
    running.finish(Finish::Served);
    drop(running);
    admitted(&admission, 3, 1).await;
}

/// Guards against a slot that leaks when the task of a request is dropped while
/// the request waits or runs.
#[tokio::test]
async fn a_request_whose_task_ends_keeps_no_slot() {
    let admission = admission();
    let running = admitted(&admission, 1, 1).await;
    let (mut waiting, arrival) = enter(&admission, 2, 1);
    let gone = timeout(Duration::from_millis(20), waiting.admit(arrival)).await;
    assert!(gone.is_err());

    drop(waiting);
    drop(running);

    assert!(admission.idle(Shard::new(1)));
    assert_eq!(admission.pending(), 0);
    admitted(&admission, 3, 1).await;
}
