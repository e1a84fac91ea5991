//! Tests of the order in which a host withdraws, refuses requests and ends.

use std::time::Duration;

use rstest::rstest;

use super::{Shutdown, Step};

fn at(millis: u64) -> Duration {
    Duration::from_secs(100) + Duration::from_millis(millis)
}

/// Steps a shutdown with a grace period of 6 s every 50 ms until it ends, and
/// returns its steps with their times in milliseconds. A request is open at the
/// times for which `is_busy` returns true.
fn steps(is_busy: impl Fn(u64) -> bool) -> Vec<(u64, Step)> {
    let mut shutdown = Shutdown::new(at(0), Duration::from_secs(6));
    let mut steps = Vec::new();
    for millis in (50..10_000).step_by(50) {
        let step = shutdown.step(at(millis), !is_busy(millis));
        if step != Step::Wait {
            steps.push((millis, step));
        }
        if step == Step::End {
            break;
        }
    }
    steps
}

// Guards against a request that is accepted between the check for open requests and
// the end of the process, which cuts it off.
#[rstest]
#[case::without_requests(0..0, &[(1_950, Step::Withdraw), (2_350, Step::Refuse), (2_400, Step::End)])]
#[case::with_a_request_that_came_before_the_refusal(
    2_400..2_600,
    &[(1_950, Step::Withdraw), (2_350, Step::Refuse), (2_600, Step::End)]
)]
#[case::with_requests_until_the_refusal(
    0..3_000,
    &[(1_950, Step::Withdraw), (2_850, Step::Refuse), (3_000, Step::End)]
)]
#[case::with_a_request_beyond_the_grace_period(
    0..10_000,
    &[(1_950, Step::Withdraw), (2_850, Step::Refuse), (5_650, Step::End)]
)]
fn a_host_refuses_requests_before_it_ends(
    #[case] busy: std::ops::Range<u64>,
    #[case] expected: &[(u64, Step)],
) {
    assert_eq!(steps(|millis| busy.contains(&millis)), expected);
}
