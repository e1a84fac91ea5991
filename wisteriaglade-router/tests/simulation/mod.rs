//! A deterministic loop: one router in front of one fake target.

#![allow(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss,
    reason = "the numbers of a simulation are small and not negative"
)]

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, VecDeque},
    time::Duration,
};

use rand::{RngExt, SeedableRng, rngs::StdRng};
use wisteriaglade_router::{
    Arrival, Capacity, Config, Effect, Event, Finish, Length, Reason, Report, Router,
};
use wisteriaglade_types::{Hash, Name, Request};

pub const MS: Duration = Duration::from_millis(1);

/// A stream of requests with exponential gaps.
#[derive(Debug, Clone)]
pub struct Stream {
    pub member: &'static str,
    pub caller: &'static str,
    pub weight: u32,
    pub length: Length,
    /// Requests per second.
    pub rate: f64,
    /// Mean service time.
    pub work: Duration,
    /// Whether all service times equal the mean; exponential otherwise.
    pub fixed: bool,
    pub deadline: Duration,
    pub from: Duration,
    pub to: Duration,
    /// Distinct keys.
    pub keys: u64,
}

impl Default for Stream {
    fn default() -> Self {
        Self {
            member: "llewellyn",
            caller: "shop",
            weight: 1,
            length: Length::Short,
            rate: 100.0,
            work: 10 * MS,
            fixed: false,
            deadline: 2000 * MS,
            from: Duration::ZERO,
            to: 20_000 * MS,
            keys: 1 << 40,
        }
    }
}

/// The behaviour of the fake target. More requests than slots wait inside it.
#[derive(Debug, Clone)]
pub struct Target {
    pub slots: usize,
    pub announced: u32,
    /// Sheds requests from this concurrency on, in this period.
    pub shed: Option<(usize, Duration, Duration)>,
    /// Multiplies service times that start in this period.
    pub slow: Option<(f64, Duration, Duration)>,
    /// Answers nothing in this period; answers due in it come at its end.
    pub frozen: Option<(Duration, Duration)>,
    /// What is reported every 100 ms.
    pub report: Option<Reports>,
}

/// The load reports of the fake target.
#[derive(Debug, Clone, Copy)]
pub enum Reports {
    /// What really happens.
    Honest,
    /// The same whatever really happens.
    Always(Report),
}

impl Target {
    pub fn new(slots: u32) -> Self {
        Self {
            slots: slots as usize,
            announced: slots,
            shed: None,
            slow: None,
            frozen: None,
            report: None,
        }
    }
}

/// What became of one request.
#[derive(Debug, Clone)]
pub struct Record {
    pub stream: usize,
    pub arrived: Duration,
    pub deadline: Duration,
    pub work: Duration,
    pub dispatched: Option<Duration>,
    pub answered: Option<Duration>,
    pub refused: Option<(Reason, Duration)>,
    pub shed: bool,
    decisions: u32,
}

impl Record {
    pub fn on_time(&self) -> bool {
        self.answered.is_some_and(|at| at <= self.deadline)
    }

    pub fn latency(&self) -> Option<Duration> {
        self.answered?.checked_sub(self.arrived)
    }
}

/// The result of one run.
#[derive(Debug)]
pub struct Run {
    pub records: Vec<Record>,
    pub router: Router,
    /// Changes of the limit, of the connections and of suspicion.
    pub limits: Vec<(Duration, u32)>,
    pub warm: Vec<(Duration, u32)>,
    pub suspects: Vec<(Duration, bool)>,
    pub longest_long: u32,
}

impl Run {
    pub fn of(&self, stream: usize) -> impl Iterator<Item = &Record> {
        self.records.iter().filter(move |r| r.stream == stream)
    }

    pub fn on_time(&self, stream: usize) -> usize {
        self.of(stream).filter(|r| r.on_time()).count()
    }

    /// The work of the requests that arrived in a period and were answered on
    /// time, in units of what the slots can do in the period.
    pub fn used(&self, slots: u32, from: Duration, to: Duration) -> f64 {
        let period = self
            .records
            .iter()
            .filter(|r| (from..to).contains(&r.arrived));
        let work: Duration = period.filter(|r| r.on_time()).map(|r| r.work).sum();
        work.as_secs_f64() / (f64::from(slots) * to.saturating_sub(from).as_secs_f64())
    }

