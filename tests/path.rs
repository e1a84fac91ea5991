//! The path of a request from any node over the owner's node to the target, and
//! the admin listener.

#[path = "../examples/support/mod.rs"]
mod support;

use std::time::Duration;

use support::{
    cluster::{Cluster, Host},
    target::Config,
};

const RULES: &str = "\
llewellyn catalogue GET /designs/{key} repeat deadline=2s length=short weight=1 # Megan
llewellyn bookings POST /bookings/{key} once deadline=5s length=learned weight=1 # Megan
";

fn host(name: &str, data_centre: &str, pool: &str) -> Host {
    Host {
        name: name.to_owned(),
        data_centre: data_centre.to_owned(),
        target: Some(Config {
            pool: pool.to_owned(),
            slots: 12,
            connections: 110,
            fencing: true,
            service: Duration::from_millis(2),
        }),
    }
}

/// The ids of the nodes of the hosts.
async fn nodes(cluster: &Cluster) -> Vec<serde_json::Value> {
    let mut nodes = Vec::new();
    for host in &cluster.hosts {
        let status = cluster
            .client
            .send(host.admin, "GET", "/v1/status", &[], "");
        nodes.push(status.await.unwrap().json()["node"].take());
    }
    nodes
}

/// Starts a cluster and applies the rules.
///
/// Fails when a node was fenced meanwhile, as all of them run. When the disks of
/// most replicas stall for longer than 3 s, every lease ends until the replicas
/// return, so the nodes are awaited once more.
async fn cluster(data: &std::path::Path) -> Cluster {
    let hosts = [
        host("caerdydd-1", "caerdydd", "catalogue"),
        host("abertawe-1", "abertawe", "bookings"),
        host("bangor-1", "bangor", "bookings"),
    ];
    let cluster = Cluster::start(&hosts, 3, 3, "", data).await.unwrap();
    cluster
        .wait_until_ready(Duration::from_secs(20))
        .await
        .unwrap();
    let started = nodes(&cluster).await;
    let version = cluster.apply("c0ffee", RULES).await.unwrap();
    cluster
        .wait_until_in_force(version, Duration::from_secs(5))
        .await
        .unwrap();
    cluster
        .wait_until_ready(Duration::from_secs(20))
        .await
        .unwrap();
    assert_eq!(nodes(&cluster).await, started, "a node was fenced");
    cluster
}

/// Guards against a key that only some nodes can serve, and against a request
/// that runs again when it is resent to another node.
#[tokio::test(flavor = "multi_thread")]
async fn any_node_serves_any_key_and_a_resend_gets_the_first_answer() {
    let data = tempfile::tempdir().unwrap();
    let cluster = cluster(data.path()).await;
    let key = [("idempotency-key", "b-1")];

    let mut bodies = Vec::new();
    for host in &cluster.hosts {
        let read = cluster
            .client
            .send(host.caller, "GET", "/designs/d-1", &[], "");
        let read = read.await.unwrap();
        assert_eq!(
            (read.status.as_u16(), read.outcome()),
            (200, "done"),
            "{read:?}"
        );
        let booking = cluster
            .client
            .send(host.caller, "POST", "/bookings/m-1", &key, "x");
        let booking = booking.await.unwrap();
        assert_eq!(
            (booking.status.as_u16(), booking.outcome()),
            (200, "done"),
            "{booking:?}"
        );
        bodies.push(booking.text());
    }

    assert!(bodies.iter().all(|body| *body == bodies[0]), "{bodies:?}");
    let ran: usize = cluster
        .hosts
        .iter()
        .filter_map(|host| host.target.as_ref())
        .flat_map(|target| target.executions())
        .filter(|execution| execution.idempotency_key.is_some())
        .count();
    assert_eq!(ran, 1);
}

/// The method, path and headers of a request, and the expected status and
/// reason.
type Case<'a> = (&'a str, &'a str, &'a [(&'a str, &'a str)], u16, &'a str);

/// Guards against refusals without the outcome and the reason.
#[tokio::test(flavor = "multi_thread")]
async fn a_refusal_names_its_outcome_and_reason() {
    let data = tempfile::tempdir().unwrap();
    let cluster = cluster(data.path()).await;
    let caller = cluster.hosts[0].caller;
    let cases: [Case; 4] = [
        ("GET", "/nothing", &[], 404, "no-rule"),
        ("DELETE", "/designs/d-1", &[], 404, "no-rule"),
        (
            "POST",
            "/bookings/m-1",
            &[],
            400,
            "idempotency-key-required",
        ),
        (
            "GET",
            "/designs/d-1",
            &[("wg-deadline-ms", "soon")],
            400,
            "bad-request",
        ),
    ];

    for (method, path, headers, status, reason) in cases {
        let answer = cluster.client.send(caller, method, path, headers, "");
        let answer = answer.await.unwrap();
        assert_eq!(answer.status.as_u16(), status, "{method} {path}");
        assert_eq!(answer.outcome(), "not-run", "{method} {path}");
        assert_eq!(answer.json()["reason"], reason, "{method} {path}");
    }
}

