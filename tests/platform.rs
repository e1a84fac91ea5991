//! System tests of platform mode, with real processes.

mod support;

use std::time::{Duration, Instant};

use http::StatusCode;
use rand::{RngExt as _, SeedableRng as _, rngs::StdRng};
use support::{
    client::Client,
    platform::{Fleet, LinkFault, Servers, send_request_within},
};
use tokio::{task::JoinSet, time::sleep};

/// The time in which the platform requires service to recover after a fault.
const RECOVERY_BOUND: Duration = Duration::from_secs(15);

/// The time in which a server that leaves may be sent requests.
const DRAIN: Duration = Duration::from_secs(2);

/// The bound for a new fleet to form its groups, assign the keys and serve.
const START_BOUND: Duration = Duration::from_secs(15);

/// The seeds of the soak test that CI runs. A seed that has failed stays here,
/// with one line on the cause.
const SEEDS: [u64; 2] = [1, 2];

/// The number of faults in one run of the soak test.
const FAULTS_PER_RUN: usize = 6;

/// Waits until every host with a server serves.
async fn wait_until_ready(fleet: &Fleet) {
    for host in 0..fleet.hosts.len() {
        if !fleet.hosts[host].is_control {
            fleet.wait_until_served(host, 7, START_BOUND).await;
        }
    }
}

/// Guards against a fleet that doesn't start serving, work that runs twice, and
/// a response that goes to the wrong caller.
#[tokio::test(flavor = "multi_thread")]
async fn every_request_reaches_its_owner_once() {
    let fleet = Fleet::start(1, 3, 2, 2).await;
    wait_until_ready(&fleet).await;

    for number in 0..60_u16 {
        let host = 3 + usize::from(number % 4);
        let id = format!("book-{number}");
        let (status, text) = fleet.request(host, "book", &id, number).await;
        assert_eq!(status, StatusCode::OK, "{text}");
        assert!(text.starts_with(&format!("{id} by ")), "{text}");
        let read = format!("read-{number}");
        let (status, text) = fleet.request(host, "read", &read, number * 1_000).await;
        assert_eq!(status, StatusCode::OK, "{text}");
    }

    fleet.check();
    let observations = fleet.observations.lock().unwrap();
    assert!((0..60).all(|number| observations.runs.get(&format!("book-{number}")) == Some(&1)));
}

/// Guards against keys that get no holder, or two, where the servers take their
/// ranges by calls, some of which get no answer and are applied late: a host
/// process that is replaced, and one that is suspended past its lease.
#[tokio::test(flavor = "multi_thread")]
async fn keys_granted_by_calls_have_one_holder() {
    let mut fleet = Fleet::start_with(8, 3, 3, 1, Servers::Call).await;
    wait_until_ready(&fleet).await;

    fleet.hosts[3].kill();
    fleet.hosts[3].start();
    fleet.hosts[4].process.as_ref().unwrap().pause();
    sleep(Duration::from_secs(5)).await;
    fleet.hosts[4].process.as_ref().unwrap().resume();
    for key in (0..=u16::MAX).step_by(4_096) {
        fleet.wait_until_served(6, key, RECOVERY_BOUND).await;
    }

    fleet.check();
}

/// Guards against the loss of an accepted plan when two of five replicas lose
/// their disks, and against a replica that votes again under its old id after
/// the loss.
#[tokio::test(flavor = "multi_thread")]
async fn an_accepted_plan_survives_the_loss_of_two_disks() {
    let mut fleet = Fleet::start(2, 5, 1, 1).await;
    wait_until_ready(&fleet).await;
    let accepted = fleet.configure().await;

    for host in &mut fleet.hosts[..5] {
        host.kill();
    }
    for host in &mut fleet.hosts[..5] {
        if host.address.octets()[3] <= 2 {
            host.delete_data();
        }
        host.start();
    }

    assert_eq!(fleet.version(RECOVERY_BOUND).await, accepted);
    let next = fleet.configure().await;
    assert_eq!(fleet.version(RECOVERY_BOUND).await, next);
    fleet.wait_until_served(5, 7, RECOVERY_BOUND).await;
    fleet.check();
}

