//! Tests of [`KeyRates`], the request rates of keys.

use std::time::Duration;

use wisteriaglade_mesh::{KeyRates, Span};

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Returns the rates after ten windows of one second with the given number of
/// requests for each key.
fn steady_rates(keys: &[(u16, u32)]) -> KeyRates {
    let mut rates = KeyRates::default();
    rates.update(at(1_000));
    for window in 1..=10 {
        for (key, count) in keys {
            (0..*count).for_each(|_| rates.record(*key));
        }
        rates.update(at(1_000 + window * 1_000));
    }
    rates
}

/// Guards against busy neighbouring keys that cannot be moved, because they are
/// reported as one span that exceeds what any other target can serve.
#[test]
fn a_busy_span_is_reported_key_by_key() {
    let busy: Vec<(u16, u32)> = (256..266).map(|key| (key, 10)).collect();

    let summary = steady_rates(&busy).summary();

    let keys: Vec<_> = busy.iter().map(|(key, _)| Span::new(*key, *key)).collect();
    let spans: Vec<_> = summary.iter().map(|(span, _)| *span).collect();
    assert_eq!(spans, keys);
    assert!(summary.iter().all(|(_, rate)| (95..=100).contains(rate)));
}

/// Guards against long reports, which hosts send several times a second.
#[test]
fn keys_with_low_rates_share_a_span() {
    let slow: Vec<(u16, u32)> = (0..128).step_by(64).map(|key| (key, 1)).collect();

    let summary = steady_rates(&slow).summary();

    assert_eq!(summary.len(), 1);
    assert_eq!(
        summary.first().map(|(span, _)| *span),
        Some(Span::new(0, 127))
    );
}

/// Guards against an integer overflow at the last key.
#[test]
fn the_last_key_is_counted() {
    let summary = steady_rates(&[(u16::MAX, 20)]).summary();

    let last = Span::new(u16::MAX, u16::MAX);
    assert_eq!(summary.first().map(|(span, _)| *span), Some(last));
}
