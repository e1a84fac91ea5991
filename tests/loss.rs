//! Recovery after processes are killed, paused or shut down.

mod support;

use std::time::{Duration, Instant};

use rstest::rstest;
use support::{
    assert_within,
    calls::{Call, RequestSpec},
    fleet::{Fleet, Options, RULES},
    wait_for,
};

/// The bound for a key to be served again when targets check fencing tokens.
const SERVED: Duration = Duration::from_secs(1);

/// The longest deadline of the pool, which is added to [`SERVED`] when targets
/// check no fencing tokens.
const DEADLINE: Duration = Duration::from_secs(2);

/// The timeout of steps for which the design specifies no bound.
const PATIENCE: Duration = Duration::from_secs(10);

/// The hosts other than [`VICTIM`].
const OTHERS: [usize; 4] = [0, 1, 2, 3];

/// The host whose process fails; it runs no control replica.
const VICTIM: usize = 4;

/// The fault of the victim's process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    Kill,
    Pause,
}

fn strike(fleet: &mut Fleet, fault: Fault) {
    match fault {
        Fault::Kill => fleet.kill(VICTIM),
        Fault::Pause => fleet.process(VICTIM).pause(),
    }
}

/// Restarts or resumes the victim's process and waits for the cluster to be
/// ready. A paused process is resumed 5 s after `since`, the time of the fault.
async fn restore(fleet: &mut Fleet, fault: Fault, since: Instant) {
    match fault {
        Fault::Kill => fleet.launch(VICTIM),
        Fault::Pause => {
            tokio::time::sleep_until((since + Duration::from_secs(5)).into()).await;
            fleet.process(VICTIM).resume();
        }
    }
    fleet.ready().await;
}

/// Resends `spec` through node 0 until it is served.
async fn served(fleet: &Fleet, spec: &RequestSpec) -> Call {
    let probe = || async { fleet.call(0, spec.clone()).await.expect() };
    wait_for(PATIENCE, "a served request", probe).await.0
}

/// Guards against keys that stay unavailable after the loss of their owner, and
/// against two owners while the keys move or when a paused owner resumes.
#[rstest]
#[case::killed(Fault::Kill, true, SERVED)]
#[case::killed_without_fencing(Fault::Kill, false, SERVED + DEADLINE)]
#[case::paused(Fault::Pause, true, SERVED)]
#[case::paused_without_fencing(Fault::Pause, false, SERVED + DEADLINE)]
#[tokio::test(flavor = "multi_thread")]
async fn keys_of_a_lost_process_are_served_again_in_time(
    #[case] fault: Fault,
    #[case] fencing: bool,
    #[case] bound: Duration,
) {
    let mut fleet = Fleet::start(Options {
        fencing,
        ..Options::default()
    })
    .await;
    let keys = fleet.keys_of(VICTIM, 8).await;
    let load = fleet.load(&OTHERS, 8, Duration::from_millis(20));

    strike(&mut fleet, fault);
    let start = Instant::now();
    for key in &keys {
        served(&fleet, &RequestSpec::read(key)).await;
    }
    let took = start.elapsed();
    restore(&mut fleet, fault, start).await;

    load.stop().await;
    fleet.check().await;
    eprintln!("served again after {took:?}");
    assert_within(took, bound, &fault);
}

/// Guards against at-most-once work that runs again, or is refused as
/// `not-run`, after its owner is lost in the middle of it.
#[rstest]
#[case::killed(Fault::Kill, true)]
#[case::killed_without_fencing(Fault::Kill, false)]
#[case::paused(Fault::Pause, true)]
#[case::paused_without_fencing(Fault::Pause, false)]
#[tokio::test(flavor = "multi_thread")]
async fn a_booking_in_flight_at_the_loss_of_its_owner_runs_once(
    #[case] fault: Fault,
    #[case] fencing: bool,
) {
    let mut fleet = Fleet::start(Options {
        fencing,
        ..Options::default()
    })
    .await;
    let keys = fleet.keys_of(VICTIM, 6).await;
    let victim = fleet.hosts[VICTIM].target.clone();
    let work = Duration::from_millis(300);
    let books: Vec<RequestSpec> = keys
        .iter()
        .map(|key| RequestSpec::book(key, &format!("flight-{key}")).with_work(work))
        .collect();
    let (calls, caller) = (fleet.calls.clone(), fleet.hosts[0].caller);
    let flight: Vec<_> = books
        .iter()
        .map(|spec| {
            let (calls, spec) = (calls.clone(), spec.clone());
            tokio::spawn(async move { calls.send(0, caller, spec).await })
        })
        .collect();
    let running = || async {
        let running = victim.executions().len();
        (running == books.len())
            .then_some(())
            .ok_or_else(|| format!("{running} bookings run"))
    };
    wait_for(PATIENCE, "running bookings", running).await;

    strike(&mut fleet, fault);
    let start = Instant::now();
    for call in flight {
        call.await.unwrap();
    }
    // The outcome may stay unknown; the booking must not run again.
    for spec in &books {
        let probe = || async {
            let call = fleet.call(1, spec.clone()).await;
            match call.outcome() {
                "done" | "unknown" => Ok(()),
                _ => Err(format!("{call:?}")),
            }
        };
        wait_for(PATIENCE, "a final outcome", probe).await;
    }
    restore(&mut fleet, fault, start).await;
    for spec in &books {
        fleet.call(VICTIM, spec.clone()).await;
    }

    fleet.check().await;
}

