//! Tests of hot key detection.

use std::time::Duration;

use wisteriaglade_types::Hash;

use super::{Counters, MAX_COUNTERS};

const SECOND: Duration = Duration::from_secs(1);

/// Guards against a hot key that is evicted by many cold ones, and against
/// memory use that grows with the number of keys.
#[test]
fn a_hot_key_is_found_among_many_cold_ones() {
    let mut counters = Counters::default();
    for number in 0..200_000_u64 {
        counters.record(Hash::new(number + 10));
        if number % 20 == 0 {
            counters.record(Hash::new(1));
        }
    }

    assert!(counters.counts.len() <= MAX_COUNTERS);
    let report = counters.take_hottest(SECOND);

    assert_eq!(report.first().map(|&(key, _)| key), Some(1));
    assert!(report.len() <= 16);
}

/// Guards against reports of keys with a low rate, and against counts that are
/// carried over into the next interval.
#[test]
fn quiet_keys_are_not_reported_and_counts_start_again() {
    let mut counters = Counters::default();
    for _ in 0..100 {
        counters.record(Hash::new(1));
    }
    counters.record(Hash::new(2));

    assert_eq!(counters.take_hottest(SECOND), [(1, 100)]);
    assert_eq!(counters.take_hottest(SECOND), []);
}
