//! Tests of the commands. They guard against a change that is applied twice, an
//! outcome that is hidden from the operator, and a wrong exit code.

mod support;

use rstest::rstest;
use serde_json::json;
use support::{Fault, MockNode, RULE, temp_file, wisteriactl, wisteriactl_with_nodes};
use wisteriaglade_ctl::Exit;

/// An address at which nothing listens. Port 1 is reserved and privileged.
const CLOSED_ADDRESS: &str = "127.0.0.1:1";

#[rstest]
#[case::none("", "no command")]
#[case::unknown("rules burn f", "unknown command")]
#[case::missing("rules check", "wrong number")]
#[case::extra("status now", "wrong number")]
#[case::flag("--fast status", "fast")]
#[case::no_node("status", "needs --node")]
#[case::no_port("--node localhost status", "HOST:PORT")]
#[case::timeout("--timeout 5 --node a:1 status", "--timeout")]
#[case::zero_timeout("--timeout 0s --node a:1 status", "--timeout")]
#[case::endless("--timeout 500000000000y --node a:1 status", "--timeout")]
#[case::node_name("--node a:1 node lost rack-3", "NODE expects a number")]
#[case::base("--node a:1 rules apply f --base x", "--base expects a number")]
#[case::id("--node a:1 rules apply f --id a/b", "--id expects")]
#[case::misplaced("--node a:1 rules diff f --base 3", "belongs to")]
fn wrong_arguments_exit_with_2(#[case] line: &str, #[case] message: &str) {
    let output = wisteriactl(line);

    assert_eq!((output.exit, output.exit.code()), (Exit::Usage, 2));
    output.assert_stderr_contains(message);
}

/// Guards against a check that needs a node or stops at the first problem.
#[test]
fn check_is_offline_and_lists_every_problem() {
    let valid = temp_file(RULE);
    let invalid = temp_file("r l GET /{key} twice\nr\n");

    let good = wisteriactl(&format!("rules check {valid} --json"));
    let bad = wisteriactl(&format!("rules check {invalid} --json"));

    assert_eq!((good.exit, &good.json()["rules"]), (Exit::Done, &json!(1)));
    assert_eq!(bad.exit.code(), 1);
    assert_eq!(bad.json()["problems"][0]["column"], 16);
    bad.assert_stderr_contains("line 2, column 2: expected the pool");
    assert_eq!(wisteriactl("rules check /none").exit, Exit::Refused);
}

#[test]
fn diff_compares_with_the_rules_in_force() {
    let node = MockNode::start(&[]);
    node.state().text = RULE.into();
    let new = temp_file(&RULE.replace("2s", "3s"));
    let line = format!("rules diff {new}");

    let output = wisteriactl_with_nodes(&[&node], &line);

    let lines: Vec<_> = output.out.lines().collect();
    assert_eq!(
        lines[0],
        "compared with version 0: 0 added, 0 removed, 1 changed"
    );
    assert!(lines[2].starts_with("before     1  ribeira") && lines[2].contains("deadline=2s"));
    assert!(lines[3].starts_with("after      1  ribeira") && lines[3].contains("deadline=3s"));
    let json = wisteriactl_with_nodes(&[&node], &format!("{line} --json")).json();
    assert_eq!(json["changed"][0]["after"]["deadline"], "3s");
}

/// Guards against a change with a stale base, and against a token that is sent with
/// requests that only read.
#[test]
fn apply_uses_the_version_in_force_and_the_token() {
    let node = MockNode::start(&[]);
    node.state().version = 4;
    let rules = temp_file(RULE);
    let token = temp_file("secret\n");

    let output = wisteriactl_with_nodes(
        &[&node],
        &format!("--token-file {token} rules apply {rules}"),
    );

    assert_eq!(
        (output.exit, output.out.as_str()),
        (Exit::Done, "accepted as version 5\n")
    );
    let state = node.state();
    let id = state.history[0]["id"].as_str().unwrap();
    assert_eq!(output.err, format!("change id {id}, based on version 4\n"));
    assert_eq!((id.len(), state.text.as_str()), (32, RULE));
    let tokens: Vec<_> = state
        .requests
        .iter()
        .map(|request| request.2.as_deref())
        .collect();
    assert_eq!(tokens, [None, Some("Bearer secret")]);
}

#[rstest]
#[case::same_node(&[Fault::DropResponse, Fault::DropResponse], 3)]
#[case::server_error(&[Fault::Refuse(503)], 2)]
#[case::silent(&[Fault::NoResponse], 2)]
fn a_change_with_a_lost_response_is_sent_again_and_applied_once(
    #[case] faults: &[Fault],
    #[case] requests: usize,
) {
    let node = MockNode::start(faults);
    let rules = temp_file(RULE);

    let output = wisteriactl_with_nodes(
        &[&node],
        &format!("--timeout 1s --json rules apply {rules} --base 0 --id change-1"),
    );

    assert_eq!(
        output.json(),
        json!({"id": "change-1", "base": 0, "version": 1}),
        "{}",
        output.err
    );
    let state = node.state();
    assert_eq!((state.requests.len(), state.history.len()), (requests, 1));
}

