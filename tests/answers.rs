//! System tests of answers that break HTTP, with real processes.

mod support;

use std::time::{Duration, Instant};

use http::StatusCode;
use rstest::rstest;
use support::platform::{Fleet, Servers};
use tokio::time::sleep;

/// The bound for a new fleet to serve.
const START_BOUND: Duration = Duration::from_secs(15);

/// The memory of a process that runs beside a target on the users' machines.
const MEMORY_LIMIT_KIB: u64 = 160 * 1024;

/// Starts a fleet whose only target answers as the id of a request asks. The
/// callers' host is that of the target.
async fn faulty_fleet(seed: u8) -> Fleet {
    faulty_fleet_of(seed, 1).await
}

/// Starts such a fleet with a number of targets.
async fn faulty_fleet_of(seed: u8, targets: u8) -> Fleet {
    let fleet = Fleet::start_with(seed, 1, 0, targets, Servers::Faulty).await;
    let started = Instant::now();
    let mut attempt = 0;
    while fleet
        .request(1, "book", &format!("book-start-{attempt}"), 0)
        .await
        .0
        != StatusCode::OK
    {
        assert!(started.elapsed() < START_BOUND, "the fleet does not serve");
        attempt += 1;
        sleep(Duration::from_millis(50)).await;
    }
    fleet
}

/// Starts a fleet whose only target answers as [`faulty_fleet`] says and belongs to
/// a pool that is sharded by key.
async fn keyed_faulty_fleet(seed: u8) -> Fleet {
    let fleet = Fleet::start_with(seed, 1, 1, 0, Servers::Faulty).await;
    fleet.wait_until_served(1, 0, START_BOUND).await;
    fleet
}

/// Guards against an answer that reaches another caller: the target sends each
/// answer twice, the copy in one segment with the answer, some time after it, or
/// after the next request was written. A request that may run only once may fail
/// because of it, but gets no other's answer.
#[tokio::test(flavor = "multi_thread")]
async fn a_second_copy_of_an_answer_reaches_no_caller() {
    let fleet = faulty_fleet(220).await;
    let faults = ["copy-0", "copy-1", "copy-50", "copy-500", "later"];

    for (number, fault) in faults.iter().cycle().take(25).enumerate() {
        let first = format!("book-{fault}-{number}");
        let (status, text) = fleet.request(1, "book", &first, 0).await;
        if status == StatusCode::OK {
            assert_eq!(text, format!("{first} by faulty, run 1"));
        }
        for pause in [0, 20, 60] {
            sleep(Duration::from_millis(pause)).await;
            let next = format!("book-next-{pause}-{number}");
            let (status, text) = fleet.request(1, "book", &next, 0).await;
            if status == StatusCode::OK {
                assert_eq!(text, format!("{next} by faulty, run 1"), "after {first}");
            }
        }
        // A connection with a byte too many is closed, so that the requests after
        // the one that met the copy are served.
        let after = format!("book-after-0-{number}");
        let (status, text) = fleet.request(1, "book", &after, 0).await;
        assert_eq!(status, StatusCode::OK, "{text} after {first}");
    }
    fleet.check();
}

/// Guards against a refusal that is not true: the copy of an answer that says "not
/// run", with or without an id, comes after the next request was written, which then
/// does run.
#[rstest]
#[case::with_its_id(223, "shed")]
#[case::without_an_id(227, "anonymous")]
#[tokio::test(flavor = "multi_thread")]
async fn a_second_copy_of_a_refusal_is_no_refusal_of_the_next_request(
    #[case] seed: u8,
    #[case] fault: &str,
) {
    let fleet = faulty_fleet(seed).await;

    for number in 0..10 {
        fleet
            .request(1, "book", &format!("book-{fault}-{number}"), 0)
            .await;
        let next = format!("book-next-0-{number}");
        let (status, text) = fleet.request(1, "book", &next, 0).await;
        let has_run = fleet.observations.lock().unwrap().runs.contains_key(&next);
        let says_not_run = status == StatusCode::SERVICE_UNAVAILABLE;
        assert!(!(has_run && says_not_run), "{next} ran: {status} {text}");
    }
    fleet.check();
}

/// Guards against a request that may run only once and runs twice: its target
/// refuses the first offer, and the second copy of that refusal comes after the
/// second offer was written on the same connection, which does run.
#[tokio::test(flavor = "multi_thread")]
async fn a_second_copy_of_a_refusal_is_no_refusal_of_the_next_offer() {
    let fleet = keyed_faulty_fleet(225).await;

    for number in 0..10 {
        let id = format!("charge-busy-{number}");
        let (status, text) = fleet.request(1, "charge", &id, 0).await;
        assert_eq!(status, StatusCode::OK, "{text}");
        assert_eq!(text, format!("{id} by faulty, run 1"));
    }
    fleet.check();
}

