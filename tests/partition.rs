//! Network faults between processes: partitions, silent and half-open
//! connections, delay and loss.

mod support;

use std::time::{Duration, Instant};

use rstest::rstest;
use support::{
    assert_within,
    calls::{CallResult, RequestSpec},
    cluster::{Cluster, Options, RULES},
    proxy::{Endpoint, Impairment},
    wait_for,
};

/// The bound for a key to be served again, and for a silent connection to be
/// detected.
const RECOVERY_BOUND: Duration = Duration::from_secs(1);

/// The bound for an election.
const ELECTION_BOUND: Duration = Duration::from_secs(2);

/// The bound for a change to be in force at every node.
const IN_FORCE_BOUND: Duration = Duration::from_secs(5);

/// The deadline of the rules in [`RULES`].
const RULE_DEADLINE: Duration = Duration::from_secs(2);

/// The timeout of steps for which the design specifies no bound.
const STEP_TIMEOUT: Duration = Duration::from_secs(10);

const SILENT: Impairment = Impairment {
    silent: true,
    ..NO_FAULT
};

const CUT: Impairment = Impairment {
    cut: true,
    ..NO_FAULT
};

const NO_FAULT: Impairment = Impairment {
    delay: Duration::ZERO,
    jitter: Duration::ZERO,
    loss: 0.0,
    silent: false,
    cut: false,
};

async fn cluster() -> Cluster {
    let options = Options {
        proxy: true,
        ..Options::default()
    };
    Cluster::start(options).await
}

/// Guards against a replica that forces an election when its partition heals,
/// that serves with a stale state, or that misses a change.
#[tokio::test(flavor = "multi_thread")]
async fn a_follower_catches_up_after_a_partition_without_an_election() {
    let cluster = cluster().await;
    let leader = cluster.leader(3).await;
    let follower = (leader + 1) % 3;
    let key = cluster.keys_of(3, 1).await.remove(0);
    let load = cluster.load(&[3, 4, leader], 6, Duration::from_millis(10));

    cluster.isolate(&[follower], SILENT);
    let start = Instant::now();
    let change = cluster.change(leader, "megan", "during", 1, RULES).await;
    // A node whose state isn't current refuses requests; the bound for that is
    // 5 s.
    let stale = || async {
        let call = cluster.call(follower, RequestSpec::read(&key)).await;
        match &call.result {
            CallResult::Answer(reply)
                if reply.outcome == "not-run" && call.took < RECOVERY_BOUND =>
            {
                Ok(())
            }
            _ => Err(format!("{call:?}")),
        }
    };
    wait_for(IN_FORCE_BOUND, "a quick refusal of a cut off node", stale).await;
    tokio::time::sleep_until((start + Duration::from_secs(6)).into()).await;
    cluster.isolate(&[follower], NO_FAULT);
    cluster.ready().await;
    cluster.in_force(2, IN_FORCE_BOUND).await;

    load.stop().await;
    cluster.check().await;
    assert_eq!(change.status, 200, "{}", change.text());
    assert_eq!(cluster.leader(3).await, leader, "the leader changed");
}

/// Guards against nodes that stay subscribed to a replica which receives no
/// changes, because the other replicas can't reach it.
#[tokio::test(flavor = "multi_thread")]
async fn a_replica_cut_off_from_the_others_keeps_no_node_behind() {
    let cluster = cluster().await;
    let leader = cluster.leader(3).await;
    let follower = (leader + 1) % 3;
    let others: Vec<usize> = (0..3).filter(|&host| host != follower).collect();
    let key = cluster.keys_of(3, 1).await.remove(0);

    cluster.net.between(&[follower], &others, SILENT);
    let change = cluster.change(leader, "megan", "during", 1, RULES).await;
    let known = || async {
        for via in [3, 4, leader] {
            let rules = cluster.get(via, "/v1/rules").await?;
            if rules["version"] != 2 {
                return Err(format!("{via}: {}", rules["version"]));
            }
            cluster.call(via, RequestSpec::read(&key)).await.expect()?;
        }
        Ok(())
    };
    wait_for(IN_FORCE_BOUND, "the change at the nodes", known).await;
    cluster.net.between(&[follower], &others, NO_FAULT);
    cluster.ready().await;

    cluster.check().await;
    assert_eq!(change.status, 200, "{}", change.text());
}

