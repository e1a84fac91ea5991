//! Tests of the commands. They guard against a change that is applied twice, an
//! outcome that is hidden from the operator, and a wrong exit code.

mod stand;

use rstest::rstest;
use serde_json::json;
use stand::{Fault, RULE, Stand, ask, file, wisteriactl};
use wisteriaglade_ctl::Exit;

/// An address at which nothing listens. Port 1 is reserved and privileged.
const CLOSED: &str = "127.0.0.1:1";

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
    let ran = wisteriactl(line);

    assert_eq!((ran.exit, ran.exit.code()), (Exit::Usage, 2));
    ran.says(message);
}

#[test]
fn check_is_offline_and_lists_every_problem() {
    let valid = file(RULE);
    let invalid = file("r l GET /{key} twice\nr\n");

    let good = wisteriactl(&format!("rules check {valid} --json"));
    let bad = wisteriactl(&format!("rules check {invalid} --json"));

    assert_eq!((good.exit, &good.json()["rules"]), (Exit::Done, &json!(1)));
    assert_eq!(bad.exit.code(), 1);
    assert_eq!(bad.json()["problems"][0]["column"], 16);
    bad.says("line 2, column 2: expected the pool");
    assert_eq!(wisteriactl("rules check /none").exit, Exit::Refused);
}

#[test]
fn diff_compares_with_the_rules_in_force() {
    let stand = Stand::start(&[]);
    stand.state().text = RULE.into();
    let new = file(&RULE.replace("2s", "3s"));
    let line = format!("rules diff {new}");

    let ran = ask(&[&stand], &line);

    let lines: Vec<_> = ran.out.lines().collect();
    assert_eq!(
        lines[0],
        "compared with version 0: 0 added, 0 removed, 1 changed"
    );
    assert!(lines[2].starts_with("before     1  ribeira") && lines[2].contains("deadline=2s"));
    assert!(lines[3].starts_with("after      1  ribeira") && lines[3].contains("deadline=3s"));
    let json = ask(&[&stand], &format!("{line} --json")).json();
    assert_eq!(json["changed"][0]["after"]["deadline"], "3s");
}

#[test]
fn apply_uses_the_version_in_force_and_the_token() {
    let stand = Stand::start(&[]);
    stand.state().version = 4;
    let rules = file(RULE);
    let token = file("secret\n");

    let ran = ask(
        &[&stand],
        &format!("--token-file {token} rules apply {rules}"),
    );

    assert_eq!(
        (ran.exit, ran.out.as_str()),
        (Exit::Done, "accepted as version 5\n")
    );
    let state = stand.state();
    let id = state.history[0]["id"].as_str().unwrap();
    assert_eq!(ran.err, format!("change id {id}, based on version 4\n"));
    assert_eq!((id.len(), state.text.as_str()), (32, RULE));
    let tokens: Vec<_> = state.seen.iter().map(|seen| seen.2.as_deref()).collect();
    assert_eq!(tokens, [None, Some("Bearer secret")]);
}

#[rstest]
#[case::same_node(&[Fault::LoseAnswer, Fault::LoseAnswer], 3)]
#[case::server_error(&[Fault::Refuse(503)], 2)]
#[case::silent(&[Fault::Silent], 2)]
fn a_change_with_a_lost_answer_is_sent_again_and_applied_once(
    #[case] faults: &[Fault],
    #[case] requests: usize,
) {
    let stand = Stand::start(faults);
    let rules = file(RULE);

    let ran = ask(
        &[&stand],
        &format!("--timeout 1s --json rules apply {rules} --base 0 --id change-1"),
    );

    assert_eq!(
        ran.json(),
        json!({"id": "change-1", "base": 0, "version": 1}),
        "{}",
        ran.err
    );
    let state = stand.state();
    assert_eq!((state.seen.len(), state.history.len()), (requests, 1));
}

#[test]
fn a_conflict_shows_the_winner() {
    let stand = Stand::start(&[]);
    let rules = file(RULE);
    let line = format!("--json rules apply {rules} --base 0");
    ask(&[&stand], &format!("{line} --id first"));

    let ran = ask(&[&stand], &line);

    assert_eq!(ran.exit.code(), 1);
    assert_eq!(ran.json()["outcome"], "refused");
    assert_eq!(ran.json()["winner"]["id"], "first");
    ran.says("version 1 is in force; winner: id=first operator=nia version=1");
}

/// Guards against reporting the refusal by a second node as the outcome of a change
/// that the first node may have accepted.
#[rstest]
#[case::answer_stays_lost(&[Fault::LoseAnswer; 5], &[Fault::Silent; 5], "100ms")]
#[case::refused_later(&[Fault::LoseAnswer, Fault::Refuse(403)], &[Fault::Refuse(503)], "1s")]
#[case::refused_elsewhere(&[Fault::LoseAnswer], &[Fault::Refuse(403)], "5s")]
fn an_unknown_outcome_is_reported_as_unknown(
    #[case] first: &[Fault],
    #[case] second: &[Fault],
    #[case] timeout: &str,
) {
    let (first, second) = (Stand::start(first), Stand::start(second));
    let rules = file(RULE);

    let ran = ask(
        &[&first, &second],
        &format!("--timeout {timeout} --json rules apply {rules} --base 0 --id x"),
    );

    assert_eq!(
        (ran.exit.code(), &ran.json()["outcome"]),
        (1, &json!("unknown")),
        "{}",
        ran.err
    );
    ran.says("--id x --base 0");
    assert_eq!(first.state().history.len(), 1);
}

#[test]
fn a_change_that_reached_no_node_is_not_unknown() {
    let rules = file(RULE);

    let ran = wisteriactl(&format!(
        "--node {CLOSED} --json rules apply {rules} --base 0"
    ));

    assert_eq!(ran.json()["outcome"], "failed");
}

#[test]
fn the_next_node_is_asked_when_one_does_not_answer() {
    let (silent, stand) = (Stand::start(&[Fault::Silent]), Stand::start(&[]));

    let ran = wisteriactl(&format!(
        "--node {CLOSED} --node {} --node {} --timeout 1s members",
        silent.address, stand.address
    ));

    assert_eq!((ran.exit, ran.out.as_str()), (Exit::Done, "none\n"));
}

#[test]
fn an_unhealthy_node_is_not_hidden_by_a_healthy_one() {
    let (unhealthy, healthy) = (Stand::start(&[Fault::Refuse(503)]), Stand::start(&[]));

    let ran = ask(&[&unhealthy, &healthy], "health");

    assert_eq!(
        (ran.exit, ran.out.as_str()),
        (Exit::Refused, "message  not now\n")
    );
}

#[test]
fn objects_are_printed_as_aligned_tables() {
    let stand = Stand::start(&[]);

    let ran = ask(&[&stand], "status");

    let expected = "leader       7\nlease.valid  true\n\npools:\n\
                    POOL       SLOTS  TARGETS\n\
                    lookup     -           12\n\
                    \\u{1b}[2J  6,12         4\n";
    assert_eq!(ran.out, expected);
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
    let stand = Stand::start(&[]);

    let ran = ask(&[&stand], &format!("--json {command}"));

    assert_eq!(ran.exit, Exit::Done, "{}", ran.err);
    ran.json();
    assert_eq!(stand.state().seen, [(method.into(), path.into(), None)]);
}

#[test]
fn a_refusal_shows_the_reason_of_the_node() {
    let stand = Stand::start(&[]);

    let ran = ask(&[&stand], "node drain 8");

    assert_eq!(ran.exit, Exit::Refused);
    ran.says("404 Not Found: no such\\u{7} resource");
}
