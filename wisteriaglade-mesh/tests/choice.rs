//! Which target a request is offered to.

use std::time::Duration;

use wisteriaglade_mesh::{Candidate, Choice, Load};

const NOW: Duration = Duration::from_secs(10);

fn candidates() -> [Candidate; 2] {
    ["i-1", "i-2"].map(|target| Candidate {
        target: target.into(),
        is_near: true,
    })
}

/// Both targets have answered; `mean` is that of the first one.
fn answered(mean: u64, running: u32) -> Choice {
    let mut choice = Choice::default();
    for (candidate, mean, running) in candidates()
        .iter()
        .zip([mean, 100])
        .zip([running, 1])
        .map(|((candidate, mean), running)| (candidate.target.clone(), mean, running))
    {
        choice.sent(&candidate);
        let load = Load {
            running,
            waiting: 0,
            limit: 4,
            mean: Duration::from_millis(mean),
        };
        choice.ended(NOW, &candidate, Some(load));
    }
    choice
}

/// The load pattern: targets differ in speed.
#[test]
fn a_fast_target_is_preferred_until_it_is_full() {
    let free = answered(50, 1).rank(NOW, &candidates(), &[0.5, 0.5]);
    let full = answered(50, 8).rank(NOW, &candidates(), &[0.5, 0.5]);

    assert_eq!(free, [0, 1]);
    assert_eq!(full, [1, 0]);
}

/// The load pattern: the link of the fastest target is full.
#[test]
fn a_target_behind_a_full_link_is_passed_over() {
    let mut choice = answered(50, 1);
    for _ in 0..5 {
        choice.transit(&"i-1".into(), Duration::from_millis(300));
    }

    let ranked = choice.rank(NOW, &candidates(), &[0.5, 0.5]);

    assert_eq!(ranked, [1, 0]);
}

/// Guards against a target that just failed and is tried again at once.
#[test]
fn a_target_that_failed_comes_last_for_a_while() {
    let mut choice = answered(50, 1);
    choice.avoid(NOW, &"i-1".into());

    let at_once = choice.rank(NOW, &candidates(), &[0.5, 0.5]);
    let later = choice.rank(NOW + Duration::from_secs(1), &candidates(), &[0.5, 0.5]);

    assert_eq!(at_once, [1, 0]);
    assert_eq!(later, [0, 1]);
}
