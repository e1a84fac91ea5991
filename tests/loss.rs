//! Recovery after processes are killed, paused or shut down.

mod support;

use std::time::{Duration, Instant};

use rstest::rstest;
use support::{
    assert_within,
    calls::{Call, RequestSpec},
    cluster::{Cluster, Options, RULES},
    wait_for,
};

/// The bound for a key to be served again when targets check fencing tokens.
const RECOVERY_BOUND: Duration = Duration::from_secs(1);

/// The longest deadline of the pool, which is added to [`RECOVERY_BOUND`] when
/// targets check no fencing tokens.
const RULE_DEADLINE: Duration = Duration::from_secs(2);

/// The timeout of steps for which the design specifies no bound.
const STEP_TIMEOUT: Duration = Duration::from_secs(10);

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

fn inject(cluster: &mut Cluster, fault: Fault) {
    match fault {
        Fault::Kill => cluster.kill(VICTIM),
        Fault::Pause => cluster.process(VICTIM).pause(),
    }
}

/// Restarts or resumes the victim's process and waits for the cluster to be
/// ready. A paused process is resumed 5 s after `since`, the time of the fault.
async fn restore(cluster: &mut Cluster, fault: Fault, since: Instant) {
    match fault {
        Fault::Kill => cluster.launch(VICTIM),
        Fault::Pause => {
            tokio::time::sleep_until((since + Duration::from_secs(5)).into()).await;
            cluster.process(VICTIM).resume();
        }
    }
    cluster.ready().await;
}

/// Resends `spec` through node 0 until it is served.
async fn served(cluster: &Cluster, spec: &RequestSpec) -> Call {
    let probe = || async { cluster.call(0, spec.clone()).await.expect() };
    wait_for(STEP_TIMEOUT, "a served request", probe).await.0
}

/// Guards against keys that stay unavailable after the loss of their owner, and
/// against two owners while the keys move or when a paused owner resumes.
#[rstest]
#[case::killed(Fault::Kill, true, RECOVERY_BOUND)]
#[case::killed_without_fencing(Fault::Kill, false, RECOVERY_BOUND + RULE_DEADLINE)]
#[case::paused(Fault::Pause, true, RECOVERY_BOUND)]
#[case::paused_without_fencing(Fault::Pause, false, RECOVERY_BOUND + RULE_DEADLINE)]
#[tokio::test(flavor = "multi_thread")]
async fn keys_of_a_lost_process_are_served_again_in_time(
    #[case] fault: Fault,
    #[case] fencing: bool,
    #[case] bound: Duration,
) {
    let mut cluster = Cluster::start(Options {
        fencing,
        ..Options::default()
    })
    .await;
    let keys = cluster.keys_of(VICTIM, 8).await;
    let load = cluster.load(&OTHERS, 8, Duration::from_millis(20));

    inject(&mut cluster, fault);
    let start = Instant::now();
    for key in &keys {
        served(&cluster, &RequestSpec::read(key)).await;
    }
    let took = start.elapsed();
    restore(&mut cluster, fault, start).await;

    load.stop().await;
    cluster.check().await;
    eprintln!("served again after {took:?}");
    assert_within(took, bound, &fault);
}

/// Guards against reads that wait for the answer of a paused owner although their
/// keys have another owner already: they must be served within the bound for a key.
#[tokio::test(flavor = "multi_thread")]
async fn reads_in_flight_at_the_pause_of_their_owner_are_served_in_time() {
    let mut cluster = Cluster::start(Options::default()).await;
    let keys = cluster.keys_of(VICTIM, 6).await;
    let victim = cluster.hosts[VICTIM].target.clone();
    let (calls, caller) = (cluster.calls.clone(), cluster.hosts[0].caller);
    let in_flight: Vec<_> = keys
        .iter()
        .map(|key| {
            let spec = RequestSpec::read(key).with_work(Duration::from_millis(100));
            let calls = calls.clone();
            tokio::spawn(async move { calls.send(0, caller, spec).await })
        })
        .collect();
    let running = || async {
        let running = victim.executions().len();
        (running == keys.len())
            .then_some(())
            .ok_or_else(|| format!("{running} reads run"))
    };
    wait_for(STEP_TIMEOUT, "running reads", running).await;

    inject(&mut cluster, Fault::Pause);
    let start = Instant::now();
    for call in in_flight {
        call.await.unwrap().expect().unwrap();
    }
    let took = start.elapsed();
    restore(&mut cluster, Fault::Pause, start).await;

    cluster.check().await;
    eprintln!("served after {took:?}");
    assert_within(took, RECOVERY_BOUND, &"the reads in flight");
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
    let mut cluster = Cluster::start(Options {
        fencing,
        ..Options::default()
    })
    .await;
    let keys = cluster.keys_of(VICTIM, 6).await;
    let victim = cluster.hosts[VICTIM].target.clone();
    let work = Duration::from_millis(300);
    let bookings: Vec<RequestSpec> = keys
        .iter()
        .map(|key| RequestSpec::book(key, &format!("flight-{key}")).with_work(work))
        .collect();
    let (calls, caller) = (cluster.calls.clone(), cluster.hosts[0].caller);
    let in_flight: Vec<_> = bookings
        .iter()
        .map(|spec| {
            let (calls, spec) = (calls.clone(), spec.clone());
            tokio::spawn(async move { calls.send(0, caller, spec).await })
        })
        .collect();
    let running = || async {
        let running = victim.executions().len();
        (running == bookings.len())
            .then_some(())
            .ok_or_else(|| format!("{running} bookings run"))
    };
    wait_for(STEP_TIMEOUT, "running bookings", running).await;

    inject(&mut cluster, fault);
    let start = Instant::now();
    for call in in_flight {
        call.await.unwrap();
    }
    // The outcome may stay unknown; the booking must not run again.
    for spec in &bookings {
        let probe = || async {
            let call = cluster.call(1, spec.clone()).await;
            match call.outcome() {
                "done" | "unknown" => Ok(()),
                _ => Err(format!("{call:?}")),
            }
        };
        wait_for(STEP_TIMEOUT, "a final outcome", probe).await;
    }
    restore(&mut cluster, fault, start).await;
    for spec in &bookings {
        cluster.call(VICTIM, spec.clone()).await;
    }

    cluster.check().await;
}

