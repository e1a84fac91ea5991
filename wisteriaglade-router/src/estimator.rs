//! Estimates of service times, and the classification of requests by them.
//!
//! The router classifies each arrival with [`Estimator`] and reports the busy
//! time of each request that ends.

use std::{collections::BTreeMap, time::Duration};

use crate::{Arrival, Class, Length, job::Job, sketch::Sketch, window::Window};

/// A request that runs for this multiple of the median short service time
/// counts as long. Of exponentially distributed service times, 1.6% exceed it;
/// a request that takes 30 times the median reaches it after a fifth of its
/// run.
const LONG_FACTOR: u32 = 6;

/// The number of short service times that must be known before a request is
/// classified by its busy time.
const MIN_SAMPLES: usize = 8;

/// The most routes for which a fraction of long requests is stored.
const MAX_ROUTES: usize = 1024;

/// The lowest gain of a new observation of a route. The first observations have
/// a higher gain, because until the route is known, each long request that is
/// classified as short occupies a slot of short work.
const MIN_GAIN: f64 = 0.05;

/// The learned length of the requests of one route.
#[derive(Debug, Default)]
struct Route {
    /// The fraction of long requests, from 0 to 1.
    long: f64,
    /// The number of observations, at most the inverse of [`MIN_GAIN`].
    weight: f64,
}

/// Estimates the service times of each class, and of each pair of route and
/// key.
#[derive(Debug)]
pub(crate) struct Estimator {
    short: Window,
    long: Window,
    sketch: Sketch,
    routes: BTreeMap<u32, Route>,
}

impl Estimator {
    pub(crate) fn new() -> Self {
        Self {
            short: Window::default(),
            long: Window::default(),
            sketch: Sketch::new(),
            routes: BTreeMap::new(),
        }
    }

    /// Returns the class of a new request. If the length is learned and the key
    /// is unknown, it is the class of most requests of the route.
    pub(crate) fn classify(&self, arrival: &Arrival) -> Class {
        let long = match arrival.length {
            Length::Short => false,
            Length::Long => true,
            Length::Learned => match self.sketch.estimate(arrival.route, arrival.key) {
                Some(mean) => self.long_threshold().is_some_and(|limit| mean >= limit),
                None => self
                    .routes
                    .get(&arrival.route)
                    .is_some_and(|r| r.long > 0.5),
            },
        };
        if long { Class::Long } else { Class::Short }
    }

    /// Returns the expected service time of a class; zero before the first
    /// answer.
    pub(crate) fn service_time(&self, class: Class) -> Duration {
        let short = self.short.mean().unwrap_or_default();
        match class {
            Class::Short => short,
            Class::Long => self.long.mean().unwrap_or(short * LONG_FACTOR),
        }
    }

    /// Returns the longest recent service time of long requests; zero before
    /// the first answer.
    pub(crate) fn longest_long(&self) -> Duration {
        self.long.longest()
    }

    /// Returns the mean service time of short requests.
    pub(crate) const fn short_service_time(&self) -> Option<Duration> {
        self.short.mean()
    }

    /// Returns the busy time from which a request counts as long, once enough
    /// short service times are known.
    pub(crate) fn long_threshold(&self) -> Option<Duration> {
        let median = self.short.median()?;
        (self.short.len() >= MIN_SAMPLES).then_some(median * LONG_FACTOR)
    }

    /// Records the service time of a request that the target answered.
    pub(crate) fn observe(&mut self, job: &Job, busy: Duration) {
        // Includes requests that were reclassified as long: the median ignores
        // a minority of stragglers, but must rise when all requests get slower.
        if job.waiting.class == Class::Short {
            self.short.push(busy);
        }
        if job.class == Class::Long {
            self.long.push(busy);
        }
        self.learn(job, busy);
    }

    /// Records that a running short request was reclassified as long after
    /// `busy`. Other requests of the key are then classified as long before
    /// this one ends.
    pub(crate) fn observe_overrun(&mut self, arrival: &Arrival, busy: Duration) {
        if arrival.length == Length::Learned {
            self.sketch.observe(arrival.route, arrival.key, busy);
            self.learn_route(arrival.route, 1.0);
        }
    }

    /// Records the busy time of a request that was cancelled. It is a lower
    /// bound of the service time, so only long busy times are used. If they
    /// were ignored, the estimates for a target that became slow would depend
    /// on its fastest answers alone.
    pub(crate) fn observe_cancelled(&mut self, job: &Job, busy: Duration) {
        let short = job.waiting.class == Class::Short;
        if short && self.short.median().is_some_and(|median| busy > median) {
            self.short.push(busy);
        }
        if self.long_threshold().is_some_and(|limit| busy >= limit) {
            self.learn(job, busy);
        }
    }

    /// Updates the estimates of the request's route and key.
    fn learn(&mut self, job: &Job, busy: Duration) {
        let arrival = &job.waiting.arrival;
        if arrival.length != Length::Learned {
            return;
        }
        self.sketch.observe(arrival.route, arrival.key, busy);
        let reclassified = job.class != job.waiting.class;
        if let Some(limit) = self.long_threshold().filter(|_| !reclassified) {
            let long = if busy >= limit { 1.0 } else { 0.0 };
            self.learn_route(arrival.route, long);
        }
    }

    /// Updates the fraction of long requests of a route: `long` is 1 for a long
    /// request and 0 for a short one.
    fn learn_route(&mut self, route: u32, long: f64) {
        if self.routes.len() >= MAX_ROUTES && !self.routes.contains_key(&route) {
            return;
        }
        let route = self.routes.entry(route).or_default();
        route.weight = (route.weight + 1.0).min(1.0 / MIN_GAIN);
        route.long += (long - route.long) / route.weight;
    }
}
