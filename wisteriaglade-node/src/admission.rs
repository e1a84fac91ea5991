//! Admission to the target of this node.
//!
//! [`Admission`] feeds events to the admission reducer (a
//! [`Router`], which does no I/O) and carries out its effects. Tasks that serve
//! requests hold a [`Guard`], by which they wait for admission and report the
//! end of the work.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex},
    time::Duration,
};

use tokio::sync::{Notify, oneshot};
use tokio_util::sync::CancellationToken;
use wisteriaglade_router::{
    Arrival, Capacity, Class, Config, Effect, Event, Finish, Reason, Router,
};
use wisteriaglade_types::{Request, Shard};

use wisteriaglade_wire::Clock;

use crate::{hot::Counters, lock};

/// The reducer's decision on a request that asked for admission.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Decision {
    /// The request may be sent to the target, as work of this class.
    Dispatch(Class),
    /// The request isn't dispatched. The duration is the time after which a
    /// retry makes sense, if known.
    Refuse(Reason, Option<Duration>),
}

/// The admission queue of this node's target.
#[derive(Debug)]
pub(crate) struct Admission {
    clock: Clock,
    inner: Mutex<Inner>,
    /// Wakes the timer task when the reducer needs an earlier tick.
    tick_changed: Notify,
    /// Wakes the load report task when the target stops responding.
    suspected: Notify,
}

/// The reducer and the requests that it knows, under one lock.
#[derive(Debug)]
struct Inner {
    router: Router,
    /// Requests that wait for a decision.
    waiting: HashMap<Request, Waiter>,
    /// Requests that wait or run, with the token that cancels their work.
    running: HashMap<Request, CancellationToken>,
    /// Number of entered requests by shard. A shard without an entry is idle and
    /// can be moved.
    entered: HashMap<Shard, usize>,
    /// Whether the target has stopped responding.
    suspect: bool,
    /// Counts requests by key for the load reports.
    hot: Counters,
}

/// A request in the queue, and the channel for its decision.
#[derive(Debug)]
struct Waiter {
    shard: Shard,
    decision: oneshot::Sender<Decision>,
}

/// Guard of a request in the admission queue or at the target.
///
/// Dropping it without a call of [`finish`](Self::finish) reports a
/// cancellation, so that a request releases its slot when its task ends.
#[derive(Debug)]
pub(crate) struct Guard {
    admission: Arc<Admission>,
    request: Request,
    shard: Shard,
    /// Whether the reducer has been told of the request and not yet of its end.
    tracked: bool,
    /// Cancelled when the reducer decides that the work must stop.
    pub(crate) cancel: CancellationToken,
}

impl Admission {
    pub(crate) fn new(clock: Clock, config: Config) -> Self {
        Self {
            clock,
            inner: Mutex::new(Inner {
                router: Router::new(config),
                waiting: HashMap::new(),
                running: HashMap::new(),
                entered: HashMap::new(),
                suspect: false,
                hot: Counters::default(),
            }),
            tick_changed: Notify::new(),
            suspected: Notify::new(),
        }
    }

    /// Marks a shard as busy with a request. Callers do so before they check the
    /// ownership, so that the shard cannot be moved between the check and the
    /// dispatch.
    pub(crate) fn enter(self: &Arc<Self>, request: Request, shard: Shard) -> Guard {
        let cancel = CancellationToken::new();
        *lock(&self.inner).entered.entry(shard).or_default() += 1;
        Guard {
            admission: Arc::clone(self),
            request,
            shard,
            tracked: false,
            cancel,
        }
    }

    /// Returns whether no request of the shard waits or runs.
    pub(crate) fn idle(&self, shard: Shard) -> bool {
        !lock(&self.inner).entered.contains_key(&shard)
    }

    /// Refuses the queued requests of the shards for which `moving` returns
    /// `true`, so that the move of a shard waits only for its running work.
    pub(crate) fn evict(&self, moving: impl Fn(Shard) -> bool) {
        let now = self.clock.now();
        let mut wakeups = Wakeups::default();
        let mut inner = lock(&self.inner);
        let evicted: Vec<(Request, Waiter)> = inner
            .waiting
            .extract_if(|_, waiter| moving(waiter.shard))
            .collect();
        for (request, waiter) in evicted {
            wakeups = wakeups.merge(inner.step(now, Event::Depart { request }));
            // Fails if the request's task has ended, which is harmless.
            let _ = waiter
                .decision
                .send(Decision::Refuse(Reason::Draining, None));
        }
        drop(inner);
        self.wake(wakeups);
    }

    /// Feeds the reducer an event that isn't about a single request.
    pub(crate) fn event(&self, event: Event) {
        self.step(event);
    }

    /// Sets the capacity of the target, or `None` when there is no target.
    pub(crate) fn set_capacity(&self, capacity: Option<Capacity>) {
        self.step(Event::Target(capacity));
    }

    /// Returns whether a running request may be sent to the target once more now.
    pub(crate) fn start_copy(&self) -> bool {
        let now = self.clock.now();
        lock(&self.inner).router.start_copy(now)
    }

    /// Returns whether the target has stopped responding.
    pub(crate) fn suspect(&self) -> bool {
        lock(&self.inner).suspect
    }

    /// Returns the number of requests that wait or run on this node.
    pub(crate) fn pending(&self) -> usize {
        lock(&self.inner).running.len()
    }

    /// Calls `read` with the reducer, under the lock.
    pub(crate) fn inspect<T>(&self, read: impl FnOnce(&Router) -> T) -> T {
        read(&lock(&self.inner).router)
    }

