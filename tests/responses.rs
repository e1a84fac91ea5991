//! System tests of targets whose responses break HTTP, with real processes of the
//! daemon.

mod support;

use std::{ops::RangeInclusive, sync::Arc, time::Duration};

use rand::{RngExt as _, SeedableRng, rngs::StdRng};
use rstest::rstest;
use support::{
    calls::{Call, CallResult, RequestSpec},
    cluster::{Cluster, Options},
    faulty::Protocol,
};
use tokio::time::sleep;

/// The host that owns the key of a test, and through which callers send.
const OWNER: usize = 0;

/// Another host through which callers send.
const OTHER: usize = 1;

/// What the rules allow for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Kind {
    Read,
    Booking,
}

/// A cluster with targets of [`support::faulty`] and the key of one of them.
struct Fixture {
    cluster: Cluster,
    key: String,
}

impl Fixture {
    async fn start(echo: bool) -> Self {
        let cluster = Cluster::start(Options {
            hosts: 3,
            faulty: Some(Protocol::Daemon { echo }),
            ..Options::default()
        });
        let cluster = cluster.await;
        let key = cluster.keys_of(OWNER, 1).await.remove(0);
        Self { cluster, key }
    }

    /// Sends a request whose answer has the given fault.
    async fn call(&self, via: usize, kind: Kind, fault: &str) -> Call {
        let id = format!("b-{}", rand::random::<u64>());
        let spec = match kind {
            Kind::Read => RequestSpec::read(&self.key),
            Kind::Booking => RequestSpec::book(&self.key, &id),
        };
        let path = format!("{}?fault-{fault}", spec.path);
        self.cluster.call(via, RequestSpec { path, ..spec }).await
    }

    fn has_run(&self, call: &Call) -> bool {
        let observations = self.cluster.observations.lock().unwrap();
        observations.runs.contains_key(&call.token)
    }

    /// Reads the number of responses that the owner's node did not use.
    async fn foreign_responses(&self) -> u64 {
        let admin = self.cluster.hosts[OWNER].admin;
        let client = &self.cluster.client;
        let metrics = client.send(admin, "GET", "/metrics", &[], "").await;
        let text = metrics.unwrap().text();
        let mut lines = text.lines();
        lines
            .find_map(|line| line.strip_prefix("wisteriaglade_foreign_responses_total "))
            .and_then(|number| number.parse().ok())
            .unwrap_or_else(|| panic!("not counted:\n{text}"))
    }

    /// Returns the calls that got the answer of another request, and those that were
    /// told that they did not run and did.
    fn violations(&self) -> Vec<Call> {
        let calls = self.cluster.calls.all();
        let wrong = calls.into_iter().filter(|call| {
            let CallResult::Answer(reply) = &call.result else {
                return false;
            };
            call.served() && reply.token != call.token
                || reply.outcome == "not-run" && self.has_run(call)
        });
        wrong.collect()
    }

    fn check(&self) {
        let wrong = self.violations();
        let all = self.cluster.calls.all().len();
        let first = wrong.first();
        assert!(wrong.is_empty(), "{} of {all}: {first:#?}", wrong.len());
    }
}

