//! Tests of the order in which one slot serves members and callers.

mod support;

use std::time::Duration;

use rstest::rstest;
use support::{MS, arrival, capacity, finish};
use wisteriaglade_router::{Arrival, Capacity, Config, Effect, Event, Finish, Router};
use wisteriaglade_types::Name;

/// A router in front of a target with one slot. The id of a request is its
/// index in `requests`.
struct Slot {
    router: Router,
    now: Duration,
    /// The `member/caller` of each request.
    requests: Vec<&'static str>,
    /// The id of the request in the slot.
    running: u128,
}

impl Slot {
    fn new(config: Config) -> Self {
        let mut slot = Self {
            router: Router::new(config),
            now: Duration::ZERO,
            requests: Vec::new(),
            running: 0,
        };
        // One connection keeps the limit at one.
        slot.step(Event::Target(Some(Capacity {
            connections: 1,
            ..capacity(1)
        })));
        slot
    }

    fn step(&mut self, event: Event) {
        let mut effects = Vec::new();
        self.router.step(self.now, event, &mut effects);
        for effect in effects {
            match effect {
                Effect::Dispatch { request, .. } => self.running = request.get(),
                Effect::Refuse { .. } => panic!("{effect:?}"),
                _ => {}
            }
        }
    }

    /// Adds `count` requests of `who`, which is `member/caller`.
    fn arrive(&mut self, who: &'static str, weight: u32, count: u32) {
        let (member, caller) = who.split_once('/').unwrap();
        for _ in 0..count {
            let id = self.requests.len() as u128;
            self.requests.push(who);
            self.step(Event::Arrive(Arrival {
                member: Name::from(member),
                caller: Name::from(caller),
                weight,
                deadline: self.now + 600_000 * MS,
                ..arrival(id)
            }));
        }
    }

    /// Ends `count` requests, each after the service time that `work` returns
    /// for its `member/caller`. Returns the `member/caller` of each.
    fn serve(&mut self, count: usize, work: fn(&str) -> Duration) -> Vec<&'static str> {
        let mut served = Vec::new();
        for _ in 0..count {
            let who = self.requests[usize::try_from(self.running).unwrap()];
            served.push(who);
            self.now += work(who);
            self.step(finish(self.running, Finish::Served));
        }
        served
    }
}

fn constant_time(_: &str) -> Duration {
    10 * MS
}

fn count(served: &[&str], who: &str) -> usize {
    served.iter().filter(|w| **w == who).count()
}

/// Guards against shares that depend on the order of arrival or on the demand
/// instead of the weights, among members and among callers.
#[rstest]
#[case::equal_members(("a/x", 1, 200), ("b/x", 1, 40), 40, 20)]
#[case::weights(("a/x", 1, 200), ("b/x", 3, 60), 40, 30)]
#[case::callers_of_one_member(("a/x", 1, 200), ("a/y", 1, 40), 40, 20)]
fn shares_follow_weights(
    #[case] first: (&'static str, u32, u32),
    #[case] second: (&'static str, u32, u32),
    #[case] served: usize,
    #[case] share: usize,
) {
    let mut slot = Slot::new(Config::default());
    for (who, weight, number) in [first, second] {
        slot.arrive(who, weight, number);
    }
    slot.serve(2, constant_time);

    let served = slot.serve(served, constant_time);

    let got = count(&served, second.0);
    assert!(got.abs_diff(share) <= 1, "{got} of {share}: {served:?}");
}

/// Guards against shares in numbers of requests: a member whose requests take
/// three times as long must get the same busy time as the other member.
#[test]
fn shares_are_busy_time() {
    let mut slot = Slot::new(Config::default());
    slot.arrive("a/x", 1, 200);
    slot.arrive("b/x", 1, 200);
    let work = |who: &str| if who == "a/x" { 30 * MS } else { 10 * MS };

    let served = slot.serve(120, work);

    let (a, b) = (count(&served, "a/x"), count(&served, "b/x"));
    assert!((28..=32).contains(&a), "30 of 120 expected: {a} and {b}");
}

/// Guards against an idle member that collects credit and then delays the
/// others, and against a returning member that does not get its share from the
/// next free slot on.
#[test]
fn an_idle_member_has_no_credit_and_gets_its_share_at_once() {
    let mut slot = Slot::new(Config::default());
    slot.arrive("a/x", 1, 150);
    slot.serve(100, constant_time);

    slot.arrive("b/x", 1, 30);
    let served = slot.serve(21, constant_time);

    // The first request was already running when the other member's arrived.
    assert_eq!(served[1], "b/x", "{served:?}");
    assert!(count(&served, "b/x").abs_diff(10) <= 1, "{served:?}");
}

/// Guards against a caller that gets more than its share by using many names.
/// Beyond the limit, callers share one queue.
#[test]
fn the_number_of_callers_is_bounded() {
    let config = Config {
        max_callers_per_member: 2,
        ..Config::default()
    };
    let mut slot = Slot::new(config);
    slot.arrive("a/x", 1, 40);
    slot.arrive("a/y", 1, 40);
    for who in ["a/1", "a/2", "a/3", "a/4"] {
        slot.arrive(who, 1, 10);
    }

    let served = slot.serve(31, constant_time);

    let own = count(&served, "a/x") + count(&served, "a/y");
    assert!(own.abs_diff(20) <= 1, "{served:?}");
}