/// The data centre that is partitioned from the others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Centre {
    OfTheLeader,
    OfAFollower,
    WithoutReplica,
}

/// Guards against keys and records that become unavailable with one data
/// centre.
#[rstest]
#[case::of_a_follower(Centre::OfAFollower, CUT)]
#[case::of_a_follower_silently(Centre::OfAFollower, SILENT)]
#[case::of_the_leader_silently(Centre::OfTheLeader, SILENT)]
#[case::two_hosts(Centre::WithoutReplica, CUT)]
#[case::two_hosts_silently(Centre::WithoutReplica, SILENT)]
#[tokio::test(flavor = "multi_thread")]
async fn the_keys_and_records_of_a_lost_data_centre_survive(
    #[case] centre: Centre,
    #[case] impairment: Impairment,
) {
    let cluster = cluster().await;
    let leader = cluster.leader(3).await;
    let (lost, bound) = match centre {
        Centre::OfTheLeader => (vec![leader], RECOVERY_BOUND + ELECTION_BOUND),
        Centre::OfAFollower => (vec![(leader + 1) % 3], RECOVERY_BOUND),
        Centre::WithoutReplica => (vec![3, 4], RECOVERY_BOUND),
    };
    let others: Vec<usize> = (0..5).filter(|host| !lost.contains(host)).collect();
    let mut keys = Vec::new();
    for &host in &lost {
        keys.extend(cluster.keys_of(host, 4).await);
    }
    let bookings: Vec<RequestSpec> = keys
        .iter()
        .map(|key| RequestSpec::book(key, &format!("before-{key}")))
        .collect();
    for spec in &bookings {
        cluster
            .call(others[0], spec.clone())
            .await
            .expect()
            .unwrap();
    }
    let load = cluster.load(&others, 6, Duration::from_millis(10));

    cluster.isolate(&lost, impairment);
    let start = Instant::now();
    for key in &keys {
        let probe = || async {
            cluster
                .call(others[0], RequestSpec::read(key))
                .await
                .expect()
        };
        wait_for(STEP_TIMEOUT, "a served key", probe).await;
    }
    let took = start.elapsed();
    for spec in &bookings {
        let probe = || async { cluster.call(others[1], spec.clone()).await.expect() };
        wait_for(STEP_TIMEOUT, "a replayed booking", probe).await;
    }
    cluster.isolate(&lost, NO_FAULT);
    cluster.ready().await;

    load.stop().await;
    cluster.check().await;
    eprintln!("served again after {took:?}");
    assert_within(took, bound, &centre);
}

/// Guards against a node that delays callers or runs work while it can't renew
/// its lease.
#[rstest]
#[case::cut(CUT, true)]
#[case::silent(SILENT, true)]
#[case::deaf(SILENT, false)]
#[tokio::test(flavor = "multi_thread")]
async fn a_node_without_any_replica_refuses_quickly(
    #[case] impairment: Impairment,
    #[case] both_directions: bool,
) {
    let cluster = cluster().await;
    let key = cluster.keys_of(4, 1).await.remove(0);
    let load = cluster.load(&[0, 3], 4, Duration::from_millis(10));

    for replica in [0, 1, 2].map(Endpoint::Host) {
        cluster.net.set(replica, Endpoint::Host(4), impairment);
        if both_directions {
            cluster.net.set(Endpoint::Host(4), replica, impairment);
        }
    }
    for spec in [RequestSpec::read(&key), RequestSpec::book(&key, "alone")] {
        let probe = || async {
            let call = cluster.call(4, spec.clone()).await;
            match call.outcome() {
                "not-run" if call.took < RECOVERY_BOUND => Ok(()),
                _ => Err(format!("{call:?}")),
            }
        };
        wait_for(IN_FORCE_BOUND, "a quick refusal", probe).await;
    }
    cluster.net.between(&[4], &[0, 1, 2], NO_FAULT);
    cluster.ready().await;

    load.stop().await;
    cluster.check().await;
}

