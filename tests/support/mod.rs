//! Real processes, targets in the test process, faults between them, and a
//! checker that looks from outside.

#![allow(dead_code, reason = "each test binary uses a part of it")]

#[path = "../../examples/support/client.rs"]
pub mod client;
#[path = "../../examples/support/target.rs"]
pub mod target;

pub mod calls;
pub mod check;
pub mod fleet;
pub mod mesh;
pub mod process;
pub mod proxy;

use std::{
    fmt::Debug,
    time::{Duration, Instant},
};

/// The pause between two looks at a condition.
const LOOK: Duration = Duration::from_millis(10);

/// Waits until `look` gives something, and fails the test after `bound`.
/// Returns it with the time that passed.
pub async fn within<T, F>(bound: Duration, what: &str, mut look: impl FnMut() -> F) -> (T, Duration)
where
    F: Future<Output = Result<T, String>>,
{
    let start = Instant::now();
    loop {
        match look().await {
            Ok(found) => return (found, start.elapsed()),
            Err(seen) if start.elapsed() > bound => {
                panic!("{what}: not within {bound:?}; last seen: {seen}")
            }
            Err(_) => tokio::time::sleep(LOOK).await,
        }
    }
}

/// Fails the test unless `took` is within `bound`.
pub fn assert_within(took: Duration, bound: Duration, what: &dyn Debug) {
    assert!(took <= bound, "{what:?} took {took:?}, bound {bound:?}");
}
