//! Tests of the checker in `support::check`, which the system tests rely on.

mod support;

use std::time::{Duration, Instant};

use rstest::rstest;
use support::{
    calls::{Call, CallResult, Reply},
    check::{TargetExecution, violations},
    target::Execution,
};

fn make_execution(
    target: usize,
    epoch: u64,
    from: u64,
    to: u64,
    origin: Instant,
) -> TargetExecution {
    let execution = Execution {
        method: "POST".to_owned(),
        path: "/bookings/k".to_owned(),
        shard: "1".to_owned(),
        epoch,
        idempotency_key: Some(format!("id-{from}")),
        token: Some(format!("t{from}")),
        start: origin + Duration::from_millis(from),
        end: Some(origin + Duration::from_millis(to)),
        complete: true,
    };
    (target, execution)
}

fn make_call(number: u64, outcome: &str, token: &str, origin: Instant) -> Call {
    Call {
        token: format!("t{number}"),
        via: 0,
        method: "POST",
        path: "/bookings/k".to_owned(),
        idempotency_key: Some(format!("id-{number}")),
        start: origin,
        took: Duration::ZERO,
        result: CallResult::Answer(Reply {
            status: 200,
            outcome: outcome.to_owned(),
            token: token.to_owned(),
            ..Reply::default()
        }),
    }
}

/// The target, the epoch, and the start and end in milliseconds of an
/// execution.
type ExecutionCase = (usize, u64, u64, u64);

/// Guards against a checker that misses violations or reports allowed behaviour
/// as a violation.
#[rstest]
#[case::nothing_wrong(&[(0, 1, 0, 5), (1, 2, 5, 9)], &[(0, "done", "t0")], "")]
#[case::overlap(&[(0, 1, 0, 5), (1, 2, 4, 9)], &[], "two targets at once")]
#[case::older_epoch(&[(0, 2, 0, 5), (1, 1, 6, 9)], &[], "older epoch")]
#[case::twice(&[(0, 1, 0, 5), (0, 1, 0, 5)], &[], "ran 2 times")]
#[case::lost(&[], &[(0, "done", "t0")], "did not run")]
#[case::denied(&[(0, 1, 0, 5)], &[(0, "not-run", "")], "not-run and ran")]
#[case::other_answer(&[(0, 1, 0, 5)], &[(0, "done", "t9")], "another request")]
#[case::no_outcome(&[], &[(0, "", "")], "without an outcome")]
fn each_violation_is_found(
    #[case] runs: &[ExecutionCase],
    #[case] calls: &[(u64, &str, &str)],
    #[case] expected: &str,
) {
    let origin = Instant::now();
    let executions: Vec<TargetExecution> = runs
        .iter()
        .map(|&(target, epoch, from, to)| make_execution(target, epoch, from, to, origin))
        .collect();
    let calls: Vec<Call> = calls
        .iter()
        .map(|(number, outcome, token)| make_call(*number, outcome, token, origin))
        .collect();

    let found = violations(&executions, &calls, true);

    if expected.is_empty() {
        assert!(found.is_empty(), "{found:?}");
    } else {
        assert_eq!(found.len(), 1, "{found:?}");
        assert!(found[0].contains(expected), "{found:?}");
    }
}