/// A fault of the existing connections; new ones work.
#[derive(Debug, Clone, Copy)]
enum ConnectionFault {
    Silent,
    HalfOpen,
}

fn inject(cluster: &Cluster, one: usize, other: usize, loss: ConnectionFault) {
    let (one, other) = (Endpoint::Host(one), Endpoint::Host(other));
    match loss {
        ConnectionFault::Silent => cluster.net.silence(one, other),
        ConnectionFault::HalfOpen => cluster.net.half_open(one, other),
    }
}

/// Guards against requests that hang because their connection went silent or
/// half-open, while it was idle or while it carried the request.
#[rstest]
#[case::idle(ConnectionFault::Silent, Duration::ZERO)]
#[case::idle_half_open(ConnectionFault::HalfOpen, Duration::ZERO)]
#[case::at_work(ConnectionFault::Silent, Duration::from_millis(500))]
#[case::at_work_half_open(ConnectionFault::HalfOpen, Duration::from_millis(500))]
#[tokio::test(flavor = "multi_thread")]
async fn a_request_survives_a_silent_connection(
    #[case] loss: ConnectionFault,
    #[case] work: Duration,
) {
    let cluster = cluster().await;
    let keys = cluster.keys_of(4, 4).await;
    // The retry budget is a tenth of the earlier requests, and each of the 8
    // requests below needs one retry.
    for _ in 0..30 {
        for key in &keys {
            cluster
                .call(3, RequestSpec::read(key))
                .await
                .expect()
                .unwrap();
        }
    }
    let specs: Vec<RequestSpec> = keys
        .iter()
        .flat_map(|key| {
            [
                RequestSpec::read(key),
                RequestSpec::book(key, &format!("s-{key}")),
            ]
        })
        .map(|spec| spec.with_work(work))
        .collect();

    if work.is_zero() {
        inject(&cluster, 3, 4, loss);
    }
    let (calls, caller) = (cluster.calls.clone(), cluster.hosts[3].caller);
    let in_flight: Vec<_> = specs
        .into_iter()
        .map(|spec| {
            let calls = calls.clone();
            tokio::spawn(async move { calls.send(3, caller, spec).await })
        })
        .collect();
    if !work.is_zero() {
        let running = || async {
            let runs = cluster.hosts[4].target.executions();
            let running = runs.iter().filter(|run| run.end.is_none()).count();
            (running == in_flight.len())
                .then_some(())
                .ok_or(format!("{running} run"))
        };
        wait_for(STEP_TIMEOUT, "requests in flight", running).await;
        inject(&cluster, 3, 4, loss);
    }
    let mut ended = Vec::new();
    for call in in_flight {
        ended.push(call.await.unwrap());
    }

    cluster.check().await;
    // The silence is detected after 1 s, and repeatable work then runs again.
    let bound = RECOVERY_BOUND + work + work;
    for call in ended {
        let call = call.expect().unwrap();
        assert_within(call.took, bound, &call);
    }
}

/// Guards against a change that is not distributed because the subscriptions
/// and the links between replicas went silent.
#[tokio::test(flavor = "multi_thread")]
async fn a_change_arrives_although_all_connections_went_silent() {
    let cluster = cluster().await;

    for one in 0..5 {
        for other in 0..5 {
            cluster
                .net
                .silence(Endpoint::Host(one), Endpoint::Host(other));
        }
    }
    let start = Instant::now();
    let change = || async {
        let answer = cluster.change(4, "megan", "after", 1, RULES).await;
        (answer.status == 200).then_some(()).ok_or(answer.text())
    };
    wait_for(IN_FORCE_BOUND, "an accepted change", change).await;
    cluster.in_force(2, IN_FORCE_BOUND).await;

    assert_within(start.elapsed(), IN_FORCE_BOUND, &"the change");
}

