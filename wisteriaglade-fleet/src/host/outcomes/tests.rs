//! Tests of how long outcomes are kept.

use std::time::Duration;

use rstest::rstest;

use super::Outcomes;
use crate::host::admission::OfferId;

fn offer(id: u64) -> OfferId {
    OfferId {
        host: ([127, 0, 0, 1], 7600).into(),
        session: 1,
        id,
    }
}

// Guards against a request that runs a second time: its sender was disconnected and
// offers it again before the deadline, after the outcome was dropped.
#[rstest]
#[case::before_a_late_deadline(60, 59, true)]
#[case::after_a_late_deadline(60, 81, false)]
#[case::soon_after_its_end(2, 19, true)]
#[case::long_after_its_end(2, 23, false)]
fn an_outcome_is_kept_beyond_the_deadline(
    #[case] deadline: u64,
    #[case] at: u64,
    #[case] is_kept: bool,
) {
    let mut outcomes = Outcomes::default();

    outcomes.insert(
        Duration::from_secs(1),
        offer(1),
        Duration::from_secs(deadline),
        None,
    );
    let at = Duration::from_secs(at);
    outcomes.insert(at, offer(2), at, None);

    assert_eq!(outcomes.get(&offer(1)).is_some(), is_kept);
}
