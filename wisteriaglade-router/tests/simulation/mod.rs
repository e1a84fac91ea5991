//! A deterministic event simulation of one router in front of one fake target.

#![allow(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss,
    reason = "the numbers of a simulation are small and not negative"
)]

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, VecDeque},
    ops::Range,
    time::Duration,
};

use rand::{RngExt, SeedableRng, rngs::StdRng};
use wisteriaglade_router::{
    Arrival, Capacity, Config, Effect, Event, Finish, Length, Report, Router,
};
use wisteriaglade_types::{Hash, Name};

use crate::support::{MS, arrival, capacity, finish};

/// A stream of requests with exponential gaps.
#[derive(Debug, Clone)]
pub struct Stream {
    pub member: &'static str,
    pub length: Length,
    /// The mean number of requests per second.
    pub rate: f64,
    /// The mean service time.
    pub work: Duration,
    /// Whether all service times equal the mean. Otherwise they are
    /// exponentially distributed.
    pub fixed: bool,
    /// The time from the arrival to the deadline of a request.
    pub deadline: Duration,
    /// The period in which requests arrive.
    pub period: Range<Duration>,
    /// The number of distinct keys.
    pub keys: u64,
}

impl Default for Stream {
    fn default() -> Self {
        Self {
            member: "llewellyn",
            length: Length::Short,
            rate: 100.0,
            work: 10 * MS,
            fixed: false,
            deadline: 2000 * MS,
            period: Duration::ZERO..20_000 * MS,
            keys: 1 << 40,
        }
    }
}

/// The behaviour of the fake target. Requests beyond its slots queue inside it.
#[derive(Debug, Clone, Default)]
pub struct Target {
    /// The number of requests that it works on at once.
    pub slots: u32,
    /// The number of slots that it announces.
    pub announced: u32,
    /// The concurrency from which it sheds requests, and the period in which it
    /// does.
    pub shed: Option<(usize, Range<Duration>)>,
    /// A factor for the service times of requests that start in a period.
    pub slow: Option<(f64, Range<Duration>)>,
    /// The period in which it answers nothing. Answers due in it are sent at
    /// its end.
    pub frozen: Range<Duration>,
    /// The reports that it sends every 100 ms.
    pub report: Option<Reports>,
}

/// The load reports of the fake target.
#[derive(Debug, Clone, Copy)]
pub enum Reports {
    /// The actual load.
    Actual,
    /// The same report at all times.
    Fixed(Report),
}

impl Target {
    pub fn new(slots: u32) -> Self {
        Self {
            slots,
            announced: slots,
            ..Self::default()
        }
    }
}

/// One request and its result.
#[derive(Debug, Clone, Default)]
pub struct Record {
    pub stream: usize,
    pub arrived: Duration,
    pub deadline: Duration,
    pub work: Duration,
    pub dispatched: bool,
    pub refused: bool,
    pub shed: bool,
    pub answered: Option<Duration>,
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
#[derive(Debug, Default)]
pub struct Run {
    pub records: Vec<Record>,
    /// The changes of the concurrency limit.
    pub limits: Vec<(Duration, u32)>,
    /// The changes of the number of connections to keep open.
    pub connections: Vec<(Duration, u32)>,
    /// When the target became suspect (`true`) and recovered (`false`).
    pub suspects: Vec<(Duration, bool)>,
}

impl Run {
    pub fn requests_of(&self, stream: usize) -> impl Iterator<Item = &Record> {
        self.records.iter().filter(move |r| r.stream == stream)
    }

    pub fn on_time(&self, stream: usize) -> usize {
        self.requests_of(stream).filter(|r| r.on_time()).count()
    }

    /// The utilization in a period: the service time of the requests that
    /// arrived in it and were answered on time, divided by the time of all
    /// slots.
    pub fn utilization(&self, slots: u32, period: &Range<Duration>) -> f64 {
        let used = |r: &&Record| period.contains(&r.arrived) && r.on_time();
        let work: Duration = self.records.iter().filter(used).map(|r| r.work).sum();
        work.as_secs_f64() / (f64::from(slots) * length(period))
    }