/// Guards against two owners of a key when one host is partitioned while
/// another is paused, and both return with their old state.
#[rstest]
#[case::fencing(true)]
#[case::no_fencing(false)]
#[tokio::test(flavor = "multi_thread")]
async fn a_partition_together_with_a_pause_gives_no_key_two_owners(#[case] fencing: bool) {
    let cluster = Cluster::start(Options {
        proxy: true,
        fencing,
        ..Options::default()
    })
    .await;
    let keys = [cluster.keys_of(3, 3).await, cluster.keys_of(4, 3).await].concat();
    let load = cluster.load(&[0, 1, 2], 8, Duration::from_millis(50));
    let isolated_load = cluster.load(&[3], 2, Duration::from_millis(50));

    cluster.isolate(&[3], SILENT);
    cluster.process(4).pause();
    for key in &keys {
        let probe = || async { cluster.call(0, RequestSpec::read(key)).await.expect() };
        wait_for(STEP_TIMEOUT, "a served key", probe).await;
    }
    cluster.process(4).resume();
    cluster.isolate(&[3], NO_FAULT);
    cluster.ready().await;

    load.stop().await;
    isolated_load.stop().await;
    cluster.check().await;
}

/// Guards against wrong responses and lost leases on a network that delays and
/// reorders messages and drops datagrams.
#[tokio::test(flavor = "multi_thread")]
async fn a_slow_network_that_reorders_and_loses_changes_no_outcome() {
    let cluster = cluster().await;
    let impairment = Impairment {
        delay: Duration::from_millis(1),
        jitter: Duration::from_millis(20),
        loss: 0.1,
        ..NO_FAULT
    };
    let all = [0, 1, 2, 3, 4];

    cluster.net.between(&all, &all, impairment);
    let load = cluster.load(&all, 16, Duration::from_millis(5));
    tokio::time::sleep(Duration::from_secs(3)).await;
    load.stop().await;

    cluster.check().await;
    let calls = cluster.calls.all();
    let served = calls.iter().filter(|call| call.served()).count();
    assert!(
        served * 10 >= calls.len() * 9,
        "{served} of {}",
        calls.len()
    );
}

/// Guards against requests that hang, and at-most-once work that runs again,
/// when the existing connections between a node and its target go silent.
#[rstest]
#[case::idle(Duration::ZERO, RULE_DEADLINE)]
#[case::at_work(Duration::from_millis(300), RULE_DEADLINE + RECOVERY_BOUND)]
#[tokio::test(flavor = "multi_thread")]
async fn a_target_is_served_again_after_its_connections_went_silent(
    #[case] work: Duration,
    #[case] bound: Duration,
) {
    let cluster = Cluster::start(Options {
        proxy: true,
        target_proxy: true,
        ..Options::default()
    })
    .await;
    let keys = cluster.keys_of(4, 4).await;
    let load = cluster.load(&[0, 1, 2, 3, 4], 8, work);
    let target = &cluster.hosts[4].target;
    let busy = || async {
        let runs = target.executions().len();
        (runs >= 10).then_some(()).ok_or(format!("{runs} runs"))
    };
    wait_for(STEP_TIMEOUT, "work at the target", busy).await;

    cluster.net.silence(Endpoint::Host(4), Endpoint::Target(4));
    let start = Instant::now();
    for key in &keys {
        for via in [0, 4] {
            let probe = || async { cluster.call(via, RequestSpec::read(key)).await.expect() };
            wait_for(STEP_TIMEOUT, "a served key", probe).await;
        }
    }
    let took = start.elapsed();
    load.stop().await;

    cluster.check().await;
    eprintln!("served again after {took:?}");
    // HTTP has no keep-alive probes during a request, so a request on a silent
    // connection fails at its deadline; the next one is served at once.
    assert_within(took, bound, &"the recovery of the connections");
}
