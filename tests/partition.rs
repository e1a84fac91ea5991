//! Faults on the way between processes.

mod support;

use std::time::{Duration, Instant};

use rstest::rstest;
use support::{
    assert_within,
    calls::{Ask, End as CallEnd},
    fleet::{Fleet, Options, RULES},
    proxy::{End, Rule},
    within,
};

/// The bound for a key to be served again, and for a silent connection.
const SERVED: Duration = Duration::from_secs(1);

/// The longest election.
const ELECTION: Duration = Duration::from_secs(2);

/// The bound for a change to be in force everywhere.
const IN_FORCE: Duration = Duration::from_secs(5);

/// The patience of a test where the design gives no bound.
const PATIENCE: Duration = Duration::from_secs(10);

const SILENT: Rule = Rule {
    silent: true,
    ..NO_FAULT
};

const CUT: Rule = Rule {
    cut: true,
    ..NO_FAULT
};

const NO_FAULT: Rule = Rule {
    delay: Duration::ZERO,
    jitter: Duration::ZERO,
    loss: 0.0,
    silent: false,
    cut: false,
};

async fn fleet() -> Fleet {
    let options = Options {
        proxy: true,
        ..Options::default()
    };
    Fleet::start(options).await
}

/// Guards against a replica that disturbs the others when it returns, that
/// serves by an old state, or that misses a change.
#[tokio::test(flavor = "multi_thread")]
async fn a_follower_that_returns_after_a_long_silence_catches_up_quietly() {
    let fleet = fleet().await;
    let leader = fleet.leader(3).await;
    let follower = (leader + 1) % 3;
    let key = fleet.keys_of(3, 1).await.remove(0);
    let load = fleet.load(&[3, 4, leader], 6, Duration::from_millis(10));

    fleet.isolate(&[follower], SILENT);
    let start = Instant::now();
    let change = fleet.change(leader, "megan", "during", 1, RULES).await;
    // A node whose state is not current refuses; 5 s is the bound for that.
    let stale = || async {
        let call = fleet.call(follower, Ask::read(&key)).await;
        match &call.end {
            CallEnd::Answer(reply) if reply.outcome == "not-run" && call.took < SERVED => Ok(()),
            _ => Err(format!("{call:?}")),
        }
    };
    within(IN_FORCE, "a quick refusal of a cut off node", stale).await;
    tokio::time::sleep_until((start + Duration::from_secs(6)).into()).await;
    fleet.isolate(&[follower], NO_FAULT);
    fleet.ready().await;
    fleet.in_force(2, IN_FORCE).await;

    load.stop().await;
    fleet.check();
    assert_eq!(change.status, 200, "{}", change.text());
    assert_eq!(fleet.leader(3).await, leader, "the leader changed");
}

/// Guards against keys and records that depend on one data centre.
#[rstest]
#[case::with_a_replica(&[0], CUT)]
#[case::silently(&[0], SILENT)]
#[case::two_hosts(&[3, 4], CUT)]
#[case::two_hosts_silently(&[3, 4], SILENT)]
#[tokio::test(flavor = "multi_thread")]
async fn the_keys_and_records_of_a_lost_data_centre_survive(
    #[case] lost: &'static [usize],
    #[case] rule: Rule,
) {
    let fleet = fleet().await;
    let elected = if lost.contains(&fleet.leader(1).await) {
        ELECTION
    } else {
        Duration::ZERO
    };
    let mut keys = Vec::new();
    for &host in lost {
        keys.extend(fleet.keys_of(host, 4).await);
    }
    let books: Vec<Ask> = keys
        .iter()
        .map(|key| Ask::book(key, &format!("before-{key}")))
        .collect();
    for ask in &books {
        fleet.call(1, ask.clone()).await.expect().unwrap();
    }
    let load = fleet.load(&[1, 2], 6, Duration::from_millis(10));

    fleet.isolate(lost, rule);
    let start = Instant::now();
    for key in &keys {
        let look = || async { fleet.call(1, Ask::read(key)).await.expect() };
        within(PATIENCE, "a served key", look).await;
    }
    let took = start.elapsed();
    for ask in &books {
        let look = || async { fleet.call(2, ask.clone()).await.expect() };
        within(PATIENCE, "a replayed booking", look).await;
    }
    fleet.isolate(lost, NO_FAULT);
    fleet.ready().await;

    load.stop().await;
    fleet.check();
    eprintln!("served again after {took:?}");
    assert_within(took, SERVED + elected, &lost);
}

/// Guards against a change that does not arrive because the subscriptions and
/// the links between replicas have gone silent.
#[tokio::test(flavor = "multi_thread")]
async fn a_change_arrives_although_all_connections_went_silent() {
    let fleet = fleet().await;

    for one in 0..5 {
        for other in 0..5 {
            fleet.net.lose(End::Host(one), End::Host(other));
        }
    }
    let start = Instant::now();
    let change = || async {
        let answer = fleet.change(4, "megan", "after", 1, RULES).await;
        (answer.status == 200).then_some(()).ok_or(answer.text())
    };
    within(IN_FORCE, "an accepted change", change).await;
    fleet.in_force(2, IN_FORCE).await;

    assert_within(start.elapsed(), IN_FORCE, &"the change");
}