/// Guards against a loss of the control leader that affects the keys of other
/// owners: those are served throughout, and the keys that the leader's host
/// owns after an election (2 s) and the usual recovery.
#[tokio::test(flavor = "multi_thread")]
async fn the_loss_of_the_control_leader_interrupts_only_its_own_keys() {
    let mut cluster = Cluster::start(Options::default()).await;
    let leader = cluster.leader(VICTIM).await;
    let (via, own) = (VICTIM, cluster.keys_of(leader, 4).await);
    let others = cluster.keys_of(3, 4).await;

    cluster.kill(leader);
    let start = Instant::now();
    let mut number = 0;
    let mut refused = Vec::new();
    while start.elapsed() < RULE_DEADLINE {
        for key in &others {
            number += 1;
            for spec in [
                RequestSpec::read(key),
                RequestSpec::book(key, &format!("l{number}")),
            ] {
                refused.extend(cluster.call(via, spec).await.expect().err());
            }
        }
    }
    for key in &own {
        let probe = || async { cluster.call(via, RequestSpec::read(key)).await.expect() };
        wait_for(STEP_TIMEOUT, "a served key", probe).await;
    }
    let took = start.elapsed();

    cluster.check().await;
    assert!(
        refused.is_empty(),
        "{} refused: {refused:#?}",
        refused.len()
    );
    assert_within(
        took,
        RULE_DEADLINE + RECOVERY_BOUND,
        &"the recovery of the leader's keys",
    );
}

/// Guards against keys that stay unavailable when the control leader is lost
/// together with the owner. Recovery then includes an election (2 s).
#[tokio::test(flavor = "multi_thread")]
async fn an_owner_lost_together_with_the_control_leader_is_replaced() {
    let mut cluster = Cluster::start(Options::default()).await;
    let leader = cluster.leader(3).await;
    let keys = [
        cluster.keys_of(VICTIM, 4).await,
        cluster.keys_of(leader, 4).await,
    ]
    .concat();
    let via = (leader + 1) % 3;
    let load = cluster.load(&[via, 3], 6, Duration::from_millis(10));

    cluster.kill(leader);
    cluster.kill(VICTIM);
    let start = Instant::now();
    for key in &keys {
        let probe = || async { cluster.call(via, RequestSpec::read(key)).await.expect() };
        wait_for(STEP_TIMEOUT, "a served key", probe).await;
    }
    let took = start.elapsed();
    cluster.launch(leader);
    cluster.launch(VICTIM);
    cluster.ready().await;

    load.stop().await;
    cluster.check().await;
    eprintln!("served again after {took:?}");
    assert_within(
        took,
        RULE_DEADLINE + RECOVERY_BOUND,
        &"the recovery of the keys",
    );
}

/// Guards against a graceful shutdown that interrupts requests. The process is
/// terminated under load, with long work in flight at its target and requests
/// that it forwards to other owners.
#[rstest]
#[case::node(VICTIM)]
#[case::control_replica(1)]
#[tokio::test(flavor = "multi_thread")]
async fn a_graceful_shutdown_cuts_nothing(#[case] victim: usize) {
    let mut cluster = Cluster::start(Options::default()).await;
    let short = cluster.load(&[0, 1, 2, 3, 4], 24, Duration::from_millis(20));
    let long = cluster.load(&[0, 1, 2, 3, 4], 8, Duration::from_millis(700));
    tokio::time::sleep(Duration::from_millis(500)).await;

    cluster.process(victim).terminate();
    let process = cluster.hosts[victim].process.as_mut().unwrap();
    let status = process.wait(Duration::from_mins(1)).await;
    short.stop().await;
    long.stop().await;

    cluster.check().await;
    let calls = cluster.calls.all();
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
    let cluster = Cluster::start(Options::default()).await;
    let leader = cluster.leader(VICTIM).await;
    let failing = (leader + 1) % 3;
    let load = cluster.load(&[3, VICTIM], 4, Duration::from_millis(10));

    // Without its directory the replica can't store its next vote. Pausing the
    // leader causes an election.
    std::fs::remove_dir_all(cluster.data_dir(failing)).unwrap();
    cluster.process(leader).pause();
    let failed = || async {
        let health = cluster.get(failing, "/v1/health").await?;
        (health["storage_failed"] == true)
            .then_some(())
            .ok_or(health.to_string())
    };
    wait_for(STEP_TIMEOUT, "a failed storage", failed).await;
    cluster.process(leader).resume();
    let start = Instant::now();
    let change = || async {
        let answer = cluster.change(VICTIM, "megan", "later", 1, RULES).await;
        (answer.status == 200).then_some(()).ok_or(answer.text())
    };
    wait_for(STEP_TIMEOUT, "an accepted change", change).await;
    cluster.in_force(2, Duration::from_secs(5)).await;
    cluster.ready().await;

    eprintln!("in force after {:?}", start.elapsed());
    load.stop().await;
    cluster.check_records();
}