    /// Returns the hottest keys since the last call, with their requests per
    /// second over `interval`, and resets the counts.
    pub(crate) fn take_hot_keys(&self, interval: Duration) -> Vec<(u64, u32)> {
        lock(&self.inner).hot.take_hottest(interval)
    }

    /// Waits until the target stops responding.
    pub(crate) async fn wait_until_suspect(&self) {
        self.suspected.notified().await;
    }

    /// Feeds the reducer a tick whenever it asks for one, at least once a second,
    /// until shutdown.
    pub(crate) async fn tick(&self, shutdown: CancellationToken) {
        loop {
            let wake = lock(&self.inner).router.wake();
            let idle = self.clock.now() + Duration::from_secs(1);
            let at = self.clock.instant(wake.unwrap_or(idle).min(idle));
            tokio::select! {
                () = shutdown.cancelled() => return,
                () = self.tick_changed.notified() => {}
                () = tokio::time::sleep_until(at) => self.step(Event::Tick),
            }
        }
    }

    /// Feeds the reducer one event and wakes the tasks that it concerns.
    fn step(&self, event: Event) {
        let now = self.clock.now();
        let wakeups = lock(&self.inner).step(now, event);
        self.wake(wakeups);
    }

    /// Wakes the load report and the timer as `wakeups` says.
    fn wake(&self, wakeups: Wakeups) {
        if wakeups.suspected {
            self.suspected.notify_one();
        }
        if wakeups.tick_changed {
            self.tick_changed.notify_one();
        }
    }
}

/// The tasks to wake after a step of the reducer.
#[derive(Debug, Clone, Copy, Default)]
struct Wakeups {
    /// Wakes the load report: the target stopped responding.
    suspected: bool,
    /// Wakes the timer: the next tick is due earlier than before.
    tick_changed: bool,
}

impl Wakeups {
    const fn merge(self, other: Self) -> Self {
        Self {
            suspected: self.suspected || other.suspected,
            tick_changed: self.tick_changed || other.tick_changed,
        }
    }
}

impl Inner {
    /// Feeds the reducer one event and carries out its effects.
    ///
    /// Changes of the waiting and running requests are made under the same lock
    /// as the step. Otherwise the reducer could dispatch a request whose task has
    /// just ended; its end would never be reported and its slot would leak.
    fn step(&mut self, now: Duration, event: Event) -> Wakeups {
        let (before, responsive) = (self.router.wake(), !self.suspect);
        let mut effects = Vec::new();
        self.router.step(now, event, &mut effects);
        for effect in effects {
            self.execute(&effect);
        }
        let after = self.router.wake();
        Wakeups {
            suspected: responsive && self.suspect,
            tick_changed: after.is_some_and(|after| before.is_none_or(|before| after < before)),
        }
    }

    fn execute(&mut self, effect: &Effect) {
        match *effect {
            Effect::Dispatch { request, class } => {
                if let Some(waiter) = self.waiting.remove(&request) {
                    // If the receiver is gone, the drop of its guard reports
                    // the end.
                    let _ = waiter.decision.send(Decision::Dispatch(class));
                }
            }
            Effect::Refuse {
                request,
                reason,
                retry_after,
            } => {
                self.running.remove(&request);
                if let Some(waiter) = self.waiting.remove(&request) {
                    let _ = waiter.decision.send(Decision::Refuse(reason, retry_after));
                }
            }
            Effect::Cancel { request, .. } => {
                if let Some(cancel) = self.running.get(&request) {
                    cancel.cancel();
                }
            }
            // The HTTP client's pool opens connections on demand and offers no
            // way to open them in advance.
            Effect::Prewarm { .. } => {}
            Effect::Suspect => self.suspect = true,
            Effect::Recovered => self.suspect = false,
        }
    }
}

impl Guard {
    /// Asks for admission and waits for the decision.
    pub(crate) async fn admit(&mut self, arrival: Arrival) -> Decision {
        let (send, decision) = oneshot::channel();
        let waiter = Waiter {
            shard: self.shard,
            decision: send,
        };
        let now = self.admission.clock.now();
        let wakeups = {
            let mut inner = lock(&self.admission.inner);
            inner.waiting.insert(self.request, waiter);
            inner.running.insert(self.request, self.cancel.clone());
            inner.hot.record(arrival.key);
            inner.step(now, Event::Arrive(arrival))
        };
        self.tracked = true;
        self.admission.wake(wakeups);
        let decision = decision
            .await
            .unwrap_or(Decision::Refuse(Reason::Departed, None));
        if matches!(decision, Decision::Refuse(..)) {
            self.tracked = false;
        }
        decision
    }

    /// Reports the end of a dispatched request. Further calls have no effect.
    pub(crate) fn finish(&mut self, result: Finish) {
        if std::mem::take(&mut self.tracked) {
            lock(&self.admission.inner).running.remove(&self.request);
            self.admission.step(Event::Finish {
                request: self.request,
                result,
            });
        }
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        let now = self.admission.clock.now();
        let request = self.request;
        let mut inner = lock(&self.admission.inner);
        inner.running.remove(&request);
        if let Some(count) = inner.entered.get_mut(&self.shard) {
            *count -= 1;
            if *count == 0 {
                inner.entered.remove(&self.shard);
            }
        }
        let waiting = inner.waiting.remove(&request).is_some();
        if !self.tracked {
            return;
        }
        let wakeups = inner.step(
            now,
            if waiting {
                Event::Depart { request }
            } else {
                let result = Finish::Cancelled;
                Event::Finish { request, result }
            },
        );
        drop(inner);
        self.admission.wake(wakeups);
    }
}

#[cfg(test)]
mod tests;