/// A work time longer than the time in which a draining server may be sent requests.
const LONG_WORK: Duration = Duration::from_secs(3);

/// Guards against requests that reach a server too late, and are cut off when it ends:
/// they wait for a slot at its host when it says that it is leaving. Another server can
/// take them.
#[tokio::test(flavor = "multi_thread")]
async fn requests_that_wait_for_a_leaving_server_go_to_another_one() {
    let mut fleet = Fleet::start(12, 1, 1, 2).await;
    fleet.configure_with_timeout(20.0).await;
    wait_until_ready(&fleet).await;
    for host in 2..=3 {
        fleet.set_work_time(host, LONG_WORK);
    }

    // Each server has six slots, so that as many requests wait at each host.
    let mut requests = JoinSet::new();
    for number in 0..24 {
        let (client, address) = (Client::new(), fleet.hosts[2 + number % 2].callers());
        requests.spawn(async move {
            let id = format!("book-wait-{number}");
            send_request_within(&client, address, "book", &id, 0, 20_000).await
        });
    }
    let leave = async {
        sleep(Duration::from_millis(600)).await;
        let path = format!("/rpc?call=instances.leave&of={}", fleet.server_id(2));
        let address = fleet.hosts[2].control();
        let answer = fleet.client.send(address, "POST", &path, &[], "").await;
        assert!(answer.expect("an answer").status.is_success());
        Instant::now()
    };
    let (answers, left) = tokio::join!(requests.join_all(), leave);

    let drained = left + DRAIN;
    let late = fleet.arrivals(2).into_iter().filter(|a| a.at > drained);
    assert_eq!(late.count(), 0, "requests after the drain time");
    let answered = answers
        .iter()
        .filter(|(status, _)| *status == StatusCode::OK);
    let refused = answers
        .iter()
        .filter(|(status, _)| *status == StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(answered.count() + refused.count(), 24, "{answers:?}");
    fleet.check();
}

/// Guards against a control group that has no leader again: its three processes are
/// killed at the same moment, before the first snapshot, and start again with their
/// disks and without `bootstrap`.
#[tokio::test(flavor = "multi_thread")]
async fn a_control_group_of_three_returns_after_all_are_killed() {
    let mut fleet = Fleet::start(11, 3, 1, 1).await;
    wait_until_ready(&fleet).await;
    let accepted = fleet.configure().await;

    for _ in 0..2 {
        for host in &mut fleet.hosts[..3] {
            host.kill();
        }
        for host in &mut fleet.hosts[..3] {
            host.start();
        }
        assert_eq!(fleet.version(RECOVERY_BOUND).await, accepted);
    }

    let next = fleet.configure().await;
    assert_eq!(fleet.version(RECOVERY_BOUND).await, next);
    fleet.wait_until_served(4, 7, RECOVERY_BOUND).await;
    fleet.check();
}

/// Guards against a group that stays one short, or that loses an accepted plan, when
/// a control host goes for good and another one with an empty disk comes in its
/// place, twice: then two of the remaining first replicas are lost, which leaves a
/// majority only together with the new ones.
#[tokio::test(flavor = "multi_thread")]
async fn new_control_hosts_replace_those_that_went_for_good() {
    let mut fleet = Fleet::start(9, 5, 1, 1).await;
    wait_until_ready(&fleet).await;
    let mut accepted = 0;

    for gone in 0..2 {
        fleet.hosts[gone].kill();
        let new = fleet.add_control();
        let started = Instant::now();
        while !fleet.group_has(new) {
            assert!(
                started.elapsed() < RECOVERY_BOUND,
                "host {new} is in no group"
            );
            sleep(Duration::from_millis(100)).await;
        }
        accepted = fleet.configure().await;
    }
    for lost in 2..4 {
        fleet.hosts[lost].kill();
    }

    assert_eq!(fleet.version(RECOVERY_BOUND).await, accepted);
    let next = fleet.configure().await;
    assert_eq!(fleet.version(RECOVERY_BOUND).await, next);
    fleet.wait_until_served(5, 7, RECOVERY_BOUND).await;
    fleet.check();
}

/// Guards against replicas that never discover each other: two of the three
/// seeds lost their disks, the third has an outdated log and can't be elected,
/// and the other two replicas are not in any settings file.
#[tokio::test(flavor = "multi_thread")]
async fn replicas_outside_the_seeds_discover_each_other() {
    let mut fleet = Fleet::start(7, 5, 1, 1).await;
    wait_until_ready(&fleet).await;
    fleet.hosts[0].kill();
    let accepted = fleet.configure().await;

    for host in &mut fleet.hosts[1..5] {
        host.kill();
    }
    for host in &mut fleet.hosts[..5] {
        if matches!(host.address.octets()[3], 2 | 3) {
            host.delete_data();
        }
        host.start();
    }

    assert_eq!(fleet.version(RECOVERY_BOUND).await, accepted);
    fleet.wait_until_served(5, 7, RECOVERY_BOUND).await;
    fleet.check();
}

/// Guards against requests that are interrupted by the graceful shutdown of the
/// process that accepted them, and against keys that stay unavailable after its
/// restart.
#[tokio::test(flavor = "multi_thread")]
async fn a_graceful_shutdown_interrupts_no_request() {
    let mut fleet = Fleet::start(3, 1, 1, 1).await;
    wait_until_ready(&fleet).await;

    let process = fleet.hosts[1].process.take();
    let mut process = process.expect("a running process");
    process.terminate();
    let mut failures = Vec::new();
    for number in 0..40_u16 {
        let id = format!("read-{number}");
        let (status, text) = fleet.request(1, "read", &id, number).await;
        if status != StatusCode::OK {
            failures.push((number, status, text));
        }
    }
    let status = process.wait(Duration::from_secs(6)).await;
    fleet.hosts[1].start();

    assert_eq!(failures, []);
    assert!(status.success(), "{status}");
    fleet.wait_until_served(1, 7, RECOVERY_BOUND).await;
    fleet.check();
}

/// Guards against a process that exits on SIGHUP.
#[tokio::test(flavor = "multi_thread")]
async fn a_process_ignores_sighup() {
    let mut fleet = Fleet::start(4, 1, 1, 1).await;
    wait_until_ready(&fleet).await;

    for host in &fleet.hosts {
        host.process.as_ref().expect("a running process").hang_up();
    }

    fleet.wait_until_served(1, 7, START_BOUND).await;
    for host in &mut fleet.hosts {
        let process = host.process.as_mut().expect("a running process");
        assert_eq!(process.exit_status(), None);
    }
}

/// Guards against invalid input that is executed, changes the plan or makes a
/// process exit.
#[tokio::test(flavor = "multi_thread")]
async fn invalid_input_is_refused_and_changes_nothing() {
    let mut fleet = Fleet::start(5, 1, 1, 1).await;
    wait_until_ready(&fleet).await;
    let long = vec![b'x'; 1_000_001];
    let headers = [
        ("host", "x.example"),
        ("x-wisteriaglade-request-id", "book-long"),
    ];
    let target = &fleet.hosts[1];
    let (callers, heartbeat_address) = (target.callers(), target.control());
    let control = fleet.hosts[0].control();
    let plan = r#"{"version":9,"services":[],"virtual-hosts":[{"host":"","paths":[]}]}"#;
    let invalid = plan.replace(
        "\"paths\":[]",
        concat!(
            r#""paths":[{"name":"r","path-prefix":"/a/","kind":"idempotent","#,
            r#""timeout-s":1,"service":"none"}]"#
        ),
    );
    let heartbeat = "/rpc?call=instances.heartbeat&of=i-9";
    let put = "/rpc?call=config.put";
    let base = [("if-match", "2")];
    let cases = [
        (callers, "/book/1", &headers[..], long, 413),
        (callers, "/none/1", &headers, Vec::new(), 404),
        (heartbeat_address, heartbeat, &[], b"{".to_vec(), 400),
        (
            heartbeat_address,
            "/rpc?call=config.put",
            &[],
            Vec::new(),
            404,
        ),
        (control, put, &base, invalid.into_bytes(), 400),
        (control, put, &base, plan.as_bytes()[..40].to_vec(), 400),
        (control, "/rpc?call=none", &[], Vec::new(), 404),
    ];

    for (address, path, headers, body, expected) in cases {
        let answer = fleet
            .client
            .send(address, "POST", path, headers, body)
            .await;
        assert_eq!(answer.unwrap().status.as_u16(), expected, "{path}");
    }

    assert_eq!(fleet.version(RECOVERY_BOUND).await, 2);
    assert_eq!(
        fleet.observations.lock().unwrap().runs.get("book-long"),
        None
    );
    for host in &mut fleet.hosts {
        let process = host.process.as_mut().expect("a running process");
        assert_eq!(process.exit_status(), None);
    }
    fleet.wait_until_served(1, 7, START_BOUND).await;
}

/// Guards against violated invariants under random faults: processes are
/// killed, paused, terminated and restarted, and connections to targets fail,
/// while requests run. `SOAK_SEEDS=FROM..TO` runs other seeds.
#[tokio::test(flavor = "multi_thread")]
async fn invariants_hold_under_random_faults() {
    for seed in support::seeds("SOAK_SEEDS", &SEEDS) {
        println!("soak seed {seed}");
        soak(seed).await;
    }
}

/// Runs the soak test with one seed.
async fn soak(seed: u64) {
    let mut random = StdRng::seed_from_u64(seed);
    let net = 10 + u8::try_from(seed % 200).unwrap_or(0);
    // Every other seed plays servers that take their ranges by calls.
    let servers = if seed.is_multiple_of(2) {
        Servers::Call
    } else {
        Servers::Heartbeat
    };
    let mut fleet = Fleet::start_with(net, 5, 2, 2, servers).await;
    wait_until_ready(&fleet).await;
    let mut number = 0;
    for _ in 0..FAULTS_PER_RUN {
        let victim = random.random_range(0..fleet.hosts.len());
        let fault = random.random_range(0..4);
        println!("fault {fault} on host {victim}");
        let faulty_host = random.random_range(5..fleet.hosts.len());
        let link_fault = LinkFault::ALL[random.random_range(0..LinkFault::ALL.len())];
        if random.random_bool(0.6) {
            println!("{link_fault:?} between host {faulty_host} and its target");
            fleet.inject_fault(faulty_host, link_fault);
        }
        match fault {
            0 => fleet.hosts[victim].kill(),
            1 => fleet.hosts[victim].process.as_ref().unwrap().pause(),
            2 => fleet.hosts[victim].process.as_ref().unwrap().terminate(),
            _ => {
                fleet.hosts[victim].kill();
                fleet.hosts[victim].delete_data();
            }
        }
        for _ in 0..random.random_range(20..120) {
            number += 1;
            let host = random.random_range(5..fleet.hosts.len());
            let key = random.random_range(0..=u16::MAX);
            if host != victim {
                let book = format!("book-{seed}-{number}");
                let read = format!("read-{seed}-{number}");
                tokio::join!(
                    fleet.request(host, "book", &book, key),
                    fleet.request(host, "read", &read, key)
                );
            }
        }
        fleet.inject_fault(faulty_host, LinkFault::None);
        let host = &mut fleet.hosts[victim];
        match fault {
            1 => host.process.as_ref().unwrap().resume(),
            2 => {
                let mut process = host.process.take().unwrap();
                process.wait(Duration::from_secs(8)).await;
                host.start();
            }
            _ => host.start(),
        }
        let expected = fleet.configure().await;
        assert_eq!(fleet.version(RECOVERY_BOUND).await, expected, "seed {seed}");
        fleet.check();
    }
    for host in 5..fleet.hosts.len() {
        fleet.wait_until_served(host, 7, RECOVERY_BOUND).await;
    }
    fleet.check();
}
