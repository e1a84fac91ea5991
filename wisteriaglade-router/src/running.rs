//! The set of dispatched requests.

use std::{collections::BTreeMap, time::Duration};

use wisteriaglade_types::Request;

use crate::{Class, job::Job};

/// The requests that run at the target. The concurrency limit bounds their
/// number to the connections of the target.
#[derive(Debug, Default)]
pub(crate) struct Running {
    jobs: BTreeMap<Request, Job>,
    /// The number of requests of each class.
    counts: [u32; 2],
}

impl Running {
    pub(crate) fn insert(&mut self, job: Job) {
        self.counts[job.class.index()] += 1;
        self.jobs.insert(job.waiting.request(), job);
    }

    pub(crate) fn remove(&mut self, request: Request) -> Option<Job> {
        let job = self.jobs.remove(&request)?;
        self.counts[job.class.index()] -= 1;
        Some(job)
    }

    pub(crate) fn contains(&self, request: Request) -> bool {
        self.jobs.contains_key(&request)
    }

    pub(crate) fn get_mut(&mut self, request: Request) -> Option<&mut Job> {
        self.jobs.get_mut(&request)
    }

    pub(crate) const fn total(&self) -> u32 {
        self.counts[0] + self.counts[1]
    }

    pub(crate) const fn count(&self, class: Class) -> u32 {
        self.counts[class.index()]
    }

    pub(crate) fn jobs(&self) -> impl Iterator<Item = &Job> {
        self.jobs.values()
    }

    /// Marks the requests whose deadline has passed as cancelled and returns
    /// those that were not cancelled before.
    pub(crate) fn cancel_overdue(&mut self, now: Duration) -> Vec<Request> {
        let matching = self
            .jobs
            .values_mut()
            .filter(|job| !job.cancelled && job.waiting.arrival.deadline <= now);
        matching
            .map(|job| {
                job.cancelled = true;
                job.waiting.request()
            })
            .collect()
    }

    /// Changes the class of the short requests that have run for at least
    /// `limit` to long, and returns them.
    pub(crate) fn reclassify(&mut self, now: Duration, limit: Duration) -> Vec<Request> {
        let matching = self
            .jobs
            .values_mut()
            .filter(|job| job.class == Class::Short && now.saturating_sub(job.started) >= limit);
        let matching = matching.map(|job| {
            job.class = Class::Long;
            job.waiting.request()
        });
        let matching = matching.collect::<Vec<_>>();
        for _ in &matching {
            self.counts[Class::Short.index()] -= 1;
            self.counts[Class::Long.index()] += 1;
        }
        matching
    }

    /// Returns the earliest deadline of the requests that were not cancelled.
    pub(crate) fn next_deadline(&self) -> Option<Duration> {
        let active = self.jobs.values().filter(|job| !job.cancelled);
        active.map(|job| job.waiting.arrival.deadline).min()
    }

    /// Returns when the first short request will have run for `limit`.
    pub(crate) fn next_reclassification(&self, limit: Duration) -> Option<Duration> {
        let short = self.jobs.values().filter(|job| job.class == Class::Short);
        short.map(|job| job.started + limit).min()
    }
}
