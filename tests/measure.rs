//! Tests of the invariant checks of the measurement driver.

#[path = "../examples/measure/history.rs"]
#[allow(dead_code, reason = "the measurement driver uses the rest")]
mod history;

use std::time::Duration;

use history::{Execution, Violations};
use rstest::rstest;

const fn run(host: usize, key: usize, operation: u64, [begin, end]: [u64; 2]) -> Execution {
    Execution {
        host,
        pool: 0,
        key,
        shard: 0,
        epoch: 1,
        operation,
        attempt: operation,
        once: true,
        begin: Duration::from_millis(begin),
        end: Some(Duration::from_millis(end)),
        completed: true,
    }
}

const fn unfinished(mut run: Execution) -> Execution {
    run.end = None;
    run
}

/// Guards against a checker that misses two owners of a key, or reports
/// executions of different keys, at different times or on one target.
#[rstest]
#[case::one_after_the_other(vec![run(0, 1, 1, [0, 10]), run(1, 1, 2, [10, 20])], 0)]
#[case::overlap(vec![run(0, 1, 1, [0, 11]), run(1, 1, 2, [10, 20])], 1)]
#[case::overlap_noted_later(vec![run(1, 1, 2, [10, 20]), run(0, 1, 1, [0, 11])], 1)]
#[case::long_one_under_short_ones(
    vec![run(0, 1, 1, [0, 90]), run(0, 1, 2, [5, 10]), run(1, 1, 3, [50, 60])],
    1
)]
#[case::still_running(vec![unfinished(run(0, 1, 1, [0, 0])), run(1, 1, 2, [50, 60])], 1)]
#[case::same_target(vec![run(0, 1, 1, [0, 11]), run(0, 1, 2, [10, 20])], 0)]
#[case::other_key(vec![run(0, 1, 1, [0, 11]), run(1, 2, 2, [10, 20])], 0)]
fn overlapping_executions_on_two_targets_are_found(
    #[case] executions: Vec<Execution>,
    #[case] expected: usize,
) {
    let mut violations = Violations::default();

    violations.check_single_owner(&executions, Duration::from_secs(1));

    assert_eq!(violations.two_owners, expected, "{:?}", violations.samples);
    assert_eq!(violations.total(), expected);
}

/// Guards against a checker that misses an at-most-once operation that ran
/// twice, or reports a repeated read.
#[rstest]
#[case::different(vec![run(0, 1, 1, [0, 1]), run(0, 1, 2, [2, 3])], 0)]
#[case::twice(vec![run(0, 1, 1, [0, 1]), run(1, 1, 1, [20, 30])], 1)]
#[case::read(
    vec![
        Execution { once: false, ..run(0, 1, 1, [0, 1]) },
        Execution { once: false, ..run(0, 1, 1, [2, 3]) },
    ],
    0
)]
fn operations_that_ran_twice_are_found(
    #[case] executions: Vec<Execution>,
    #[case] expected: usize,
) {
    let mut violations = Violations::default();

    violations.check_at_most_once(&executions);

    assert_eq!(
        violations.executed_twice, expected,
        "{:?}",
        violations.samples
    );
}
