//! Tests of [`Issuer`], which grants key ranges to a target by calls.

use std::{collections::BTreeMap, time::Duration};

use rstest::rstest;
use wisteriaglade_mesh::{Call, Command, Issuer, Keyspace, Order, Owner, Response, Span, State};
use wisteriaglade_types::Name;

const LEASE: Duration = Duration::from_secs(3);
const LIMIT: Duration = Duration::from_secs(10);
const FIRST_KEYS: Span = Span::new(0, 99);

/// A time well after the holds that an earlier process may have granted.
const START: u64 = 10_000;

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn owner(name: &str, started_ms: u64) -> Owner {
    Owner {
        target: name.into(),
        started_ms,
        host_address: ([127, 0, 0, 1], 7000).into(),
    }
}

fn pool() -> Name {
    "catalogue".into()
}

/// Returns a state in which log entry 5 has granted the keys 0 to 99 to a target.
fn granted(to: &Owner) -> State {
    let mut state = State::default();
    let grants = vec![(FIRST_KEYS, to.clone())];
    let pool = pool();
    state.apply(5, Command::Grant { pool, grants });
    state
}

/// Returns the key ranges after log entry `index`, which moves a span to another
/// target.
fn moved(index: u64, state: &mut State, span: Span) -> BTreeMap<Name, Keyspace> {
    let moves = vec![(span, owner("i-2", 1))];
    let pool = pool();
    state.apply(index, Command::Move { pool, moves });
    state.keyspaces().clone()
}

/// Returns an issuer at [`START`] with the key ranges of log entry 5 and a lease
/// that begins then.
fn issuer(owner: &Owner, state: &State) -> Issuer {
    let mut issuer = Issuer::new(at(0), LEASE, LIMIT);
    issuer.heartbeat(at(START), owner);
    issuer.allotment.update(5, state.keyspaces());
    issuer.allotment.extend_lease(at(START), LEASE);
    issuer
}

/// Returns the only call that is due.
fn only_order(issuer: &mut Issuer, now: u64) -> Order {
    let mut orders = issuer.orders(at(now), true);
    assert_eq!(orders.len(), 1, "{orders:?}");
    orders.remove(0)
}

/// Lets the host check for calls every 50 ms without a connection, as it does
/// while it runs.
fn check_for_calls(issuer: &mut Issuer, millis: std::ops::Range<u64>) {
    for now in millis.step_by(50) {
        assert_eq!(issuer.orders(at(now), false), []);
    }
}

fn done() -> Response {
    Response::Done(Name::from(""))
}

/// Sends the first grant at [`START`] and settles it 5 ms later.
fn grant_first_keys(issuer: &mut Issuer, response: Response) {
    let order = only_order(issuer, START);
    issuer.settle(at(START + 5), order.id, response);
}

/// Guards against a hold that outlasts the lease, also when the call arrives as
/// late as it may, and against one that is longer than the target accepts.
#[rstest]
#[case::lease(LIMIT, at(2_750))]
#[case::limit(at(1_000), at(1_000))]
fn a_hold_ends_before_the_lease(#[case] limit: Duration, #[case] expected: Duration) {
    let owner = owner("i-1", 1);
    let mut issuer = Issuer::new(at(0), LEASE, limit);
    issuer.heartbeat(at(START), &owner);
    issuer.allotment.update(5, granted(&owner).keyspaces());
    issuer.allotment.extend_lease(at(START), LEASE);

    let order = only_order(&mut issuer, START);

    let Call::Grant { hold, fence, .. } = order.call else {
        panic!("{order:?} is no grant");
    };
    assert_eq!((hold, fence), (expected, 5));
}

/// Guards against requests for keys that the target has not confirmed, and for
/// keys whose hold may have ended.
#[test]
fn keys_are_held_from_the_response_until_the_hold_ends() {
    let owner = owner("i-1", 1);
    let mut issuer = issuer(&owner, &granted(&owner));

    let order = only_order(&mut issuer, START);
    let before = issuer.holds(at(START + 4), 7);
    issuer.settle(at(START + 5), order.id, done());

    assert!(!before);
    assert!(issuer.holds(at(START + 5), 7));
    assert!(!issuer.holds(at(START + 5), 100));
    assert!(issuer.holds(at(START + 2_740), 7));
    assert!(!issuer.holds(at(START + 2_750), 7));
}

