//! Tests of [`Balancer`], the ranking of targets.

use std::time::Duration;

use wisteriaglade_mesh::{Balancer, Candidate, Load};

const NOW: Duration = Duration::from_secs(10);

fn candidates() -> [Candidate; 2] {
    ["i-1", "i-2"].map(|target| Candidate {
        target: target.into(),
        is_local: true,
    })
}

/// Returns a balancer after both targets have answered. `mean`, in
/// milliseconds, and `running` are reported by the first one.
fn balancer_with_loads(mean: u64, running: u32) -> Balancer {
    let mut balancer = Balancer::default();
    for (candidate, mean, running) in candidates()
        .iter()
        .zip([mean, 100])
        .zip([running, 1])
        .map(|((candidate, mean), running)| (candidate.target.clone(), mean, running))
    {
        balancer.request_sent(&candidate);
        let load = Load {
            limit_wait: Duration::ZERO,
            notice: None,
            running,
            waiting: 0,
            limit: 4,
            mean: Duration::from_millis(mean),
        };
        balancer.request_ended(NOW, &candidate, Some(load));
    }
    balancer
}

/// Guards against spreading requests evenly over targets that differ in speed,
/// and against preferring a fast target whose slots are all in use.
#[test]
fn a_fast_target_is_preferred_until_it_is_full() {
    let free = balancer_with_loads(50, 1).rank(NOW, &candidates(), &[0.5, 0.5]);
    let full = balancer_with_loads(50, 8).rank(NOW, &candidates(), &[0.5, 0.5]);

    assert_eq!(free, [0, 1]);
    assert_eq!(full, [1, 0]);
}

/// Guards against sending requests to the fastest target over a congested link.
#[test]
fn a_target_behind_a_congested_link_comes_last() {
    let mut balancer = balancer_with_loads(50, 1);
    for _ in 0..5 {
        balancer.record_transit(&"i-1".into(), Duration::from_millis(300));
    }

    let ranked = balancer.rank(NOW, &candidates(), &[0.5, 0.5]);

    assert_eq!(ranked, [1, 0]);
}

/// Guards against a target that is tried again right after it failed.
#[test]
fn a_target_that_failed_comes_last_for_a_while() {
    let mut balancer = balancer_with_loads(50, 1);
    balancer.avoid(NOW, &"i-1".into());

    let at_once = balancer.rank(NOW, &candidates(), &[0.5, 0.5]);
    let later = balancer.rank(NOW + Duration::from_secs(1), &candidates(), &[0.5, 0.5]);

    assert_eq!(at_once, [1, 0]);
    assert_eq!(later, [0, 1]);
}
