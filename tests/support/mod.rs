//! Support code of the system tests: it starts real router processes, runs
//! their targets inside the test process, injects network faults between them
//! and checks the invariants from the records of callers and targets.

#![allow(dead_code, reason = "each test binary uses a part of it")]

#[path = "../../examples/support/addresses.rs"]
pub mod addresses;
#[path = "../../examples/support/client.rs"]
pub mod client;
#[path = "../../examples/support/target.rs"]
pub mod target;

pub mod calls;
pub mod check;
pub mod cluster;
pub mod faults;
pub mod faulty;
pub mod holds;
pub mod load;
pub mod platform;
pub mod process;
pub mod proxy;
pub mod server;

use std::{
    fmt::Debug,
    time::{Duration, Instant},
};

/// The time between two evaluations of a polled condition.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Polls `probe` until it returns `Ok`, and fails the test after `bound`.
///
/// Returns the value and the time that passed. `what` names the awaited
/// condition in the failure message.
pub async fn wait_for<T, F>(
    bound: Duration,
    what: &str,
    mut probe: impl FnMut() -> F,
) -> (T, Duration)
where
    F: Future<Output = Result<T, String>>,
{
    let start = Instant::now();
    loop {
        match probe().await {
            Ok(found) => return (found, start.elapsed()),
            Err(seen) if start.elapsed() > bound => {
                panic!("{what}: not within {bound:?}; last seen: {seen}")
            }
            Err(_) => tokio::time::sleep(POLL_INTERVAL).await,
        }
    }
}

/// Fails the test if `took` is longer than `bound`; `what` is named in the
/// message.
pub fn assert_within(took: Duration, bound: Duration, what: &dyn Debug) {
    assert!(took <= bound, "{what:?} took {took:?}, bound {bound:?}");
}

/// Returns the seeds that an environment variable gives as `FROM..TO`, or the
/// usual ones.
pub fn seeds(variable: &str, usual: &[u64]) -> Vec<u64> {
    let Ok(text) = std::env::var(variable) else {
        return usual.to_vec();
    };
    let range = text.split_once("..").and_then(|(from, to)| {
        let (from, to): (u64, u64) = (from.parse().ok()?, to.parse().ok()?);
        Some((from..to).collect())
    });
    range.unwrap_or_else(|| panic!("{variable}={text} is not FROM..TO"))
}
