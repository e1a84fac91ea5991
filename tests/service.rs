//! Draining and failing targets, the loss of record holders, and malformed
//! input on the listeners.

mod support;

use std::time::{Duration, Instant};

use rstest::rstest;
use support::{
    calls::RequestSpec,
    cluster::{Cluster, Options},
    target::Behaviour,
    wait_for,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpStream, UdpSocket},
};
use wisteriaglade::wire::{Key, Link};

/// The bound for a key to be served again.
const RECOVERY_BOUND: Duration = Duration::from_secs(1);

/// The bound after which a draining target gets no new work.
const DRAIN_BOUND: Duration = Duration::from_secs(3);

/// The bound for a change to be in force at every node.
const IN_FORCE_BOUND: Duration = Duration::from_secs(5);

/// The timeout of steps for which the design specifies no bound.
const STEP_TIMEOUT: Duration = Duration::from_secs(10);

/// The host whose target or process fails.
const VICTIM: usize = 4;

/// The sender of the drain request.
#[derive(Debug, Clone, Copy)]
enum Drain {
    Target,
    Operator,
}

/// Guards against new work for a draining target under load, and against work
/// that is interrupted by the drain. The target continues to announce itself.
#[rstest]
#[case::asked_by_the_target(Drain::Target)]
#[case::asked_by_an_operator(Drain::Operator)]
#[tokio::test(flavor = "multi_thread")]
async fn a_draining_target_gets_no_new_work(#[case] drain: Drain) {
    let cluster = Cluster::start(Options::default()).await;
    let load = cluster.load(&[0, 1, 2, 3, 4], 64, Duration::from_millis(100));
    tokio::time::sleep(RECOVERY_BOUND).await;

    let answer = match drain {
        Drain::Target => cluster.post(VICTIM, "/v1/target/drain").await,
        Drain::Operator => {
            let status = cluster.status(VICTIM).await.unwrap();
            let path = format!("/v1/nodes/{}/drain", status["node"]);
            cluster.post(0, &path).await
        }
    };
    let start = Instant::now();
    tokio::time::sleep(DRAIN_BOUND + RECOVERY_BOUND).await;
    load.stop().await;

    assert_eq!(answer.status, 204, "{}", answer.text());
    cluster.check().await;
    let runs = cluster.hosts[VICTIM].target.executions();
    let late = runs.iter().filter(|run| run.start > start + DRAIN_BOUND);
    assert_eq!(late.count(), 0, "late work of {} runs", runs.len());
    let calls = cluster.calls.all();
    let interrupted = support::check::interrupted(&calls);
    assert!(
        interrupted.is_empty(),
        "{} requests were cut: {interrupted:#?}",
        interrupted.len()
    );
}

/// Guards against the loss of a record when a second host fails immediately
/// after a lost record holder was replaced.
#[rstest]
#[case::another_holder(false)]
#[case::the_owner(true)]
#[tokio::test(flavor = "multi_thread")]
async fn records_survive_a_second_loss_right_after_a_repair(#[case] owner_fails: bool) {
    let mut cluster = Cluster::start(Options::default()).await;
    let mut chosen = None;
    for number in 0..200 {
        let key = format!("k{number}");
        let (owner, holders) = cluster.owner(0, &key).await.unwrap();
        if owner != 3 && owner < 3 && holders.contains(&3) && holders.iter().any(|&h| h < 3) {
            chosen = Some((key, owner, holders));
            break;
        }
    }
    let (key, owner, holders) = chosen.unwrap();
    let second = if owner_fails {
        owner
    } else {
        holders.into_iter().find(|&holder| holder < 3).unwrap()
    };
    let via = (0..3).find(|&host| host != second).unwrap();
    let bookings: Vec<RequestSpec> = (0..5)
        .map(|number| RequestSpec::book(&key, &format!("kept-{number}")))
        .collect();
    for spec in &bookings {
        cluster.call(via, spec.clone()).await.expect().unwrap();
    }

    cluster.kill(3);
    let repaired = || async {
        let (_, holders) = cluster.owner(via, &key).await?;
        (holders.len() == 3 && !holders.contains(&3))
            .then_some(())
            .ok_or(format!("{holders:?}"))
    };
    let ((), took) = wait_for(STEP_TIMEOUT, "replaced holders", repaired).await;
    cluster.kill(second);
    for spec in &bookings {
        let probe = || async { cluster.call(via, spec.clone()).await.expect() };
        wait_for(STEP_TIMEOUT, "a replayed booking", probe).await;
    }
    let more = || async {
        cluster
            .call(via, RequestSpec::book(&key, "more"))
            .await
            .expect()
    };
    wait_for(STEP_TIMEOUT, "a new booking", more).await;

    eprintln!("replaced after {took:?}");
    cluster.check().await;
}

