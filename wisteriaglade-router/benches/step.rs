//! Measures the time to schedule one request, which takes one `Arrive` and one
//! `Finish` event, at different queue lengths and numbers of members and
//! callers.

#![allow(missing_docs, reason = "the macro makes an undocumented function")]

use std::{collections::VecDeque, hint::black_box, time::Duration};

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use wisteriaglade_router::{Arrival, Capacity, Config, Effect, Event, Finish, Length, Router};
use wisteriaglade_types::{Hash, Name, Request};

/// The time between two requests.
const GAP: Duration = Duration::from_millis(1);

/// A router with a queue of constant length: each `Finish` dispatches a waiting
/// request, and each `Arrive` adds one.
struct Load {
    router: Router,
    members: Vec<Name>,
    callers: Vec<Name>,
    now: Duration,
    next: usize,
    running: VecDeque<Request>,
    effects: Vec<Effect>,
}

impl Load {
    fn new(queued: usize, members: usize, callers: usize) -> Self {
        let names = |prefix, count| {
            let names = (0..count).map(|i| Name::from(format!("{prefix}-{i}")));
            names.collect::<Vec<_>>()
        };
        let config = Config {
            max_queued: 2 * queued,
            max_queued_per_member: 2 * queued,
            ..Config::default()
        };
        let mut load = Self {
            router: Router::new(config),
            members: names("member", members),
            callers: names("caller", callers),
            now: Duration::ZERO,
            next: 0,
            running: VecDeque::new(),
            effects: Vec::new(),
        };
        let capacity = Capacity {
            slots: 12,
            connections: 12,
            cold_start: Duration::ZERO,
        };
        load.step(Event::Target(Some(capacity)));
        for _ in 0..queued + 12 {
            load.arrive();
        }
        load
    }

    fn step(&mut self, event: Event) {
        self.router.step(self.now, event, &mut self.effects);
        for effect in self.effects.drain(..) {
            if let Effect::Dispatch { request, .. } = effect {
                self.running.push_back(request);
            }
        }
    }

    fn arrive(&mut self) {
        let id = self.next;
        self.next += 1;
        let member = id % self.members.len();
        let caller = id / self.members.len() % self.callers.len();
        self.step(Event::Arrive(Arrival {
            request: Request::new(id as u128),
            member: self.members[member].clone(),
            caller: self.callers[caller].clone(),
            route: 1,
            key: Hash::new(id as u64),
            weight: 1,
            length: Length::Learned,
            deadline: self.now + Duration::from_hours(1),
        }));
    }

    /// Ends the oldest running request and adds a new request.
    fn replace_oldest(&mut self) {
        self.now += GAP;
        if let Some(request) = self.running.pop_front() {
            let result = Finish::Served;
            self.step(Event::Finish { request, result });
        }
        self.arrive();
    }
}

fn step(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("request");
    let cases = [
        (16, 1, 1),
        (128, 1, 1),
        (1024, 1, 1),
        (1024, 8, 1),
        (1024, 64, 1),
        (1024, 1, 64),
        (1024, 8, 64),
    ];
    for (queued, members, callers) in cases {
        let name = format!("{queued} queued, {members} members, {callers} callers each");
        group.bench_function(BenchmarkId::from_parameter(name), |bencher| {
            let mut load = Load::new(queued, members, callers);
            bencher.iter(|| load.replace_oldest());
            black_box(load.router.summary());
        });
    }
    group.finish();
}

criterion_group! {
    name = benches;
    config = Criterion::default()
        .sample_size(10)
        .warm_up_time(Duration::from_millis(300))
        .measurement_time(Duration::from_secs(1));
    targets = step
}
criterion_main!(benches);