/// Guards against a response that reaches another caller: the target sends each
/// response twice, the copy in one segment with the response, some time after it, or
/// after the next request was written. Work that runs at most once may end with an
/// unknown outcome because of it, but gets no other's response.
#[rstest]
#[case::reads(Kind::Read, true)]
#[case::bookings(Kind::Booking, true)]
#[case::reads_without_an_echo(Kind::Read, false)]
#[case::bookings_without_an_echo(Kind::Booking, false)]
#[tokio::test(flavor = "multi_thread")]
async fn a_second_copy_of_a_response_reaches_no_other_caller(
    #[case] kind: Kind,
    #[case] echo: bool,
) {
    let fixture = Fixture::start(echo).await;
    let faults = ["copy-0", "copy-1", "copy-50", "copy-500", "later-0"];
    let framings = ["length", "chunks", "close"];
    let mut found = Vec::new();

    for fault in faults {
        for framing in framings {
            fixture.call(OWNER, kind, "none-0").await;
            fixture
                .call(OWNER, kind, &format!("{fault}-{framing}"))
                .await;
            for pause in [0, 20, 60] {
                sleep(Duration::from_millis(pause)).await;
                fixture.call(OWNER, kind, "next-0").await;
            }
            // A connection with a byte too many is closed, so that the requests
            // after the one that met the copy are served.
            let after = fixture.call(OWNER, kind, "after-0").await;
            assert!(after.served(), "after {fault} {framing}: {after:?}");
            let earlier: usize = found.iter().map(|(_, count)| count).sum();
            let count = fixture.violations().len() - earlier;
            if count > 0 {
                found.push((format!("{fault}-{framing}"), count));
            }
        }
    }

    assert!(found.is_empty(), "wrong responses by fault: {found:?}");
}

/// Guards against a refusal that is not true: the copy of a response that says
/// `not-run` comes after the next request was written, which then does run.
#[rstest]
#[case::reads(Kind::Read, true)]
#[case::bookings(Kind::Booking, true)]
#[case::bookings_without_an_echo(Kind::Booking, false)]
#[tokio::test(flavor = "multi_thread")]
async fn a_second_copy_of_a_refusal_is_no_refusal_of_the_next_request(
    #[case] kind: Kind,
    #[case] echo: bool,
) {
    let fixture = Fixture::start(echo).await;

    for _ in 0..10 {
        let refused = fixture.call(OWNER, kind, "shed-0").await;
        assert_ne!(refused.outcome(), "done", "{refused:?}");
        fixture.call(OWNER, kind, "next-0").await;
    }

    fixture.check();
    let seen = fixture.foreign_responses().await;
    assert_eq!(seen > 0, echo, "{seen} foreign responses");
}

/// Guards against the same between concurrent callers, whose requests share the
/// connections to the target in any order.
#[rstest]
#[case::with_an_echo(true)]
#[case::without_an_echo(false)]
#[tokio::test(flavor = "multi_thread")]
async fn second_copies_under_load_reach_no_other_caller(#[case] echo: bool) {
    let fixture = Arc::new(Fixture::start(echo).await);
    let faults = ["copy-0", "copy-1", "copy-20", "later-0", "shed-0", "none-0"];
    let framings = ["length", "chunks", "close"];

    let callers = (0..8).map(|caller| {
        let fixture = Arc::clone(&fixture);
        let mut random = StdRng::seed_from_u64(fixture.cluster.seed.wrapping_add(caller));
        tokio::spawn(async move {
            for _ in 0..40 {
                let fault = faults[random.random_range(0..faults.len())];
                let framing = framings[random.random_range(0..framings.len())];
                let via = random.random_range(OWNER..=OTHER);
                let kind = if random.random() {
                    Kind::Read
                } else {
                    Kind::Booking
                };
                fixture.call(via, kind, &format!("{fault}-{framing}")).await;
            }
        })
    });
    for caller in callers.collect::<Vec<_>>() {
        caller.await.unwrap();
    }

    fixture.check();
}

/// Guards against a connection that is used again although its target does not
/// copy the ids of requests, and against a new connection for each request of a
/// target that does.
#[rstest]
#[case::with_an_echo(true, 1..=3)]
#[case::without_an_echo(false, 20..=20)]
#[tokio::test(flavor = "multi_thread")]
async fn connections_are_used_again_where_ids_are_copied(
    #[case] echo: bool,
    #[case] expected: RangeInclusive<u32>,
) {
    let fixture = Fixture::start(echo).await;

    for _ in 0..20 {
        let call = fixture.call(OWNER, Kind::Read, "none-0").await;
        assert!(call.served(), "{call:?}");
    }

    let connections = fixture.cluster.observations.lock().unwrap().connections;
    assert!(expected.contains(&connections), "{connections} connections");
}

