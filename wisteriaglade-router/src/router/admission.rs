//! Admission of new requests: the checks on arrival and their refusals.

use std::time::Duration;

use super::{Router, SHORT_RETRY_AFTER};
use crate::{Arrival, Class, Effect, Reason, waiting::Waiting};

/// The bounds of estimated retry-after times. A retry after less than 10 ms
/// would only add load; an estimate above 10 s is not reliable.
const RETRY_AFTER: [Duration; 2] = [Duration::from_millis(10), Duration::from_secs(10)];

impl Router {
    pub(super) fn arrive(&mut self, now: Duration, arrival: Arrival, effects: &mut Vec<Effect>) {
        if self.queue.contains(arrival.request) || self.running.contains(arrival.request) {
            return;
        }
        self.statistics.entry(&arrival.member).arrivals += 1;
        let (class, expected) = self.classify(now, &arrival);
        let waiting = Waiting {
            class,
            arrived: now,
            expected,
            arrival,
        };
        if let Some(reason) = self.refusal_reason(now) {
            return self.refuse(&waiting, reason, Some(SHORT_RETRY_AFTER), effects);
        }
        let admitted = if self.adaptive() {
            self.check_deadline(now, &waiting, effects)
                && self.check_queue_limits(now, &waiting, effects)
        } else if self.queue.len() >= self.config.max_queued {
            self.refuse(&waiting, Reason::Full, Some(SHORT_RETRY_AFTER), effects);
            false
        } else {
            true
        };
        if admitted {
            self.queue.push(waiting);
        }
    }

    /// Returns the class and the expected service time of a new request. The
    /// time is zero if no request of the class waits or runs and a slot is
    /// free: the request is then dispatched whatever the estimate. Otherwise an
    /// estimate from a slow period could refuse all requests and would never be
    /// corrected.
    fn classify(&self, now: Duration, arrival: &Arrival) -> (Class, Duration) {
        if !self.adaptive() {
            return (Class::Short, Duration::ZERO);
        }
        let class = self.estimator.classify(arrival);
        let idle = self.running.count(class) == 0 && self.queue.waiting(class) == 0;
        if idle && self.running.total() < self.limit(now) {
            (class, Duration::ZERO)
        } else {
            (class, self.estimator.service_time(class))
        }
    }

    /// Returns the reason why no request can be admitted now, if there is one.
    fn refusal_reason(&self, now: Duration) -> Option<Reason> {
        let Some(target) = &self.target else {
            return Some(Reason::Absent);
        };
        if self.grace_elapsed(now) {
            return Some(Reason::Draining);
        }
        // A suspect target receives one trial request at a time.
        let free = self.queue.len() == 0 && self.running.total() < self.limit(now);
        let trial = free && target.may_dispatch(now);
        (target.suspect() && !trial).then_some(Reason::Unresponsive)
    }

    /// Refuses a request that is not expected to be dispatched in time for its
    /// deadline, and returns whether it was admitted. In a standing queue, the
    /// expected wait may take at most three quarters of the remaining time, and
    /// the oldest request of the same caller is refused in place of the new
    /// one.
    fn check_deadline(
        &mut self,
        now: Duration,
        waiting: &Waiting,
        effects: &mut Vec<Effect>,
    ) -> bool {
        let slot_wait = self.expected_wait(now, waiting);
        let limit_wait = self.throttle.wait(now, self.queue.len());
        let wait = slot_wait.max(limit_wait);
        let time_left = waiting.latest_start().saturating_sub(now);
        let newest_first = self.newest_first(now);
        let max_wait = if newest_first {
            time_left * 3 / 4
        } else {
            time_left
        };
        let grace_end = self.draining.map(|at| at + self.config.drain_grace);
        if grace_end.is_some_and(|at| now + wait >= at) {
            self.refuse(waiting, Reason::Draining, Some(SHORT_RETRY_AFTER), effects);
            return false;
        }
        if wait <= max_wait && !time_left.is_zero() {
            return true;
        }
        if limit_wait > slot_wait {
            let after = self.throttle.plan_return(now, limit_wait);
            self.refuse(waiting, Reason::Limited, Some(after), effects);
            return false;
        }
        let retry_after = Some(
            wait.saturating_sub(max_wait)
                .clamp(RETRY_AFTER[0], RETRY_AFTER[1]),
        );
        let arrival = &waiting.arrival;
        if newest_first
            && !time_left.is_zero()
            && waiting.class == Class::Short
            && let Some(old) = self.queue.evict_oldest(&arrival.member, &arrival.caller)
        {
            self.refuse(&old, Reason::Overload, retry_after, effects);
            return true;
        }
        self.refuse(waiting, Reason::Deadline, retry_after, effects);
        false
    }

    /// If a queue limit is reached, refuses one request of the member that is
    /// furthest over its share. Returns whether the new request was admitted.
    fn check_queue_limits(
        &mut self,
        now: Duration,
        waiting: &Waiting,
        effects: &mut Vec<Effect>,
    ) -> bool {
        let member = &waiting.arrival.member;
        let evicted_member = if self.queue.member_len(member) >= self.config.max_queued_per_member {
            member.clone()
        } else if self.queue.len() >= self.config.max_queued {
            self.queue
                .furthest_over_share(member, waiting.arrival.weight)
        } else {
            return true;
        };
        let wait = self.expected_wait(now, waiting);
        let retry_after = Some(wait.clamp(RETRY_AFTER[0], RETRY_AFTER[1]));
        let newest_first = self.newest_first(now);
        if (evicted_member != *member || newest_first)
            && let Some(evicted) = self.queue.evict(&evicted_member, newest_first)
        {
            self.refuse(&evicted, Reason::Full, retry_after, effects);
            return true;
        }
        self.refuse(waiting, Reason::Full, retry_after, effects);
        false
    }

    /// Estimates the wait of a new request from the number of requests ahead of
    /// it, their expected service time and the slots that its class can use.
    fn expected_wait(&self, now: Duration, waiting: &Waiting) -> Duration {
        let class = waiting.class;
        let limit = self.limit(now);
        let pause = self
            .target
            .as_ref()
            .map_or(Duration::ZERO, |t| t.pause(now));
        let slots = match class {
            Class::Short => limit.saturating_sub(self.running.count(Class::Long)),
            Class::Long => self.long_limit(now),
        };
        let free = self.running.total() < limit && self.running.count(class) < slots;
        if free && self.queue.waiting(class) == 0 {
            return Duration::ZERO;
        }
        let arrival = &waiting.arrival;
        let ahead =
            self.queue
                .requests_ahead(&arrival.member, &arrival.caller, arrival.weight, class);
        let ahead = u32::try_from(ahead + 1).unwrap_or(u32::MAX);
        pause + waiting.expected.saturating_mul(ahead) / slots.max(1)
    }
}
