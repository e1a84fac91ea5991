//! Tests of the deduplication of forwarded requests.

use std::time::Duration;

use wisteriaglade_types::Request;

use super::Deduplicator;
use crate::message::RequestState;

const NOW: Duration = Duration::from_secs(100);

fn request(number: u128) -> Request {
    Request::new(number)
}

/// Guards against a request that starts after its sender was told that it had
/// not been received. The sender may have sent it again, and it would run
/// twice.
#[test]
fn a_request_that_was_not_received_cannot_start_later() {
    let deduplicator = Deduplicator::default();

    assert_eq!(
        deduplicator.query(NOW, request(1)),
        RequestState::NotReceived
    );
    assert!(!deduplicator.start(NOW, request(1)));
    assert_eq!(
        deduplicator.query(NOW, request(1)),
        RequestState::NotReceived
    );
}

/// Guards against a duplicate frame that starts a request twice.
#[test]
fn a_request_starts_once() {
    let deduplicator = Deduplicator::default();

    assert!(deduplicator.start(NOW, request(1)));
    assert!(!deduplicator.start(NOW, request(1)));
    assert_eq!(deduplicator.query(NOW, request(1)), RequestState::Running);
    deduplicator.finish(request(1));
    assert_eq!(deduplicator.query(NOW, request(1)), RequestState::Finished);
    assert!(!deduplicator.start(NOW, request(1)));
}

/// Guards against dropping a long request while it runs, and against memory
/// that is never freed.
#[test]
fn an_ended_request_expires_and_a_running_one_does_not() {
    let deduplicator = Deduplicator::default();
    deduplicator.start(NOW, request(1));
    deduplicator.start(NOW, request(2));
    deduplicator.finish(request(2));
    let later = NOW + Duration::from_mins(2);
    for number in 10..14 {
        deduplicator.start(later, request(number));
    }

    assert_eq!(deduplicator.query(later, request(1)), RequestState::Running);
    assert_eq!(
        deduplicator.query(later, request(2)),
        RequestState::NotReceived
    );
}