/// Guards against a grant that goes on without a lease, when the leader may have
/// given the keys away, and against one that follows a late report about an
/// earlier target at the same address.
#[test]
fn nothing_is_granted_without_a_lease_for_this_target() {
    let owner = owner("i-1", 1);
    let mut issuer = issuer(&owner, &granted(&owner));

    issuer.allotment.drop_lease();
    let silent = issuer.orders(at(START + 100), true);
    let restarted = self::owner("i-1", 2);
    issuer.heartbeat(at(START + 200), &restarted);
    issuer.allotment.update(6, granted(&restarted).keyspaces());
    issuer.allotment.extend_lease(at(START + 150), LEASE);
    let stale = issuer.orders(at(START + 300), true);
    issuer.allotment.extend_lease(at(START + 200), LEASE);

    assert_eq!(silent, []);
    assert_eq!(stale, []);
    assert_eq!(issuer.orders(at(START + 300), true).len(), 1);
}

/// Guards against a grant that reaches the process which has replaced the target at
/// its address: without an open connection, only a heartbeat shows that the target
/// still runs.
#[test]
fn a_grant_without_a_connection_needs_a_recent_heartbeat() {
    let owner = owner("i-1", 1);
    let mut issuer = issuer(&owner, &granted(&owner));

    let late = issuer.orders(at(START + 300), false);
    check_for_calls(&mut issuer, START + 350..START + 870);
    issuer.heartbeat(at(START + 870), &owner);
    let recent = issuer.orders(at(START + 900), false);

    assert_eq!(late, []);
    assert_eq!(recent.len(), 1);
}

/// Guards against a grant that reaches the next process: the host was suspended
/// while the target ended, and handles its last heartbeat when it goes on.
#[test]
fn a_heartbeat_that_waited_for_a_suspended_host_opens_no_connection() {
    let owner = owner("i-1", 1);
    let mut issuer = issuer(&owner, &granted(&owner));
    check_for_calls(&mut issuer, START + 350..START + 870);

    issuer.orders(at(START + 2_000), false);
    issuer.heartbeat(at(START + 2_003), &owner);
    let orders = issuer.orders(at(START + 2_003), false);

    assert_eq!(orders, []);
}

/// Guards against a lapse of the hold while renewals are lost: there has to be
/// time for two more after the first.
#[test]
fn a_hold_is_renewed_in_time_for_two_lost_renewals() {
    let owner = owner("i-1", 1);
    let mut issuer = issuer(&owner, &granted(&owner));
    grant_first_keys(&mut issuer, done());
    issuer.allotment.extend_lease(at(START + 1_000), LEASE);

    let mut now = START + 1_200;
    for _ in 0..2 {
        let order = only_order(&mut issuer, now);
        now += 400;
        issuer.settle(at(now), order.id, Response::Unknown);
        now += 100;
    }
    let order = only_order(&mut issuer, now);
    issuer.settle(at(now + 5), order.id, done());

    assert!((START..now + 1_000).all(|now| now < START + 5 || issuer.holds(at(now), 7)));
}