/// Guards against a refusal that is not true because it is that of a second copy
/// of the request: the target is silent for so long that the node sends the request
/// again, and refuses the copy while the first one runs. The response may come
/// within the deadline, after it, or not at all.
#[rstest]
#[case::in_time("twice-1400", true)]
#[case::too_late("twice-2500", false)]
#[case::cut("lost-1400", false)]
#[tokio::test(flavor = "multi_thread")]
async fn a_refusal_of_a_copy_is_no_refusal_of_the_request(
    #[case] fault: &str,
    #[case] served: bool,
) {
    let fixture = Fixture::start(true).await;

    let calls = tokio::join!(
        fixture.call(OWNER, Kind::Read, fault),
        fixture.call(OTHER, Kind::Read, fault),
    );
    for call in <[_; 2]>::from(calls) {
        assert!(fixture.has_run(&call), "{call:?}");
        assert_eq!(call.served(), served, "{call:?}");
    }

    fixture.check();
}

/// Guards against a response that broke off and reaches the caller as a whole one,
/// from the owner's node or through another one: short of its length, before the
/// last chunk, or because the connection was reset before its end.
#[tokio::test(flavor = "multi_thread")]
async fn a_response_that_broke_off_is_no_success() {
    let fixture = Fixture::start(true).await;
    let faults = [
        "cut-0",
        "chunk-0",
        "reset-20-length",
        "reset-20-chunks",
        "reset-20-close",
    ];

    for fault in faults {
        for kind in [Kind::Read, Kind::Booking] {
            for via in [OWNER, OTHER] {
                let call = fixture.call(via, kind, fault).await;
                assert!(!call.served(), "{fault}: {call:?}");
                // A target that only fails is taken out of service.
                let whole = fixture.call(via, kind, "whole-0").await;
                assert!(whole.served(), "after {fault}: {whole:?}");
            }
        }
    }

    fixture.check();
}

/// Guards against a success with an empty or short body that looks whole: the target
/// stops after any number of bytes of its response's head, and closes or resets the
/// connection.
#[rstest]
#[case::closed("stop")]
#[case::reset("halt")]
#[tokio::test(flavor = "multi_thread")]
async fn a_response_that_stops_in_its_head_is_no_success(#[case] fault: &str) {
    let fixture = Fixture::start(true).await;

    for length in (0..160).step_by(3) {
        for framing in ["length", "chunks", "close"] {
            let via = if length % 2 == 0 { OWNER } else { OTHER };
            let fault = format!("{fault}-{length}-{framing}");
            let call = fixture.call(via, Kind::Booking, &fault).await;
            assert!(!call.served(), "{fault}: {call:?}");
            assert_ne!(call.outcome(), "not-run", "{fault}: {call:?}");
            // A target that only fails is taken out of service.
            let whole = fixture.call(via, Kind::Booking, "whole-0").await;
            assert!(whole.served(), "after {fault}: {whole:?}");
        }
    }

    fixture.check();
}

/// Guards against the same where a response has neither a length nor chunks: the end
/// of the connection is also what is seen of a target whose process ended halfway.
#[rstest]
#[case::reads(Kind::Read)]
#[case::bookings(Kind::Booking)]
#[tokio::test(flavor = "multi_thread")]
async fn a_response_that_ends_with_its_connection_is_no_success(#[case] kind: Kind) {
    let fixture = Fixture::start(true).await;

    for via in [OWNER, OTHER] {
        let cut = fixture.call(via, kind, "cut-0-close").await;
        assert!(!cut.served(), "{cut:?}");
        assert_ne!(cut.outcome(), "not-run", "{cut:?}");
        let whole = fixture.call(via, kind, "whole-0").await;
        assert!(whole.served(), "{whole:?}");
    }

    fixture.check();
}
