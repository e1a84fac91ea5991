//! System tests of heartbeats and leave messages that come from another writer than
//! the server of a host, with real processes.

mod support;

use std::time::Duration;

use http::StatusCode;
use rstest::rstest;
use serde_json::{Value, json};
use support::platform::{Fleet, Servers};
use tokio::time::sleep;

/// The bound for a new fleet to assign the keys and serve.
const START_BOUND: Duration = Duration::from_secs(15);

/// The time in which keys that were taken from a server would have another holder.
const SETTLE_TIME: Duration = Duration::from_secs(5);

/// A start time later than that of every server, in Unix milliseconds.
const LATER_START: u64 = 4_000_000_000_000;

/// The host whose server is impersonated; it serves the keyed service.
const HOST: usize = 1;

/// Returns a complete heartbeat for the server on [`HOST`] that starts at
/// [`LATER_START`], with some fields replaced, or removed by null.
fn heartbeat(fleet: &Fleet, changes: &Value) -> String {
    let mut body = json!({
        "service": "keyed", "address": fleet.hosts[HOST].server().to_string(), "zone": "a",
        "version": "v1", "slots": 6, "state": "ready", "cold-remaining-s": 0, "seq": 1,
        "born": LATER_START, "holds": [], "released": [],
    });
    for (field, value) in changes.as_object().expect("fields") {
        match value {
            Value::Null => body.as_object_mut().expect("fields").remove(field),
            _ => body
                .as_object_mut()
                .expect("fields")
                .insert(field.clone(), value.clone()),
        };
    }
    body.to_string()
}

/// Starts a fleet with three keyed servers, each of which holds keys.
async fn start(servers: Servers) -> Fleet {
    let fleet = Fleet::start_with(31, 1, 3, 1, servers).await;
    for key in (0..=u16::MAX).step_by(4_096) {
        fleet.wait_until_served(HOST, key, START_BOUND).await;
    }
    assert!(!fleet.arrivals(HOST).is_empty(), "the server holds no keys");
    fleet
}

/// Sends a message to the process on [`HOST`].
async fn send(fleet: &Fleet, call: &str, id: &str, body: String) -> StatusCode {
    let path = format!("/rpc?call=instances.{call}&of={id}");
    let address = fleet.hosts[HOST].control();
    let answer = fleet.client.send(address, "POST", &path, &[], body).await;
    answer.expect("an answer").status
}

/// Checks that the server on [`HOST`] still holds keys and serves them, and that no
/// key has had two holders.
async fn assert_server_keeps_its_keys(fleet: &Fleet) {
    sleep(SETTLE_TIME).await;
    let before = fleet.arrivals(HOST).len();
    for key in (0..=u16::MAX).step_by(1_024) {
        let id = format!("read-{key}");
        let (status, text) = fleet.request(HOST, "read", &id, key).await;
        assert_eq!(status, StatusCode::OK, "{text}");
    }
    assert!(fleet.arrivals(HOST).len() > before, "it serves no keys");
    fleet.check();
}

/// Guards against keys that are taken from a running server and granted to others
/// while it holds them: a heartbeat at its host names a service that does not exist,
/// or that is not the one of the host.
#[rstest]
#[case::unknown("unheard")]
#[case::of_another_host("plain")]
#[tokio::test(flavor = "multi_thread")]
async fn a_heartbeat_for_another_service_takes_no_keys(
    #[case] service: &str,
    #[values(Servers::Heartbeat, Servers::Call)] servers: Servers,
    #[values(false, true)] has_own_id: bool,
) {
    let fleet = start(servers).await;
    let own_id = fleet.server_id(HOST);
    let id = if has_own_id { &own_id } else { "i-elsewhere" };
    let body = heartbeat(&fleet, &json!({ "service": service }));

    let status = send(&fleet, "heartbeat", id, body).await;

    assert_server_keeps_its_keys(&fleet).await;
    assert_eq!(status, StatusCode::BAD_REQUEST);
}

/// Guards against keys that are taken from a running server by a heartbeat of another
/// writer that lacks a field or has one of another type or out of range.
#[rstest]
#[case::no_zone(json!({ "zone": null }))]
#[case::version_as_list(json!({ "version": ["v1"] }))]
#[case::no_cold_start(json!({ "cold-remaining-s": null }))]
#[case::unknown_state(json!({ "state": "resting" }))]
#[case::no_start(json!({ "born": null }))]
#[case::port_out_of_range(json!({ "address": "127.0.0.1:99999" }))]
#[tokio::test(flavor = "multi_thread")]
async fn an_incomplete_heartbeat_takes_no_keys(#[case] changes: Value) {
    let fleet = start(Servers::Heartbeat).await;
    let body = heartbeat(&fleet, &changes);

    let status = send(&fleet, "heartbeat", "i-elsewhere", body).await;

    assert_server_keeps_its_keys(&fleet).await;
    assert_eq!(status, StatusCode::BAD_REQUEST);
}