/// Guards against a request that is reported as not run, or runs at a second target,
/// while its target works on it: the copy of an earlier refusal comes on its connection
/// meanwhile.
#[rstest]
#[case::with_its_id(228, "shed")]
#[case::without_an_id(229, "anonymous")]
#[tokio::test(flavor = "multi_thread")]
async fn a_copy_of_a_refusal_during_the_work_is_no_refusal(#[case] seed: u8, #[case] fault: &str) {
    let fleet = faulty_fleet_of(seed, 2).await;
    let mut runs = 0;

    for number in 0..12 {
        fleet
            .request(1, "book", &format!("book-{fault}-0-{number}"), 0)
            .await;
        let id = format!("book-during-40-{number}");
        let (status, text) = fleet.request(1, "book", &id, 0).await;
        sleep(Duration::from_millis(100)).await;
        let run = fleet.observations.lock().unwrap().runs.get(&id).copied();
        runs += run.unwrap_or(0);
        let says_not_run = status == StatusCode::SERVICE_UNAVAILABLE;
        assert!(run.is_none() || !says_not_run, "{id} ran: {status} {text}");
        assert!(run.unwrap_or(0) <= 1, "{id} ran {run:?} times: {status}");
    }

    assert!(runs > 0, "no request ran");
    fleet.check();
}

/// Guards against an answer to the first attempt of a read that is taken for the
/// answer to the second one: the first attempt meets the second copy of an earlier
/// answer, and its own answer comes later on the same connection.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_to_the_first_attempt_is_no_answer_to_the_second() {
    let fleet = keyed_faulty_fleet(226).await;

    for number in 0..10 {
        let earlier = format!("read-later-{number}");
        fleet.request(1, "read", &earlier, 0).await;
        let id = format!("read-work-30-{number}");
        let (status, text) = fleet.request(1, "read", &id, 0).await;
        assert_eq!(status, StatusCode::OK, "{text}");
        assert_eq!(text, format!("{id} by faulty, run 2"));
    }
    fleet.check();
}

/// Guards against an answer that broke off and reaches the caller as a success:
/// short of its length, or before the last chunk.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_that_broke_off_is_no_success() {
    let fleet = faulty_fleet(221).await;

    for id in ["book-cut-0", "book-chunk-0", "book-cut-1", "book-chunk-1"] {
        let (status, text) = fleet.request(1, "book", id, 0).await;
        assert_eq!(status, StatusCode::BAD_GATEWAY, "{text}");
    }
    let (status, text) = fleet.request(1, "book", "book-whole-0", 0).await;

    assert_eq!(status, StatusCode::OK, "{text}");
    fleet.check();
}

/// Guards against a success with an empty or short body that looks whole: the target
/// stops after any number of bytes of its answer's head, and closes or resets the
/// connection.
#[rstest]
#[case::closed(230, "stop")]
#[case::reset(231, "halt")]
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_that_stops_in_its_head_is_no_success(#[case] seed: u8, #[case] fault: &str) {
    let fleet = faulty_fleet(seed).await;

    for length in 0..160 {
        for framing in ["length", "chunks", "close"] {
            let id = format!("book-{fault}-{length}-{framing}");
            let (status, text) = fleet.request(1, "book", &id, 0).await;
            assert_eq!(status, StatusCode::BAD_GATEWAY, "{id}: {text}");
        }
    }
    let (status, text) = fleet.request(1, "book", "book-whole-0", 0).await;

    assert_eq!(status, StatusCode::OK, "{text}");
    fleet.check();
}

/// Guards against a process that runs out of memory, or a slot that stays in use,
/// while targets send bytes without end in a head or a body.
#[tokio::test(flavor = "multi_thread")]
async fn bytes_without_end_are_bounded() {
    let fleet = faulty_fleet(222).await;

    // The target is cut off at the limit of bytes or, in crumbs, at the deadline,
    // which the hosts of the caller and of the target reach at the same time.
    let ids = ["book-head-0", "book-body-0", "book-body-1", "book-crumbs-0"];
    let endless = async {
        let [a, b, c, d] = ids.map(|id| fleet.request(1, "book", id, 0));
        <[_; 4]>::from(tokio::join!(a, b, c, d))
    };
    let measure = async {
        let mut peak = 0;
        for _ in 0..40 {
            sleep(Duration::from_millis(50)).await;
            peak = peak.max(fleet.hosts[1].process.as_ref().unwrap().resident_kib());
        }
        peak
    };
    let (answers, peak) = tokio::join!(endless, measure);
    let (status, text) = fleet.request(1, "book", "book-whole-0", 0).await;

    let [head, body, other_body, crumbs] = answers.map(|(status, _)| status.as_u16());
    assert_eq!([head, body, other_body], [502; 3]);
    assert!(matches!(crumbs, 502 | 504), "{crumbs}");
    assert!(peak < MEMORY_LIMIT_KIB, "{peak} KiB");
    assert_eq!(status, StatusCode::OK, "{text}");
    fleet.check();
}