    /// The number of requests that were dispatched and not answered on time.
    /// Their callers do not know whether the work ran.
    pub fn wasted(&self) -> usize {
        let wasted = |r: &&Record| r.dispatched && !r.on_time();
        self.records.iter().filter(wasted).count()
    }

    /// The mean limit over a period.
    pub fn limit(&self, period: &Range<Duration>) -> f64 {
        let next = self.limits.iter().skip(1).map(|(at, _)| *at);
        let ends = next.chain([period.end]);
        let parts = self.limits.iter().zip(ends).map(|((start, limit), end)| {
            let part = *start.max(&period.start)..end.min(period.end);
            f64::from(*limit) * length(&part)
        });
        parts.sum::<f64>() / length(period)
    }

    /// A quantile of the latency of the answered requests of a stream.
    pub fn quantile(&self, stream: usize, quantile: f64) -> Duration {
        let mut all: Vec<_> = self
            .requests_of(stream)
            .filter_map(Record::latency)
            .collect();
        all.sort();
        all[((all.len() - 1) as f64 * quantile) as usize]
    }

    fn apply(&mut self, now: Duration, effect: &Effect, fake: &mut Fake, target: &Target) {
        match *effect {
            Effect::Dispatch { request, .. } => {
                let record = &mut self.records[request.get() as usize];
                assert!(!record.refused && !record.dispatched, "{effect:?}");
                record.dispatched = true;
                fake.accept(now, request.get(), target);
            }
            Effect::Refuse { request, .. } => {
                let record = &mut self.records[request.get() as usize];
                assert!(!record.refused && !record.dispatched, "{effect:?}");
                record.refused = true;
            }
            Effect::Cancel { request, .. } => fake.end(request.get(), Finish::Cancelled),
            Effect::Prewarm { connections } => self.connections.push((now, connections)),
            Effect::Suspect => self.suspects.push((now, true)),
            Effect::Recovered => self.suspects.push((now, false)),
        }
    }
}

fn length(period: &Range<Duration>) -> f64 {
    period.end.saturating_sub(period.start).as_secs_f64()
}

/// Generates the requests of all streams at random from a seed.
fn generate(streams: &[Stream], seed: u64) -> Vec<Record> {
    let mut records = Vec::new();
    for (stream, s) in streams.iter().enumerate() {
        let mut random = StdRng::seed_from_u64(seed * 1000 + stream as u64);
        let mut exponential = |mean: f64| {
            let seconds = -mean * (1.0 - random.random::<f64>()).ln();
            Duration::from_secs_f64(seconds)
        };
        let mut arrived = s.period.start + exponential(1.0 / s.rate);
        while arrived < s.period.end {
            let work = exponential(s.work.as_secs_f64());
            records.push(Record {
                stream,
                arrived,
                deadline: arrived + s.deadline,
                work: if s.fixed { s.work } else { work },
                ..Record::default()
            });
            arrived += exponential(1.0 / s.rate);
        }
    }
    records
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    Arrive(u128),
    Done(u128),
    Report,
    Tick,
}

type Steps = BinaryHeap<Reverse<(Duration, Step)>>;

/// Simulates the streams and the target until all requests have ended.
pub fn run(config: Config, target: &Target, streams: &[Stream], seed: u64) -> Run {
    let mut run = Run {
        records: generate(streams, seed),
        ..Run::default()
    };
    let arrivals = run.records.iter().zip(0..);
    let mut steps: Steps = arrivals
        .map(|(r, id)| Reverse((r.arrived, Step::Arrive(id))))
        .collect();
    let reports = target.report.iter().flat_map(|_| 0..200);
    steps.extend(reports.map(|i| Reverse((i * 100 * MS, Step::Report))));
    let mut router = Router::new(config);
    let mut fake = Fake::default();
    let mut effects = Vec::new();
    let announced = Capacity {
        slots: target.announced,
        ..capacity(1)
    };
    router.step(Duration::ZERO, Event::Target(Some(announced)), &mut effects);
    while let Some(Reverse((now, step))) = steps.pop() {
        let event = match step {
            Step::Arrive(id) => arrive(&run.records[id as usize], id, streams),
            Step::Done(id) => {
                let Some(result) = fake.done(id) else {
                    continue;
                };
                let record = &mut run.records[id as usize];
                record.answered = (result == Finish::Served).then_some(now);
                record.shed = matches!(result, Finish::Shed { .. });
                finish(id, result)
            }
            Step::Report => Event::Report(fake.report(target)),
            Step::Tick => Event::Tick,
        };
        router.step(now, event, &mut effects);
        for effect in effects.drain(..) {
            run.apply(now, &effect, &mut fake, target);
        }
        fake.start(now, target, &run.records, &mut steps);
        let wake = router.wake().unwrap_or(Duration::MAX);
        assert!(wake > now, "wake {wake:?} is not after {now:?}");
        if steps.peek().is_some_and(|Reverse((next, _))| wake < *next) {
            steps.push(Reverse((wake, Step::Tick)));
        }
        let limit = router.summary().limit;
        if run.limits.last().is_none_or(|(_, last)| *last != limit) {
            run.limits.push((now, limit));
        }
    }
    assert!(run.records.iter().all(|r| r.refused || r.dispatched));
    run
}

fn arrive(record: &Record, id: u128, streams: &[Stream]) -> Event {
    let s = &streams[record.stream];
    Event::Arrive(Arrival {
        member: Name::from(s.member),
        route: record.stream as u32,
        // The arrival time in nanoseconds serves as a random key.
        key: Hash::new(record.arrived.as_nanos() as u64 % s.keys),
        length: s.length,
        deadline: record.deadline,
        ..arrival(id)
    })
}

/// The state of the fake target.
#[derive(Debug, Default)]
struct Fake {
    /// The requests inside the target, and how each one will end.
    inside: BTreeMap<u128, Finish>,
    /// Requests that wait for a slot, in order of arrival.
    queue: VecDeque<u128>,
    /// Requests in slots.
    working: Vec<u128>,
    /// Requests that were shed or cancelled since the last step.
    ended: Vec<u128>,
}

impl Fake {
    fn accept(&mut self, now: Duration, id: u128, target: &Target) {
        let full =
            |(n, period): &(usize, Range<_>)| self.inside.len() >= *n && period.contains(&now);
        let shed = target.shed.as_ref().is_some_and(full);
        self.inside.insert(id, Finish::Served);
        if shed {
            let retry_after = Some(100 * MS);
            self.end(id, Finish::Shed { retry_after });
        } else {
            self.queue.push_back(id);
        }
    }