/// Guards against a body that is truncated or buffered whole on its way. Short
/// bodies, which a node keeps, and long ones, which it streams, are sent
/// through every node with and without a length.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_of_any_length_arrive_whole() {
    let data = tempfile::tempdir().unwrap();
    let cluster = cluster(data.path()).await;
    let mut number = 0;

    for length in [0, 1, 64 * 1024, 64 * 1024 + 1, 3_000_000] {
        for host in &cluster.hosts {
            for chunked in [false, true] {
                number += 1;
                let key = format!("body-{number}");
                let answer =
                    support::client::upload(host.caller, "/bookings/m-1", &key, length, chunked);
                let answer = answer.await.unwrap();
                assert!(answer.contains("200 OK"), "{length} {chunked}: {answer}");
                let ran = format!("ran, {length} bytes");
                assert!(answer.contains(&ran), "{length} {chunked}: {answer}");
            }
        }
    }
}

/// Guards against a metric that operators rely on and `/metrics` doesn't show.
#[tokio::test(flavor = "multi_thread")]
async fn the_metrics_show_each_quantity_and_member() {
    let data = tempfile::tempdir().unwrap();
    let cluster = cluster(data.path()).await;
    let owner = &cluster.hosts[0];
    let read = cluster
        .client
        .send(owner.caller, "GET", "/designs/d-1", &[], "");
    read.await.unwrap();

    let metrics = cluster.client.send(owner.admin, "GET", "/metrics", &[], "");
    let text = metrics.await.unwrap().text();

    for line in [
        "wisteriaglade_requests_total{member=\"llewellyn\",outcome=\"done\"} 1",
        "wisteriaglade_member_arrivals_total{member=\"llewellyn\"} 1",
        "wisteriaglade_member_served_total{member=\"llewellyn\"} 1",
        "wisteriaglade_member_busy_seconds_total{member=\"llewellyn\"}",
        "wisteriaglade_member_wait_seconds_total{member=\"llewellyn\"}",
        "wisteriaglade_shards_granted_total 256",
        "wisteriaglade_shards_given_up_total 0",
        "wisteriaglade_owner_wait_seconds_count",
        "wisteriaglade_queued{class=\"long\"} 0",
        "wisteriaglade_running{class=\"short\"} 0",
        "wisteriaglade_shards 256",
        "wisteriaglade_lease 1",
    ] {
        assert!(text.contains(line), "{line} is not in\n{text}");
    }
}

/// The method, path, headers and body of a request, and the expected status.
type Input<'a> = (&'a str, &'a str, &'a [(&'a str, &'a str)], &'a str, u16);

/// Guards against changes without a valid token, and against invalid input that
/// the admin listener accepts or that makes it unavailable.
#[tokio::test(flavor = "multi_thread")]
async fn invalid_input_to_the_admin_listener_is_refused() {
    let data = tempfile::tempdir().unwrap();
    let cluster = cluster(data.path()).await;
    let admin = cluster.hosts[0].admin;
    let json = ("content-type", "application/json");
    let wrong = ("authorization", "Bearer someone-else");
    let target = |slots: u64| {
        format!(
            "{{\"pool\":\"p\",\"address\":\"127.0.0.1:9\",\"slots\":{slots},\"connections\":1}}"
        )
    };
    let change = "{\"id\":\"1\",\"base\":1,\"text\":\"\"}";
    let long = "x".repeat((1 << 20) + 1);
    let cases: [Input; 10] = [
        ("PUT", "/v1/rules", &[json], change, 401),
        ("PUT", "/v1/rules", &[json, wrong], change, 401),
        ("POST", "/v1/nodes/1/drain", &[], "", 401),
        ("POST", "/v1/nodes/1/lost", &[wrong], "", 401),
        ("PUT", "/v1/target", &[json], "{", 400),
        ("PUT", "/v1/target", &[json], "{\"pool\":\"p\"}", 400),
        ("PUT", "/v1/target", &[json], &target(0), 400),
        ("POST", "/v1/rules/check", &[json], &long, 400),
        ("GET", "/v1/explain", &[], "", 400),
        ("DELETE", "/v1/rules", &[], "", 405),
    ];

    for (method, path, headers, body, status) in cases {
        let answer = cluster
            .client
            .send(admin, method, path, headers, body.to_owned());
        let answer = answer.await.unwrap();
        let start = body.get(..40).unwrap_or(body);
        assert_eq!(answer.status.as_u16(), status, "{method} {path} {start}");
    }
    let health = cluster.client.send(admin, "GET", "/v1/health", &[], "");
    assert_eq!(health.await.unwrap().status, 200);
}

/// Guards against a caller that sets the headers on which targets rely for
/// fencing.
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_cannot_set_the_fencing_token() {
    const FORGED: u64 = 999_999_999;
    let data = tempfile::tempdir().unwrap();
    let cluster = cluster(data.path()).await;
    let forged = FORGED.to_string();
    let headers = [
        ("wg-epoch", forged.as_str()),
        ("wg-shard", "7"),
        ("wg-member", "ribeira"),
    ];

    for host in &cluster.hosts {
        let read = cluster
            .client
            .send(host.caller, "GET", "/designs/d-1", &headers, "");
        let answer = read.await.unwrap();
        assert_eq!(answer.status, 200);
        assert_ne!(answer.header("wg-epoch"), forged);
    }

    let ran = cluster.hosts[0].target.as_ref().unwrap().executions();
    assert_eq!(ran.len(), 3);
    assert!(ran.iter().all(|run| run.epoch < FORGED), "{ran:?}");
}