/// Guards against keys that are taken from a running server by a heartbeat that is
/// complete but names another process at its address.
#[rstest]
#[case::another_id("i-elsewhere", LATER_START)]
#[case::a_huge_start("i-elsewhere", u64::MAX)]
#[case::an_early_start("i-elsewhere", 1)]
#[tokio::test(flavor = "multi_thread")]
async fn a_server_that_is_heard_keeps_its_keys(
    #[case] id: &str,
    #[case] born: u64,
    #[values(Servers::Heartbeat, Servers::Call)] servers: Servers,
) {
    let fleet = start(servers).await;
    let body = heartbeat(&fleet, &json!({ "born": born }));

    let status = send(&fleet, "heartbeat", id, body).await;

    assert_server_keeps_its_keys(&fleet).await;
    assert_eq!(status, StatusCode::CONFLICT);
}

/// Guards against a server that is out of use, or loses keys that it holds, after a
/// leave message of another process.
#[rstest]
#[case::another_id(false, json!({}))]
#[case::another_start(true, json!({ "born": 1 }))]
#[case::a_start_of_another_type(true, json!({ "born": "soon" }))]
#[tokio::test(flavor = "multi_thread")]
async fn a_leave_message_of_another_process_takes_no_keys(
    #[case] has_own_id: bool,
    #[case] body: Value,
) {
    let fleet = start(Servers::Heartbeat).await;
    let own_id = fleet.server_id(HOST);
    let id = if has_own_id { &own_id } else { "i-elsewhere" };

    send(&fleet, "leave", id, body.to_string()).await;

    assert_server_keeps_its_keys(&fleet).await;
}

/// The time after which the server on [`HOST`] counts as silent and another process may
/// take its place: several heartbeat intervals.
const SILENCE: Duration = Duration::from_secs(2);

/// Guards against processes that end, or stop following the others, because of one odd
/// entry for a server: deeply nested, with a number too large, a port out of range, or
/// ranges that cannot be. It comes for a host whose own server has ended, so that it
/// is not refused for being another one.
#[rstest]
#[case::nested_service(json!({ "service": nested(100) }))]
#[case::nested_field(json!({ "more": nested(120) }))]
#[case::most_slots(json!({ "slots": u32::MAX }))]
#[case::no_slots(json!({ "slots": 0 }))]
#[case::start_and_sequence(json!({ "born": u64::MAX, "seq": u64::MAX }))]
#[case::long_cold_start(json!({ "cold-remaining-s": 1.8e19 }))]
#[case::port_out_of_range(json!({ "address": "127.0.0.1:70000" }))]
#[case::impossible_ranges(json!({
    "holds": [[65535, 0, u64::MAX], [0, 65535, u64::MAX]],
    "released": [[65535, 0, "x"], [0, 65535, "y"]]
}))]
#[tokio::test(flavor = "multi_thread")]
async fn an_odd_entry_stops_no_process(
    #[case] changes: Value,
    #[values(Servers::Heartbeat, Servers::Call)] servers: Servers,
) {
    let mut fleet = start(servers).await;
    fleet.stop_server(HOST);
    sleep(SILENCE).await;

    for _ in 0..3 {
        let body = heartbeat(&fleet, &changes);
        send(&fleet, "heartbeat", "i-elsewhere", body).await;
    }
    sleep(SETTLE_TIME).await;

    // Nothing answers under that name, so the keys go back to the other servers.
    for key in (0..=u16::MAX).step_by(4_096) {
        fleet.wait_until_served(HOST, key, START_BOUND).await;
    }
    let version = fleet.configure().await;
    assert_eq!(fleet.version(START_BOUND).await, version);
    for host in &mut fleet.hosts {
        assert_eq!(host.process.as_mut().unwrap().exit_status(), None);
        assert!(!host.log().contains("panicked"), "{}", host.log());
    }
    fleet.check();
}

/// Returns lists in lists.
fn nested(depth: usize) -> Value {
    (0..depth).fold(json!([]), |inner, _| json!([inner]))
}
