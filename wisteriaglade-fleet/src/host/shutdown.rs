//! When a host that was asked to stop withdraws, refuses requests and ends.

use std::time::Duration;

#[cfg(test)]
mod tests;

/// The shortest time between the request to stop and the end of the process.
/// New connections are accepted until then: the readiness check runs once a
/// second, and callers are routed elsewhere after 2 responses other than 200.
const MIN_SHUTDOWN: Duration = Duration::from_millis(2_300);

/// The time from the request to stop until the host reports that it leaves, so
/// that other hosts send no more requests for its target. The report reaches
/// them within about 0.2 s; requests that arrive until then have the rest of
/// the grace period to finish.
const WITHDRAW_DELAY: Duration = Duration::from_millis(1_900);

/// The time from the request to stop until new requests are refused. A request
/// accepted later might still run when the process is killed.
const REFUSE_DELAY: Duration = Duration::from_millis(2_800);

/// How long before the end of the grace period the process stops, even if
/// requests are still open.
pub(super) const MARGIN: Duration = Duration::from_millis(400);

/// What a host does next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Step {
    /// Nothing.
    Wait,
    /// Report that it leaves.
    Withdraw,
    /// Refuse new requests.
    Refuse,
    /// End.
    End,
}

/// The course of a graceful shutdown.
#[derive(Debug)]
pub(super) struct Shutdown {
    started: Duration,
    deadline: Duration,
    has_withdrawn: bool,
    refuses: bool,
}

impl Shutdown {
    /// Starts a shutdown at `now`; the process is killed after `grace`.
    pub(super) fn new(now: Duration, grace: Duration) -> Self {
        Self {
            started: now,
            deadline: now + grace.saturating_sub(MARGIN),
            has_withdrawn: false,
            refuses: false,
        }
    }

    /// Returns the next step. `is_idle` tells whether no request is open.
    ///
    /// A host ends in a later step than that in which it begins to refuse
    /// requests, and only if it is still idle: a request that it accepted in
    /// between would be cut off.
    pub(super) fn step(&mut self, now: Duration, is_idle: bool) -> Step {
        let elapsed = now.saturating_sub(self.started);
        if now > self.deadline || (self.refuses && is_idle && elapsed > MIN_SHUTDOWN) {
            return Step::End;
        }
        if elapsed > WITHDRAW_DELAY && !self.has_withdrawn {
            self.has_withdrawn = true;
            return Step::Withdraw;
        }
        let may_end = is_idle && elapsed > MIN_SHUTDOWN;
        if !self.refuses && (may_end || elapsed > REFUSE_DELAY) {
            self.refuses = true;
            return Step::Refuse;
        }
        Step::Wait
    }
}