    fn end(&mut self, id: u128, result: Finish) {
        if let Some(end) = self.inside.get_mut(&id) {
            *end = result;
            self.ended.push(id);
        }
    }

    fn report(&self, target: &Target) -> Report {
        if let Some(Reports::Fixed(report)) = target.report {
            return report;
        }
        Report {
            running: self.working.len() as u32,
            queued: self.queue.len() as u32,
            healthy: true,
        }
    }

    fn done(&mut self, id: u128) -> Option<Finish> {
        self.working.retain(|w| *w != id);
        self.queue.retain(|w| *w != id);
        self.inside.remove(&id)
    }

    fn start(&mut self, now: Duration, target: &Target, records: &[Record], steps: &mut Steps) {
        let ended = self.ended.drain(..);
        steps.extend(ended.map(|id| Reverse((now + MS / 100, Step::Done(id)))));
        while self.working.len() < target.slots as usize
            && let Some(id) = self.queue.pop_front()
        {
            let slow = target
                .slow
                .iter()
                .filter(|(_, period)| period.contains(&now));
            let factor: f64 = slow.map(|(factor, _)| factor).product();
            let end = now + records[id as usize].work.mul_f64(factor);
            let frozen = target.frozen.contains(&end);
            let end = if frozen { target.frozen.end } else { end };
            self.working.push(id);
            steps.push(Reverse((end, Step::Done(id))));
        }
    }
}