    /// The requests that were dispatched and not answered on time: their
    /// callers do not know whether the work ran.
    pub fn wasted(&self) -> usize {
        let dispatched = self.records.iter().filter(|r| r.dispatched.is_some());
        dispatched.filter(|r| !r.on_time()).count()
    }

    /// The mean limit over a period.
    pub fn limit(&self, from: Duration, to: Duration) -> f64 {
        let next = self.limits.iter().skip(1).map(|(at, _)| *at);
        let ends = next.chain([to.max(from)]);
        let parts = self.limits.iter().zip(ends).map(|((start, limit), end)| {
            let time = end.min(to).saturating_sub((*start).max(from));
            f64::from(*limit) * time.as_secs_f64()
        });
        parts.sum::<f64>() / to.saturating_sub(from).as_secs_f64()
    }

    /// A quantile of the latency of the answered requests of a stream.
    pub fn quantile(&self, stream: usize, quantile: f64) -> Duration {
        let mut all: Vec<_> = self.of(stream).filter_map(Record::latency).collect();
        all.sort();
        all[((all.len() - 1) as f64 * quantile) as usize]
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    Arrive(usize),
    Done(usize),
    Report,
    Tick,
}

/// Draws the requests of all streams, with their keys.
fn draw(streams: &[Stream], seed: u64) -> (Vec<Record>, Vec<Hash>) {
    let (mut records, mut keys) = (Vec::new(), Vec::new());
    for (stream, s) in streams.iter().enumerate() {
        let mut random = StdRng::seed_from_u64(seed * 1000 + stream as u64);
        let mut gap = |mean: f64| -mean * (1.0 - random.random::<f64>()).ln();
        let mut at = s.from + Duration::from_secs_f64(gap(1.0 / s.rate));
        while at < s.to {
            // Keys are drawn from the gaps, so that one generator is enough.
            keys.push(Hash::new(at.as_nanos() as u64 % s.keys));
            records.push(Record {
                stream,
                arrived: at,
                deadline: at + s.deadline,
                work: if s.fixed {
                    s.work
                } else {
                    Duration::from_secs_f64(gap(s.work.as_secs_f64()))
                },
                dispatched: None,
                answered: None,
                refused: None,
                shed: false,
                decisions: 0,
            });
            at += Duration::from_secs_f64(gap(1.0 / s.rate));
        }
    }
    (records, keys)
}

/// Runs streams against a target until all requests have ended.
pub fn run(config: Config, target: &Target, streams: &[Stream], seed: u64) -> Run {
    let (records, keys) = draw(streams, seed);
    let mut steps: BinaryHeap<Reverse<(Duration, Step)>> = BinaryHeap::new();
    steps.extend((0..records.len()).map(|i| Reverse((records[i].arrived, Step::Arrive(i)))));
    let end = streams.iter().map(|s| s.to).max().unwrap_or_default();
    if target.report.is_some() {
        steps.extend(
            (0..)
                .map(|i| i * 100 * MS)
                .take_while(|at| *at < end)
                .map(|at| Reverse((at, Step::Report))),
        );
    }
    let mut run = Run {
        records,
        router: Router::new(config),
        limits: Vec::new(),
        warm: Vec::new(),
        suspects: Vec::new(),
        longest_long: 0,
    };
    let mut fake = Fake::default();
    let mut effects = Vec::new();
    let capacity = Capacity {
        slots: target.announced,
        connections: 110,
        cold_start: Duration::ZERO,
    };
    run.router
        .step(Duration::ZERO, Event::Target(Some(capacity)), &mut effects);
    while let Some(Reverse((now, step))) = steps.pop() {
        let event = match step {
            Step::Arrive(i) => {
                let s = &streams[run.records[i].stream];
                Event::Arrive(Arrival {
                    request: Request::new(i as u128),
                    member: Name::from(s.member),
                    caller: Name::from(s.caller),
                    route: run.records[i].stream as u32,
                    key: keys[i],
                    weight: s.weight,
                    length: s.length,
                    deadline: run.records[i].deadline,
                })
            }
            Step::Done(i) => {
                let Some(result) = fake.done(i) else { continue };
                if result == Finish::Served {
                    run.records[i].answered = Some(now);
                }
                run.records[i].shed |= matches!(result, Finish::Shed { .. });
                Event::Finish {
                    request: Request::new(i as u128),
                    result,
                }
            }
            Step::Report => Event::Report(fake.report(target)),
            Step::Tick => Event::Tick,
        };
        run.router.step(now, event, &mut effects);
        for effect in effects.drain(..) {
            run.apply(now, &effect, &mut fake, target);
        }
        fake.start(now, target, &run.records, &mut steps);
        if let Some(at) = run.router.wake() {
            assert!(at > now, "wake {at:?} is not after {now:?}");
            if steps.peek().is_some_and(|Reverse((next, _))| at < *next) {
                steps.push(Reverse((at, Step::Tick)));
            }
        }
        run.observe(now);
    }
    assert!(
        run.records.iter().all(|r| r.decisions == 1),
        "each arrival gets one decision"
    );
    run
}

impl Run {
    fn apply(&mut self, now: Duration, effect: &Effect, fake: &mut Fake, target: &Target) {
        match *effect {
            Effect::Dispatch { request, .. } => {
                let i = request.get() as usize;
                self.records[i].dispatched = Some(now);
                self.records[i].decisions += 1;
                fake.accept(now, i, target);
            }
            Effect::Refuse {
                request, reason, ..
            } => {
                let record = &mut self.records[request.get() as usize];
                record.refused = Some((reason, now));
                record.decisions += 1;
            }
            Effect::Cancel { request, .. } => fake.cancel(request.get() as usize),
            Effect::Warm { connections } => self.warm.push((now, connections)),
            Effect::Suspect => self.suspects.push((now, true)),
            Effect::Recovered => self.suspects.push((now, false)),
        }
    }

