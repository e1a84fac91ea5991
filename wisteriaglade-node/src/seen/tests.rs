//! Tests of the deduplication of forwarded requests.

use std::time::Duration;

use wisteriaglade_types::Request;

use super::Seen;
use crate::message::Known;

const NOW: Duration = Duration::from_secs(100);

fn request(number: u128) -> Request {
    Request::new(number)
}

/// Guards against a request that starts after its sender was told that it had
/// not been received. The sender may have sent it again, and it would run
/// twice.
#[test]
fn a_request_that_was_not_seen_cannot_start_later() {
    let seen = Seen::default();

    assert_eq!(seen.query(NOW, request(1)), Known::NotSeen);
    assert!(!seen.start(NOW, request(1)));
    assert_eq!(seen.query(NOW, request(1)), Known::NotSeen);
}

/// Guards against a duplicate frame that starts a request twice.
#[test]
fn a_request_starts_once() {
    let seen = Seen::default();

    assert!(seen.start(NOW, request(1)));
    assert!(!seen.start(NOW, request(1)));
    assert_eq!(seen.query(NOW, request(1)), Known::Running);
    seen.finish(request(1));
    assert_eq!(seen.query(NOW, request(1)), Known::Finished);
    assert!(!seen.start(NOW, request(1)));
}

/// Guards against dropping a long request while it runs, and against memory
/// that is never freed.
#[test]
fn an_ended_request_is_forgotten_and_a_running_one_is_not() {
    let seen = Seen::default();
    seen.start(NOW, request(1));
    seen.start(NOW, request(2));
    seen.finish(request(2));
    let later = NOW + Duration::from_mins(2);
    for number in 10..14 {
        seen.start(later, request(number));
    }

    assert_eq!(seen.query(later, request(1)), Known::Running);
    assert_eq!(seen.query(later, request(2)), Known::NotSeen);
}