/// Guards against a loss of the control leader that affects the keys of other
/// owners: those are served throughout, and the keys that the leader's host owns
/// after an election (2 s) and the usual recovery.
#[tokio::test(flavor = "multi_thread")]
async fn the_loss_of_the_control_leader_interrupts_only_its_own_keys() {
    let mut fleet = Fleet::start(Options::default()).await;
    let leader = fleet.leader(VICTIM).await;
    let (via, own) = (VICTIM, fleet.keys_of(leader, 4).await);
    let others = fleet.keys_of(3, 4).await;

    fleet.kill(leader);
    let start = Instant::now();
    let mut number = 0;
    let mut refused = Vec::new();
    while start.elapsed() < DEADLINE {
        for key in &others {
            number += 1;
            for spec in [
                RequestSpec::read(key),
                RequestSpec::book(key, &format!("l{number}")),
            ] {
                refused.extend(fleet.call(via, spec).await.expect().err());
            }
        }
    }
    for key in &own {
        let probe = || async { fleet.call(via, RequestSpec::read(key)).await.expect() };
        wait_for(PATIENCE, "a served key", probe).await;
    }
    let took = start.elapsed();

    fleet.check().await;
    assert!(
        refused.is_empty(),
        "{} refused: {refused:#?}",
        refused.len()
    );
    assert_within(
        took,
        DEADLINE + SERVED,
        &"the recovery of the leader's keys",
    );
}

/// Guards against keys that stay unavailable when the control leader is lost
/// together with the owner. Recovery then includes an election (2 s).
#[tokio::test(flavor = "multi_thread")]
async fn an_owner_lost_together_with_the_control_leader_is_replaced() {
    let mut fleet = Fleet::start(Options::default()).await;
    let leader = fleet.leader(3).await;
    let keys = [
        fleet.keys_of(VICTIM, 4).await,
        fleet.keys_of(leader, 4).await,
    ]
    .concat();
    let via = (leader + 1) % 3;
    let load = fleet.load(&[via, 3], 6, Duration::from_millis(10));

    fleet.kill(leader);
    fleet.kill(VICTIM);
    let start = Instant::now();
    for key in &keys {
        let probe = || async { fleet.call(via, RequestSpec::read(key)).await.expect() };
        wait_for(PATIENCE, "a served key", probe).await;
    }
    let took = start.elapsed();
    fleet.launch(leader);
    fleet.launch(VICTIM);
    fleet.ready().await;

    load.stop().await;
    fleet.check().await;
    eprintln!("served again after {took:?}");
    assert_within(took, DEADLINE + SERVED, &"the recovery of the keys");
}

/// Guards against a graceful shutdown that interrupts requests. The process is
/// terminated under load, with long work in flight at its target and requests
/// that it forwards to other owners.
#[rstest]
#[case::node(VICTIM)]
#[case::control_replica(1)]
#[tokio::test(flavor = "multi_thread")]
async fn a_graceful_shutdown_cuts_nothing(#[case] victim: usize) {
    let mut fleet = Fleet::start(Options::default()).await;
    let short = fleet.load(&[0, 1, 2, 3, 4], 24, Duration::from_millis(20));
    let long = fleet.load(&[0, 1, 2, 3, 4], 8, Duration::from_millis(700));
    tokio::time::sleep(Duration::from_millis(500)).await;

    fleet.process(victim).terminate();
    let process = fleet.hosts[victim].process.as_mut().unwrap();
    let status = process.wait(Duration::from_mins(1)).await;
    short.stop().await;
    long.stop().await;

    fleet.check().await;
    let calls = fleet.calls.all();
    let interrupted = support::check::interrupted(&calls);
    assert!(
        interrupted.is_empty(),
        "{} requests were cut: {interrupted:#?}",
        interrupted.len()
    );
    assert!(status.success(), "{status}");
}

/// Guards against nodes that stay subscribed to a control replica whose storage
/// has failed, and so receive no further changes.
#[tokio::test(flavor = "multi_thread")]
async fn a_replica_without_storage_keeps_no_node_behind() {
    let fleet = Fleet::start(Options::default()).await;
    let leader = fleet.leader(VICTIM).await;
    let failing = (leader + 1) % 3;
    let load = fleet.load(&[3, VICTIM], 4, Duration::from_millis(10));

    // Without its directory the replica can't store its next vote. Pausing the
    // leader causes an election.
    std::fs::remove_dir_all(fleet.data_dir(failing)).unwrap();
    fleet.process(leader).pause();
    let failed = || async {
        let health = fleet.get(failing, "/v1/health").await?;
        (health["storage_failed"] == true)
            .then_some(())
            .ok_or(health.to_string())
    };
    wait_for(PATIENCE, "a failed storage", failed).await;
    fleet.process(leader).resume();
    let start = Instant::now();
    let change = || async {
        let answer = fleet.change(VICTIM, "megan", "later", 1, RULES).await;
        (answer.status == 200).then_some(()).ok_or(answer.text())
    };
    wait_for(PATIENCE, "an accepted change", change).await;
    fleet.in_force(2, Duration::from_secs(5)).await;
    fleet.ready().await;

    eprintln!("in force after {:?}", start.elapsed());
    load.stop().await;
    fleet.check_records();
}
