//! The order in which one slot serves members and callers.

use std::time::Duration;

use rstest::rstest;
use wisteriaglade_router::{
    Arrival, Capacity, Config, Effect, Event, Finish, Length, Reason, Router,
};
use wisteriaglade_types::{Hash, Name, Request};

const MS: Duration = Duration::from_millis(1);

/// A router with one slot, and the service time of each member.
struct Slot {
    router: Router,
    now: Duration,
    next: u128,
    running: Option<(Request, &'static str)>,
    waiting: Vec<(Request, &'static str)>,
    refused: Vec<Reason>,
}

impl Slot {
    fn new(config: Config) -> Self {
        let mut slot = Self {
            router: Router::new(config),
            now: Duration::ZERO,
            next: 0,
            running: None,
            waiting: Vec::new(),
            refused: Vec::new(),
        };
        let capacity = Capacity {
            slots: 1,
            connections: 1,
            cold_start: Duration::ZERO,
        };
        slot.step(Event::Target(Some(capacity)));
        slot
    }

    fn step(&mut self, event: Event) {
        let mut effects = Vec::new();
        self.router.step(self.now, event, &mut effects);
        for effect in effects {
            match effect {
                Effect::Dispatch { request, .. } => {
                    let at = self.waiting.iter().position(|(id, _)| *id == request);
                    self.running = Some(self.waiting.remove(at.unwrap()));
                }
                Effect::Refuse { reason, .. } => self.refused.push(reason),
                _ => {}
            }
        }
    }

    /// Adds requests of `member/caller`.
    fn arrive(&mut self, who: &'static str, weight: u32, count: u32) {
        let (member, caller) = who.split_once('/').unwrap();
        for _ in 0..count {
            let request = Request::new(self.next);
            self.next += 1;
            self.waiting.push((request, who));
            self.step(Event::Arrive(Arrival {
                request,
                member: Name::from(member),
                caller: Name::from(caller),
                route: 1,
                key: Hash::new(1),
                weight,
                length: Length::Short,
                deadline: self.now + 600_000 * MS,
            }));
        }
    }

    /// Ends the running request `count` times, each after the given work, and
    /// returns whose requests these were.
    fn serve(&mut self, count: usize, work: fn(&str) -> Duration) -> Vec<&'static str> {
        let mut served = Vec::new();
        for _ in 0..count {
            let (request, who) = self.running.take().expect("a request runs");
            served.push(who);
            self.now += work(who);
            let result = Finish::Served;
            self.step(Event::Finish { request, result });
        }
        served
    }
}

fn even(_: &str) -> Duration {
    10 * MS
}

fn count(served: &[&str], who: &str) -> usize {
    served.iter().filter(|w| **w == who).count()
}

/// Guards against shares that do not follow the weights, between members and
/// between callers, whoever arrived first and whoever asks for more.
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
    slot.serve(2, even);

    let served = slot.serve(served, even);

    let got = count(&served, second.0);
    assert!(got.abs_diff(share) <= 1, "{got} of {share}: {served:?}");
}

/// Guards against fairness by counts: a member whose requests take three times
/// as long gets as much busy time as the other, not as many requests.
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

/// Guards against an idle member that collects credit and then holds up the
/// others, and against a lent share that is not returned with the next free
/// slot.
#[test]
fn an_idle_member_has_no_credit_and_gets_its_share_at_once() {
    let mut slot = Slot::new(Config::default());
    slot.arrive("a/x", 1, 150);
    slot.serve(100, even);

    slot.arrive("b/x", 1, 30);
    let served = slot.serve(21, even);

    // The first of them was running when the other member came.
    assert_eq!(served[1], "b/x", "{served:?}");
    assert!(count(&served, "b/x").abs_diff(10) <= 1, "{served:?}");
}

/// Guards against a caller that escapes its share by using many names: beyond
/// the bound, callers share one queue.
#[test]
fn the_number_of_callers_is_bounded() {
    let config = Config {
        callers: 2,
        ..Config::default()
    };
    let mut slot = Slot::new(config);
    slot.arrive("a/x", 1, 40);
    slot.arrive("a/y", 1, 40);
    for who in ["a/1", "a/2", "a/3", "a/4"] {
        slot.arrive(who, 1, 10);
    }

    let served = slot.serve(31, even);

    let own = count(&served, "a/x") + count(&served, "a/y");
    assert!(own.abs_diff(20) <= 1, "{served:?}");
    assert_eq!(slot.refused, []);
}