/// The failure of a target that reports that it is healthy.
#[derive(Debug, Clone, Copy)]
enum Failure {
    Frozen,
    Dead,
}

/// Guards against a health report that overrides observed failures: the keys
/// must move although the target reports that it is healthy.
#[rstest]
#[case::frozen(Failure::Frozen, IN_FORCE_BOUND)]
#[case::dead(Failure::Dead, RECOVERY_BOUND)]
#[tokio::test(flavor = "multi_thread")]
async fn keys_leave_a_target_that_reports_healthy_and_serves_nothing(
    #[case] failure: Failure,
    #[case] bound: Duration,
) {
    let cluster = Cluster::start(Options::default()).await;
    let keys = cluster.keys_of(VICTIM, 4).await;
    let load = cluster.load(&[0, 1, 2, 3], 32, Duration::from_millis(20));
    let (client, admin) = (cluster.client.clone(), cluster.hosts[VICTIM].admin);
    let false_reports = tokio::spawn(async move {
        let report = serde_json::json!({ "running": 0, "queued": 0, "healthy": true });
        loop {
            let _ = client
                .json(admin, "POST", "/v1/target/load", "", &report)
                .await;
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    });

    let target = &cluster.hosts[VICTIM].target;
    match failure {
        Failure::Frozen => target.set_behaviour(Behaviour {
            frozen: true,
            ..Behaviour::default()
        }),
        Failure::Dead => target.kill(),
    }
    let start = Instant::now();
    for key in &keys {
        let probe = || async { cluster.call(0, RequestSpec::read(key)).await.expect() };
        wait_for(STEP_TIMEOUT, "a served key", probe).await;
    }
    let took = start.elapsed();
    target.set_behaviour(Behaviour::default());
    load.stop().await;
    false_reports.abort();

    cluster.check().await;
    eprintln!("served again after {took:?}");
    support::assert_within(took, bound, &failure);
}

/// Guards against a node that treats a shed request as executed, or that sends
/// no work after the target stops shedding.
#[tokio::test(flavor = "multi_thread")]
async fn no_request_is_lost_while_a_target_sheds() {
    let cluster = Cluster::start(Options::default()).await;
    let load = cluster.load(&[0, 1, 2, 3, 4], 16, Duration::from_millis(10));
    let target = &cluster.hosts[VICTIM].target;

    target.set_behaviour(Behaviour {
        shed: true,
        ..Behaviour::default()
    });
    tokio::time::sleep(RECOVERY_BOUND).await;
    target.set_behaviour(Behaviour::default());
    let before = target.executions().len();
    let again = || async {
        let runs = target.executions().len();
        (runs > before).then_some(()).ok_or(format!("{runs} runs"))
    };
    wait_for(IN_FORCE_BOUND, "work at the target", again).await;
    load.stop().await;

    cluster.check().await;
}

/// Malformed bytes for the peer port, sent after the handshake if
/// `after_handshake`.
struct MalformedInput {
    name: &'static str,
    after_handshake: bool,
    bytes: Vec<u8>,
}

fn malformed_inputs() -> Vec<MalformedInput> {
    let bytes = |name, after_handshake, bytes: &[u8]| MalformedInput {
        name,
        after_handshake,
        bytes: bytes.to_vec(),
    };
    vec![
        bytes("nothing", false, b""),
        bytes("http", false, b"GET / HTTP/1.1\r\nhost: x\r\n\r\n"),
        bytes("zeros", false, &[0; 4_096]),
        bytes("other version", false, b"wgl\xff0123456789abcdef"),
        bytes("truncated greeting", false, b"wgl"),
        bytes(
            "oversized frame",
            true,
            &[0xff, 0xff, 0xff, 0xff, 0, 0, 0, 0],
        ),
        bytes("garbage frame", true, &[0, 0, 0, 4, 0xff, 0xff, 0xff, 0xff]),
        bytes(
            "garbage frame, other order",
            true,
            &[4, 0, 0, 0, 0xff, 0xff, 0xff, 0xff],
        ),
        bytes("truncated frame", true, &[0, 0, 0, 64, 1, 2]),
    ]
}

/// Guards against malformed bytes on the peer port that affect more than their
/// own connection.
#[tokio::test(flavor = "multi_thread")]
async fn malformed_bytes_on_the_peer_port_end_only_their_connection() {
    let cluster = Cluster::start(Options {
        hosts: 3,
        ..Options::default()
    })
    .await;
    let load = cluster.load(&[0, 1, 2], 6, Duration::from_millis(5));
    let key = Key::new("integration-cluster-key").unwrap();
    let peer = cluster.hosts[0].peer;

    for case in malformed_inputs() {
        let mut stream = TcpStream::connect(peer).await.unwrap();
        if case.after_handshake {
            Link::connect(&mut stream, &key).await.unwrap();
        }
        stream.write_all(&case.bytes).await.unwrap();
        // The node closes an incomplete handshake after 2 s. An incomplete
        // frame has no timeout, so the connection is closed from here.
        if case.name.starts_with("truncated frame") {
            stream.shutdown().await.unwrap();
        }
        let mut rest = Vec::new();
        let end = tokio::time::timeout(DRAIN_BOUND, stream.read_to_end(&mut rest)).await;
        assert!(end.is_ok(), "{} keeps its connection", case.name);
    }
    let udp = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    for length in [0, 1, 16, 17, 1_024, 60_000] {
        udp.send_to(&vec![0xa5; length], peer).await.unwrap();
    }
    let status = cluster.status(0).await.unwrap();
    load.stop().await;

    cluster.check().await;
    assert_eq!(
        (&status["lease"], &status["current"]),
        (&true.into(), &true.into())
    );
    let calls = cluster.calls.all();
    let failed: Vec<_> = calls.iter().filter(|call| !call.served()).collect();
    assert!(failed.is_empty(), "{} failed: {failed:#?}", failed.len());
}

/// The name of a case, the bytes that a caller sends, and the expected status.
type CallerInput = (&'static str, &'static str, &'static str);

/// Guards against callers that stall, send incomplete requests or send
/// malformed ones, and thereby prevent others from being served.
#[tokio::test(flavor = "multi_thread")]
async fn misbehaving_callers_do_not_affect_others() {
    let cluster = Cluster::start(Options {
        hosts: 3,
        ..Options::default()
    })
    .await;
    let caller = cluster.hosts[0].caller;
    let cases: [CallerInput; 4] = [
        ("garbage", "\u{1}\u{2}\u{3}\r\n\r\n", "400"),
        (
            "a bad header",
            "GET /bookings/k1 HTTP/1.1\r\nno colon\r\n\r\n",
            "400",
        ),
        (
            "a body without an end",
            "POST /bookings/k1 HTTP/1.1\r\nhost: x\r\nidempotency-key: half\r\n\
             content-length: 100\r\n\r\nhalf",
            "504",
        ),
        (
            "two lengths",
            "POST /bookings/k1 HTTP/1.1\r\nhost: x\r\nidempotency-key: two\r\n\
             content-length: 4\r\ncontent-length: 5\r\n\r\nbody!",
            "400",
        ),
    ];
    let mut incomplete = Vec::new();
    for _ in 0..200 {
        let mut stream = TcpStream::connect(caller).await.unwrap();
        stream
            .write_all(b"GET /bookings/k1 HTTP/1.1\r\nho")
            .await
            .unwrap();
        incomplete.push(stream);
    }
    let load = cluster.load(&[0, 1, 2], 6, Duration::from_millis(5));

    for (name, sent, status) in cases {
        let mut stream = TcpStream::connect(caller).await.unwrap();
        stream.write_all(sent.as_bytes()).await.unwrap();
        let mut answer = [0; 1_024];
        // The rule's deadline of 2 s bounds the wait for a body.
        let read = tokio::time::timeout(DRAIN_BOUND, stream.read(&mut answer)).await;
        let read = read
            .unwrap_or_else(|_| panic!("{name}: no answer"))
            .unwrap();
        let answer = String::from_utf8_lossy(&answer[..read]).into_owned();
        assert!(
            answer.starts_with(&format!("HTTP/1.1 {status}")),
            "{name}: {answer}"
        );
    }
    load.stop().await;

    cluster.check().await;
    let executions = cluster.executions();
    let incomplete_keys = ["half", "two"].map(|key| Some(key.to_owned()));
    let ran = executions
        .iter()
        .filter(|(_, run)| incomplete_keys.contains(&run.idempotency_key));
    assert_eq!(ran.count(), 0);
    let calls = cluster.calls.all();
    let failed: Vec<_> = calls.iter().filter(|call| !call.served()).collect();
    assert!(failed.is_empty(), "{} failed: {failed:#?}", failed.len());
    drop(incomplete);
}