#[test]
fn a_conflict_shows_the_winner() {
    let node = MockNode::start(&[]);
    let rules = temp_file(RULE);
    let line = format!("--json rules apply {rules} --base 0");
    wisteriactl_with_nodes(&[&node], &format!("{line} --id first"));

    let output = wisteriactl_with_nodes(&[&node], &line);

    assert_eq!(output.exit.code(), 1);
    assert_eq!(output.json()["outcome"], "refused");
    assert_eq!(output.json()["winner"]["id"], "first");
    output.assert_stderr_contains("version 1 is in force; winner: id=first operator=nia version=1");
}

/// Guards against reporting the refusal by a second node as the outcome of a change
/// that the first node may have accepted.
#[rstest]
#[case::response_stays_lost(&[Fault::DropResponse; 5], &[Fault::NoResponse; 5], "100ms")]
#[case::refused_later(&[Fault::DropResponse, Fault::Refuse(403)], &[Fault::Refuse(503)], "1s")]
#[case::refused_elsewhere(&[Fault::DropResponse], &[Fault::Refuse(403)], "5s")]
fn an_unknown_outcome_is_reported_as_unknown(
    #[case] first: &[Fault],
    #[case] second: &[Fault],
    #[case] timeout: &str,
) {
    let (first, second) = (MockNode::start(first), MockNode::start(second));
    let rules = temp_file(RULE);

    let output = wisteriactl_with_nodes(
        &[&first, &second],
        &format!("--timeout {timeout} --json rules apply {rules} --base 0 --id x"),
    );

    assert_eq!(
        (output.exit.code(), &output.json()["outcome"]),
        (1, &json!("unknown")),
        "{}",
        output.err
    );
    output.assert_stderr_contains("--id x --base 0");
    assert_eq!(first.state().history.len(), 1);
}

/// Guards against an unknown outcome of a change that no node received.
#[test]
fn a_change_that_reached_no_node_is_not_unknown() {
    let rules = temp_file(RULE);

    let output = wisteriactl(&format!(
        "--node {CLOSED_ADDRESS} --json rules apply {rules} --base 0"
    ));

    assert_eq!(output.json()["outcome"], "failed");
}

#[test]
fn the_next_node_is_tried_when_one_does_not_respond() {
    let (silent, node) = (MockNode::start(&[Fault::NoResponse]), MockNode::start(&[]));

    let output = wisteriactl(&format!(
        "--node {CLOSED_ADDRESS} --node {} --node {} --timeout 1s members",
        silent.address, node.address
    ));

    assert_eq!((output.exit, output.out.as_str()), (Exit::Done, "none\n"));
}

/// Guards against failover to another node, whose response would describe that other
/// node.
#[test]
fn an_unhealthy_node_is_not_hidden_by_a_healthy_one() {
    let (unhealthy, healthy) = (MockNode::start(&[Fault::Refuse(503)]), MockNode::start(&[]));

    let output = wisteriactl_with_nodes(&[&unhealthy, &healthy], "health");

    assert_eq!(
        (output.exit, output.out.as_str()),
        (Exit::Refused, "message  not now\n")
    );
}

#[test]
fn objects_are_printed_as_aligned_tables() {
    let node = MockNode::start(&[]);

    let output = wisteriactl_with_nodes(&[&node], "status");

    let expected = "leader       7\nlease.valid  true\n\npools:\n\
                    POOL       SLOTS  TARGETS\n\
                    lookup     -           12\n\
                    \\u{1b}[2J  6,12         4\n";
    assert_eq!(output.out, expected);
}

#[rstest]
#[case("rules history", "GET", "/v1/rules/history")]
#[case("rules show", "GET", "/v1/rules")]
#[case("status", "GET", "/v1/status")]
#[case("members", "GET", "/v1/members")]
#[case("health", "GET", "/v1/health")]
#[case(
    "explain GET /t/a?b&c",
    "GET",
    "/v1/explain?method=GET&path=%2Ft%2Fa%3Fb%26c"
)]
#[case("node drain 9", "POST", "/v1/nodes/9/drain")]
#[case("node lost 9", "POST", "/v1/nodes/9/lost")]
fn each_command_sends_its_request_and_prints_json(
    #[case] command: &str,
    #[case] method: &str,
    #[case] path: &str,
) {
    let node = MockNode::start(&[]);

    let output = wisteriactl_with_nodes(&[&node], &format!("--json {command}"));

    assert_eq!(output.exit, Exit::Done, "{}", output.err);
    output.json();
    assert_eq!(node.state().requests, [(method.into(), path.into(), None)]);
}

/// Guards against control characters in the message, which a terminal would
/// interpret.
#[test]
fn a_refusal_shows_the_message_of_the_node() {
    let node = MockNode::start(&[]);

    let output = wisteriactl_with_nodes(&[&node], "node drain 8");

    assert_eq!(output.exit, Exit::Refused);
    output.assert_stderr_contains("404 Not Found: no such\\u{7} resource");
}
