//! System tests of the daemon with targets that say in their responses how many
//! requests they take, and that they are leaving.

mod support;

use std::time::{Duration, Instant};

use rstest::rstest;
use support::{
    calls::RequestSpec,
    cluster::{Cluster, Options},
    load::most_in,
    target::Behaviour,
};
use tokio::{task::JoinSet, time::interval};

/// The window in which the requests to a target are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// The time after which a limit binds the hosts that know it.
const LIMIT_BOUND: Duration = Duration::from_millis(500);

/// The time after the start of a drain in which a target still gets work.
const DRAIN: Duration = Duration::from_secs(3);

/// The host whose target is observed.
const OBSERVED: usize = 0;

/// Hosts through which callers send and whose processes are not replaced.
const OTHERS: [usize; 2] = [1, 2];

async fn cluster(service_time: Duration) -> Cluster {
    let cluster = Cluster::start(Options {
        hosts: 3,
        service_time,
        ..Options::default()
    });
    cluster.await
}

/// Sends reads of random keys through [`OTHERS`] at a fixed rate for a time.
async fn send(cluster: &Cluster, per_second: u32, time: Duration) {
    let mut ticks = interval(Duration::from_secs(1) / per_second);
    let mut open = JoinSet::new();
    let end = Instant::now() + time;
    while Instant::now() < end {
        ticks.tick().await;
        let number = open.len();
        let via = OTHERS[number % OTHERS.len()];
        let (calls, address) = (cluster.calls.clone(), cluster.hosts[via].caller);
        let spec = RequestSpec::read(&format!("k{}", rand::random::<u16>() % 500));
        open.spawn(async move { calls.send(via, address, spec).await });
    }
    open.join_all().await;
}

/// Returns when requests reached a target, from a moment on.
fn starts(cluster: &Cluster, host: usize, from: Instant) -> Vec<Instant> {
    let runs = cluster.hosts[host].target.executions();
    let starts = runs.iter().map(|run| run.start);
    starts.filter(|start| *start >= from).collect()
}

/// The most requests that a target with this limit may get in [`WINDOW`].
fn allowed(per_second: f64) -> f64 {
    WINDOW.as_secs_f64() * per_second * 1.5 + 5.0
}

/// Guards against a target that gets more requests than the limit that it names, and
/// against refusals that are not true.
#[rstest]
#[case::usual("10", 10.0)]
#[case::zero("0", 0.0)]
#[case::malformed_after_ten("many", 10.0)]
#[tokio::test(flavor = "multi_thread")]
async fn a_target_of_the_daemon_gets_no_more_than_its_limit(
    #[case] limit: &'static str,
    #[case] rate: f64,
) {
    let cluster = cluster(Duration::from_millis(20)).await;
    let behaviour = Behaviour {
        limit: Some("10"),
        ..Behaviour::default()
    };
    let target = &cluster.hosts[OBSERVED].target;
    target.set_behaviour(behaviour);
    send(&cluster, 200, LIMIT_BOUND).await;
    target.set_behaviour(Behaviour {
        limit: Some(limit),
        ..behaviour
    });

    let from = Instant::now() + LIMIT_BOUND;
    send(&cluster, 200, Duration::from_secs(6)).await;

    let most = most_in(starts(&cluster, OBSERVED, from), WINDOW);
    assert!(f64::from(most) <= allowed(rate), "{most} in {WINDOW:?}");
    assert!(!starts(&cluster, OTHERS[0], from).is_empty());
    cluster.check().await;
}

/// Guards against a limit that is forgotten when the process beside the target is
/// replaced, while those where the requests begin know it.
#[tokio::test(flavor = "multi_thread")]
async fn a_replaced_process_of_the_daemon_keeps_to_the_limit() {
    let mut cluster = cluster(Duration::from_secs(1)).await;
    for host in &cluster.hosts {
        host.target.set_behaviour(Behaviour {
            limit: Some("0.2"),
            ..Behaviour::default()
        });
    }
    send(&cluster, 60, Duration::from_secs(3)).await;

    cluster.kill(OBSERVED);
    cluster.launch(OBSERVED);
    cluster.ready().await;
    let from = Instant::now();
    send(&cluster, 60, WINDOW).await;

    let most = most_in(starts(&cluster, OBSERVED, from), WINDOW);
    assert!(f64::from(most) <= allowed(0.2), "{most} in {WINDOW:?}");
    cluster.check().await;
}

/// Guards against requests to a target that has said in a response that it is
/// leaving and announces itself as before.
#[tokio::test(flavor = "multi_thread")]
async fn a_target_of_the_daemon_that_is_leaving_gets_no_more_requests() {
    let cluster = cluster(Duration::from_millis(20)).await;
    cluster.hosts[OBSERVED].target.set_behaviour(Behaviour {
        leaving: true,
        ..Behaviour::default()
    });

    send(&cluster, 100, LIMIT_BOUND).await;
    let from = Instant::now() + DRAIN;
    send(&cluster, 100, DRAIN + Duration::from_secs(2)).await;

    assert_eq!(starts(&cluster, OBSERVED, from).len(), 0);
    assert!(!starts(&cluster, OTHERS[0], from).is_empty());
    cluster.check().await;
}
