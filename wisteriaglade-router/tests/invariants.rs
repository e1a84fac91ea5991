//! Invariants that must hold after every step, under random events.

mod support;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use rand::{RngExt, SeedableRng, rngs::StdRng};
use rstest::rstest;
use support::{MS, arrival, finish};
use wisteriaglade_router::{
    Arrival, Capacity, Config, Effect, Event, Finish, Length, Policy, Report, Router,
};
use wisteriaglade_types::{Hash, Name, Request};

/// A driver that generates random events and checks the effects.
#[derive(Default)]
struct Driver {
    now: Duration,
    /// The id of the next request.
    next: u128,
    /// Requests that arrived and were neither dispatched nor refused.
    undecided: BTreeSet<Request>,
    /// Dispatched requests, and whether they were cancelled.
    running: BTreeMap<Request, bool>,
    /// The capacity of the announced target.
    capacity: Option<Capacity>,
    /// When the target started to drain.
    drained: Option<Duration>,
}

impl Driver {
    fn event(&mut self, random: &mut StdRng) -> Event {
        let roll = random.random_range(0..1000);
        match roll {
            0..450 => Event::Arrive(self.arrival(random)),
            450..850 => self.finish(random),
            850..900 => {
                let request = Request::new(random.random_range(0..=self.next));
                Event::Depart { request }
            }
            900..930 => Event::Report(Report {
                running: random.random_range(0..20),
                queued: random.random_range(0..20),
                healthy: random.random(),
            }),
            930..932 => {
                self.drained = self.drained.or(Some(self.now));
                Event::Drain
            }
            932..935 => {
                (self.capacity, self.drained) = (None, None);
                Event::Target(None)
            }
            935..945 => {
                self.capacity = Some(Capacity {
                    slots: random.random_range(0..13),
                    connections: random.random_range(0..20),
                    cold_start: MS * random.random_range(0..200),
                });
                Event::Target(self.capacity)
            }
            _ => Event::Tick,
        }
    }

    fn arrival(&mut self, random: &mut StdRng) -> Arrival {
        let id = self.next;
        self.next += 1;
        self.undecided.insert(Request::new(id));
        let lengths = [Length::Short, Length::Long, Length::Learned];
        Arrival {
            member: Name::from(["a", "b", "c"][random.random_range(0..3)]),
            caller: Name::from(format!("{}", random.random_range(0..9))),
            key: Hash::new(random.random_range(0..50)),
            weight: random.random_range(0..4),
            length: lengths[random.random_range(0..3)],
            deadline: self.now + MS * random.random_range(0..2000),
            ..arrival(id)
        }
    }

    fn finish(&mut self, random: &mut StdRng) -> Event {
        let at = random.random_range(0..=self.running.len());
        let unknown = Request::new(u128::MAX);
        let request = self.running.keys().nth(at).copied().unwrap_or(unknown);
        self.running.remove(&request);
        let result = match random.random_range(0..20) {
            0 => Finish::Shed { retry_after: None },
            1 => Finish::Shed {
                retry_after: Some(MS * random.random_range(0..50)),
            },
            2 => Finish::Failed,
            3 => Finish::Cancelled,
            _ => Finish::Served,
        };
        finish(request.get(), result)
    }

    fn check(&mut self, effects: &[Effect], config: &Config) {
        for effect in effects {
            match effect {
                Effect::Dispatch { request, .. } => {
                    assert!(self.undecided.remove(request), "{effect:?}");
                    assert!(self.capacity.is_some(), "{effect:?} without a target");
                    let left = self
                        .drained
                        .is_some_and(|at| self.now >= at + config.drain_grace);
                    assert!(!left, "{effect:?} after the grace period of the target");
                    self.running.insert(*request, false);
                    let Capacity {
                        slots, connections, ..
                    } = self.capacity.unwrap();
                    let most = (2 * slots.max(1)).min(connections.max(1));
                    assert!(self.running.len() <= most as usize, "{effect:?}");
                }
                Effect::Refuse { request, .. } => {
                    assert!(self.undecided.remove(request), "{effect:?}");
                }
                Effect::Cancel { request, .. } => {
                    let cancelled = self.running.insert(*request, true);
                    assert_eq!(cancelled, Some(false), "{effect:?}");
                }
                Effect::Prewarm { .. } | Effect::Suspect | Effect::Recovered => {}
            }
        }
    }
}

/// Guards against a request with no decision or with two, against the
/// cancellation of a request that does not run, against a dispatch to a target
/// that is absent or whose grace period is over, and against a wake time that
/// is not in the future, with which a driver would loop.
#[rstest]
#[case(Policy::Adaptive)]
#[case(Policy::Baseline)]
fn every_arrival_gets_one_decision(#[case] policy: Policy, #[values(1, 2, 3, 4)] seed: u64) {
    let config = Config {
        policy,
        max_queued: 40,
        max_queued_per_member: 30,
        max_callers_per_member: 4,
        drain_grace: 100 * MS,
        ..Config::default()
    };
    let mut random = StdRng::seed_from_u64(seed);
    let mut router = Router::new(config.clone());
    let mut driver = Driver::default();
    let mut effects = Vec::new();

    for _ in 0..20_000 {
        let late = random.random_range(0..50) == 0;
        driver.now += MS / 10 * random.random_range(0..if late { 2000 } else { 30 });
        let event = driver.event(&mut random);
        router.step(driver.now, event, &mut effects);
        driver.check(&effects, &config);
        effects.clear();

        let summary = router.summary();
        let queued = summary.queued_short + summary.queued_long;
        let running = summary.running_short + summary.running_long;
        assert_eq!(queued, driver.undecided.len());
        assert_eq!(running as usize, driver.running.len());
        assert!(queued <= config.max_queued);
        assert!(router.wake().is_none_or(|at| at > driver.now));
    }

    router.step(driver.now, Event::Target(None), &mut effects);
    driver.check(&effects, &config);
    assert!(driver.undecided.is_empty());
    let usage = router.members().values();
    let dispatched = usage.clone().map(|u| u.dispatched).sum::<u64>();
    let refused = usage.flat_map(|u| u.refused).sum::<u64>();
    assert_eq!(u128::from(dispatched + refused), driver.next);
    assert!(
        dispatched > 1000,
        "{dispatched} of {} dispatched",
        driver.next
    );
}