/// Guards against a second holder of a range that has to move, and against one
/// that is passed on later than necessary. `grant` is how the grant before the
/// move ended, and `release_takes` the time until the target answers the release,
/// if it does. The range may go on between `earliest` and `latest`.
#[rstest]
#[case::answered(done(), Some(20), 120, 121)]
#[case::never_released(done(), None, 2_837, 2_840)]
#[case::unanswered(Response::Unknown, Some(20), 2_887, 2_890)]
#[case::unanswered_and_never_released(Response::Unknown, None, 2_887, 2_890)]
#[case::not_sent(Response::Rejected, None, 100, 101)]
fn a_range_goes_on_once_no_call_can_make_the_target_hold_it(
    #[case] grant: Response,
    #[case] release_takes: Option<u64>,
    #[case] earliest: u64,
    #[case] latest: u64,
) {
    let owner = owner("i-1", 1);
    let mut state = granted(&owner);
    let mut issuer = issuer(&owner, &state);
    grant_first_keys(&mut issuer, grant);
    let keyspaces = moved(6, &mut state, FIRST_KEYS);
    issuer.allotment.update(6, &keyspaces);
    let mut open: Vec<(u64, u64)> = Vec::new();
    let mut now = START + 100;

    while issuer.allotment.released().is_empty() && now < START + 4_000 {
        for order in issuer.orders(at(now), true) {
            let (span, fence) = (FIRST_KEYS, 5);
            assert_eq!(order.call, Call::Release { span, fence });
            open.push((order.id, now));
        }
        now += 1;
        open.retain(|(id, sent)| match release_takes {
            Some(time) if now >= sent + time => {
                issuer.settle(at(now), *id, Response::Done("text".into()));
                false
            }
            None if now >= sent + 2_000 => {
                issuer.settle(at(now), *id, Response::Unknown);
                false
            }
            _ => true,
        });
    }

    let released_after = now - 1 - START;
    assert!(
        (earliest..=latest).contains(&released_after),
        "{released_after}"
    );
    let text = if release_takes.is_some() { "text" } else { "" };
    let released = (FIRST_KEYS, 5, Name::from(text));
    assert_eq!(issuer.allotment.released(), [released]);
}

/// Guards against a second holder: a process of the host that has been replaced
/// may have granted the range shortly before, and its call may have had no
/// response.
#[test]
fn a_new_process_waits_for_the_grants_of_its_predecessor() {
    let owner = owner("i-1", 1);
    let mut state = granted(&owner);
    let keyspaces = moved(6, &mut state, FIRST_KEYS);
    let mut issuer = Issuer::new(at(0), LEASE, LIMIT);
    issuer.heartbeat(at(100), &owner);
    issuer.allotment.update(6, &keyspaces);

    let order = only_order(&mut issuer, 200);
    issuer.settle(at(210), order.id, Response::Done("text".into()));
    issuer.orders(at(3_300), true);
    let early = issuer.allotment.released().to_vec();
    issuer.orders(at(3_400), true);

    assert!(matches!(order.call, Call::Release { .. }));
    assert_eq!(early, []);
    assert_eq!(
        issuer.allotment.released(),
        [(FIRST_KEYS, 5, Name::from("text"))]
    );
}

/// Guards against a second holder of a range that has to move twice: the first move
/// was given up after the target had answered the release, and the range was granted
/// again under the same token.
#[test]
fn a_release_does_not_count_for_a_later_move() {
    let owner = owner("i-1", 1);
    let mut state = granted(&owner);
    let unmoved = state.keyspaces().clone();
    let mut issuer = issuer(&owner, &state);
    grant_first_keys(&mut issuer, Response::Unknown);
    let moved = moved(6, &mut state, FIRST_KEYS);
    issuer.allotment.update(6, &moved);
    let release = only_order(&mut issuer, START + 200);
    issuer.settle(at(START + 210), release.id, done());

    issuer.allotment.update(7, &unmoved);
    issuer.allotment.extend_lease(at(START + 300), LEASE);
    let grant = only_order(&mut issuer, START + 300);
    issuer.settle(at(START + 310), grant.id, done());
    issuer.allotment.update(8, &moved);
    let again = only_order(&mut issuer, START + 3_000);

    assert!(matches!(grant.call, Call::Grant { .. }));
    assert!(matches!(again.call, Call::Release { .. }));
    assert_eq!(issuer.allotment.released(), []);
}

/// Guards against a release that overtakes a grant which is still on its way.
#[test]
fn a_release_waits_for_the_renewal_in_progress() {
    let owner = owner("i-1", 1);
    let mut state = granted(&owner);
    let mut issuer = issuer(&owner, &state);
    let renewal = only_order(&mut issuer, START);
    let keyspaces = moved(6, &mut state, FIRST_KEYS);
    issuer.allotment.update(6, &keyspaces);

    let crossing = issuer.orders(at(START + 10), true);
    issuer.settle(at(START + 20), renewal.id, done());
    let order = only_order(&mut issuer, START + 30);

    assert_eq!(crossing, []);
    assert!(matches!(order.call, Call::Release { .. }));
}