    fn observe(&mut self, now: Duration) {
        let summary = self.router.summary();
        self.longest_long = self.longest_long.max(summary.running_long);
        if self
            .limits
            .last()
            .is_none_or(|(_, limit)| *limit != summary.limit)
        {
            self.limits.push((now, summary.limit));
        }
    }
}

#[derive(Debug, Default)]
struct Fake {
    inside: BTreeMap<usize, Finish>,
    queue: VecDeque<usize>,
    working: Vec<usize>,
    ended: Vec<usize>,
}

impl Fake {
    fn accept(&mut self, now: Duration, i: usize, target: &Target) {
        let shed = target
            .shed
            .is_some_and(|(n, from, to)| self.inside.len() >= n && (from..to).contains(&now));
        if shed {
            self.inside.insert(
                i,
                Finish::Shed {
                    retry_after: Some(100 * MS),
                },
            );
            self.ended.push(i);
        } else {
            self.inside.insert(i, Finish::Served);
            self.queue.push_back(i);
        }
    }

    fn cancel(&mut self, i: usize) {
        if let Some(result) = self.inside.get_mut(&i) {
            *result = Finish::Cancelled;
            self.ended.push(i);
        }
    }

    fn report(&self, target: &Target) -> Report {
        match target.report {
            Some(Reports::Always(report)) => report,
            Some(Reports::Honest) | None => Report {
                running: self.working.len() as u32,
                queued: self.queue.len() as u32,
                healthy: true,
            },
        }
    }

    fn done(&mut self, i: usize) -> Option<Finish> {
        self.working.retain(|w| *w != i);
        self.queue.retain(|w| *w != i);
        self.inside.remove(&i)
    }

    fn start(
        &mut self,
        now: Duration,
        target: &Target,
        records: &[Record],
        steps: &mut BinaryHeap<Reverse<(Duration, Step)>>,
    ) {
        steps.extend(
            self.ended
                .drain(..)
                .map(|i| Reverse((now + MS / 100, Step::Done(i)))),
        );
        while self.working.len() < target.slots
            && let Some(i) = self.queue.pop_front()
        {
            let slow = target
                .slow
                .filter(|(_, from, to)| (*from..*to).contains(&now));
            let end = now
                + records[i]
                    .work
                    .mul_f64(slow.map_or(1.0, |(factor, ..)| factor));
            let frozen = target
                .frozen
                .filter(|(from, to)| (*from..*to).contains(&end));
            self.working.push(i);
            steps.push(Reverse((frozen.map_or(end, |(_, to)| to), Step::Done(i))));
        }
    }
}
