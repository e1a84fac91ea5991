//! Expected service times.

use std::{collections::BTreeMap, time::Duration};

use crate::{Arrival, Class, Length, job::Job, sketch::Sketch, window::Window};

/// Work that runs for this multiple of the median short service time counts as
/// long. Exponentially distributed work exceeds it in 1.6% of the cases; work
/// that is 30 times as long exceeds it after a fifth of its run.
const LONG: u32 = 6;

/// Short answers that must have been seen before work is reclassified.
const WARM_UP: usize = 8;

/// Routes with a learned fraction of long work.
const ROUTES: usize = 1024;

/// The least weight of a new observation of a route. The first observations
/// weigh more: each long request that is taken for short before the route is
/// known holds a slot of short work.
const GAIN: f64 = 0.05;

/// What is known about a route with learned lengths.
#[derive(Debug, Default)]
struct Route {
    /// The fraction of long work.
    long: f64,
    /// The weight of the observations, at most the inverse of [`GAIN`].
    weight: f64,
}

/// Learns how long short work, long work, and work by route and key takes.
#[derive(Debug)]
pub(crate) struct Lengths {
    short: Window,
    long: Window,
    sketch: Sketch,
    routes: BTreeMap<u32, Route>,
}

impl Lengths {
    pub(crate) fn new() -> Self {
        Self {
            short: Window::default(),
            long: Window::default(),
            sketch: Sketch::new(),
            routes: BTreeMap::new(),
        }
    }

    /// The class of a new request. A key that was not seen before has the
    /// class of most work of its route.
    pub(crate) fn class(&self, arrival: &Arrival) -> Class {
        let long = match arrival.length {
            Length::Short => false,
            Length::Long => true,
            Length::Learned => match self.sketch.estimate(arrival.route, arrival.key) {
                Some(mean) => self.threshold().is_some_and(|limit| mean >= limit),
                None => self
                    .routes
                    .get(&arrival.route)
                    .is_some_and(|r| r.long > 0.5),
            },
        };
        if long { Class::Long } else { Class::Short }
    }

    /// The expected service time of a class; zero before the first answer.
    pub(crate) fn expected(&self, class: Class) -> Duration {
        let short = self.short.mean().unwrap_or_default();
        match class {
            Class::Short => short,
            Class::Long => self.long.mean().unwrap_or(short * LONG),
        }
    }

    /// The longest recent service time of long work.
    pub(crate) fn longest(&self) -> Duration {
        self.long.longest()
    }

    /// The estimated service time of short work.
    pub(crate) const fn service(&self) -> Option<Duration> {
        self.short.mean()
    }

    /// How long work runs before it counts as long.
    pub(crate) fn threshold(&self) -> Option<Duration> {
        let median = self.short.median()?;
        (self.short.len() >= WARM_UP).then_some(median * LONG)
    }

    /// Records the service time of a request that was answered.
    pub(crate) fn observe(&mut self, job: &Job, busy: Duration) {
        // Reclassified work counts here as well: the median ignores a minority
        // of stragglers, and when all work became slower it must follow.
        if job.waiting.class == Class::Short {
            self.short.push(busy);
        }
        if job.class == Class::Long {
            self.long.push(busy);
        }
        self.learn(job, busy);
    }

    /// Records that short work has run for so long that it counts as long now.
    /// Other requests of the key must not wait for its end to be recognized.
    pub(crate) fn observe_late(&mut self, arrival: &Arrival, busy: Duration) {
        if arrival.length == Length::Learned {
            self.sketch.observe(arrival.route, arrival.key, busy);
            self.learn_route(arrival.route, 1.0);
        }
    }

    /// Records the busy time of a request that was cancelled. It is a lower
    /// bound and says something only when it is long. Leaving it out would let
    /// the estimates of a target that became slow rest on its fastest answers.
    pub(crate) fn observe_cancelled(&mut self, job: &Job, busy: Duration) {
        let short = job.waiting.class == Class::Short;
        if short && self.short.median().is_some_and(|usual| busy > usual) {
            self.short.push(busy);
        }
        if self.threshold().is_some_and(|limit| busy >= limit) {
            self.learn(job, busy);
        }
    }

    fn learn(&mut self, job: &Job, busy: Duration) {
        let arrival = &job.waiting.arrival;
        if arrival.length != Length::Learned {
            return;
        }
        self.sketch.observe(arrival.route, arrival.key, busy);
        let reclassified = job.class != job.waiting.class;
        if let Some(limit) = self.threshold().filter(|_| !reclassified) {
            let long = if busy >= limit { 1.0 } else { 0.0 };
            self.learn_route(arrival.route, long);
        }
    }

    fn learn_route(&mut self, route: u32, long: f64) {
        if self.routes.len() >= ROUTES && !self.routes.contains_key(&route) {
            return;
        }
        let route = self.routes.entry(route).or_default();
        route.weight = (route.weight + 1.0).min(1.0 / GAIN);
        route.long += (long - route.long) / route.weight;
    }
}