/// Guards against a part of a grant that stops being renewed, or is released with
/// it, when the other part moves.
#[test]
fn the_rest_of_a_grant_stays_when_a_part_moves() {
    let owner = owner("i-1", 1);
    let mut state = granted(&owner);
    let mut issuer = issuer(&owner, &state);
    grant_first_keys(&mut issuer, done());
    let keyspaces = moved(6, &mut state, Span::new(0, 49));
    issuer.allotment.update(6, &keyspaces);

    let release = only_order(&mut issuer, START + 10);
    let text = Response::Done("text".into());
    issuer.settle(at(START + 20), release.id, text);
    issuer.orders(at(START + 30), true);
    issuer.allotment.extend_lease(at(START + 1_000), LEASE);
    let renewal = only_order(&mut issuer, START + 1_300);

    assert_eq!(release.call.span(), Span::new(0, 49));
    assert!(!issuer.holds(at(START + 30), 49));
    assert!(issuer.holds(at(START + 30), 50));
    let released = (Span::new(0, 49), 5, Name::from("text"));
    assert_eq!(issuer.allotment.released(), [released]);
    assert_eq!(renewal.call.span(), Span::new(50, 99));
}

/// Guards against a sender that insists after the target has seen a higher token,
/// and against keys that stay without a holder because of it.
#[test]
fn a_range_with_an_outdated_token_is_given_back_and_not_granted_again() {
    let owner = owner("i-1", 1);
    let mut issuer = issuer(&owner, &granted(&owner));

    grant_first_keys(&mut issuer, Response::Outdated);
    let orders = issuer.orders(at(START + 10), true);
    let later = issuer.orders(at(START + 2_000), true);

    assert_eq!(orders, []);
    assert_eq!(later, []);
    assert!(!issuer.holds(at(START + 10), 7));
    let released = (FIRST_KEYS, 5, Name::from(""));
    assert_eq!(issuer.allotment.released(), [released]);
}

/// Guards against a hold that outlasts the wait of the leader: the process was
/// suspended between its decision for the call and the write, so that the hold
/// counts from a late arrival. Meanwhile the leader may have given the range away.
#[rstest]
fn a_grant_that_was_held_up_is_taken_back(
    #[values(done(), Response::Unknown)] response: Response,
    #[values(false, true)] is_reassigned: bool,
) {
    let owner = owner("i-1", 1);
    let mut issuer = issuer(&owner, &granted(&owner));
    let order = only_order(&mut issuer, START);

    issuer.settle(at(START + 5_000), order.id, response);
    if is_reassigned {
        issuer.allotment.update(9, State::default().keyspaces());
    }
    let recall = only_order(&mut issuer, START + 5_200);

    assert!(!issuer.holds(at(START + 5_001), 7));
    let fence = 5;
    let span = FIRST_KEYS;
    assert_eq!(recall.call, Call::Release { span, fence });
}

/// Guards against a handover text that the next holder does not get because the
/// first call with it was lost.
#[test]
fn the_handover_text_is_sent_with_each_call_for_its_grant() {
    let (first, second) = (owner("i-1", 1), owner("i-2", 1));
    let mut state = granted(&first);
    moved(6, &mut state, FIRST_KEYS);
    let released = vec![(FIRST_KEYS, 5, Name::from("text"))];
    state.apply(
        7,
        Command::Release {
            pool: pool(),
            owner: first,
            released,
        },
    );
    let mut issuer = issuer(&second, &state);

    let lost = only_order(&mut issuer, START);
    issuer.settle(at(START + 400), lost.id, Response::Unknown);
    let again = only_order(&mut issuer, START + 500);

    for order in [lost, again] {
        let Call::Grant {
            fence, handover, ..
        } = order.call
        else {
            panic!("{order:?} is no grant");
        };
        assert_eq!((fence, handover.as_str()), (7, "text"));
    }
}
