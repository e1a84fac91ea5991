//! Drives the admission reducer and carries out its effects.

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

use crate::{hot::Hot, lock};

/// What the reducer decided for a request that asked for admission.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// Send it to the target.
    Dispatch(Class),
    /// It was not dispatched and will not be.
    Refuse(Reason, Option<Duration>),
}

/// The admission queue of the target beside this process.
#[derive(Debug)]
pub(crate) struct Admission {
    clock: Clock,
    inner: Mutex<Inner>,
    /// Wakes the timer when the reducer needs an earlier tick.
    changed: Notify,
    /// Wakes the load report when the target stops responding.
    suspected: Notify,
}

#[derive(Debug)]
struct Inner {
    router: Router,
    waiting: HashMap<Request, Waiting>,
    /// Requests that wait or run.
    running: HashMap<Request, CancellationToken>,
    /// Requests that wait or run, by shard; a shard with none can move.
    shards: HashMap<Shard, usize>,
    suspect: bool,
    hot: Hot,
}

/// A request that waits for its verdict.
#[derive(Debug)]
struct Waiting {
    shard: Shard,
    verdict: oneshot::Sender<Verdict>,
}

/// A request inside the admission queue or at the target.
///
/// Dropping it without a finish reports a cancellation, so that a request
/// never keeps a slot after its task is gone.
#[derive(Debug)]
pub(crate) struct Ticket {
    admission: Arc<Admission>,
    request: Request,
    shard: Shard,
    /// Whether the reducer knows the request and has not seen its end.
    known: bool,
    /// Cancelled when the reducer wants the work to stop.
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
                shards: HashMap::new(),
                suspect: false,
                hot: Hot::default(),
            }),
            changed: Notify::new(),
            suspected: Notify::new(),
        }
    }

    /// Marks a shard as busy with a request, before its ownership is checked,
    /// so that the shard cannot move between the check and the dispatch.
    pub(crate) fn enter(self: &Arc<Self>, request: Request, shard: Shard) -> Ticket {
        let cancel = CancellationToken::new();
        *lock(&self.inner).shards.entry(shard).or_default() += 1;
        Ticket {
            admission: Arc::clone(self),
            request,
            shard,
            known: false,
            cancel,
        }
    }

    /// Whether no request of the shard waits or runs.
    pub(crate) fn idle(&self, shard: Shard) -> bool {
        !lock(&self.inner).shards.contains_key(&shard)
    }

    /// Refuses the requests that wait for one of the shards, which is moving
    /// away, so that the move has to wait for running work only.
    pub(crate) fn evict(&self, moving: impl Fn(Shard) -> bool) {
        let now = self.clock.now();
        let mut signal = Signal::default();
        let mut inner = lock(&self.inner);
        let evicted: Vec<(Request, Waiting)> = inner
            .waiting
            .extract_if(|_, waiting| moving(waiting.shard))
            .collect();
        for (request, waiting) in evicted {
            signal = signal.and(inner.step(now, Event::Depart { request }));
            // The request's task may have ended.
            let _ = waiting
                .verdict
                .send(Verdict::Refuse(Reason::Draining, None));
        }
        drop(inner);
        self.signal(signal);
    }

    /// Feeds an event that concerns no single request.
    pub(crate) fn event(&self, event: Event) {
        self.step(event);
    }

    /// Tells the reducer about the target.
    pub(crate) fn target(&self, capacity: Option<Capacity>) {
        self.step(Event::Target(capacity));
    }

    /// Whether the target does not respond.
    pub(crate) fn suspect(&self) -> bool {
        lock(&self.inner).suspect
    }

    /// Requests that wait or run at this node.
    pub(crate) fn pending(&self) -> usize {
        lock(&self.inner).running.len()
    }

    /// Reads from the reducer.
    pub(crate) fn inspect<T>(&self, read: impl FnOnce(&Router) -> T) -> T {
        read(&lock(&self.inner).router)
    }

    /// The hottest keys since the last call, with their requests per second.
    pub(crate) fn hottest(&self, interval: Duration) -> Vec<(u64, u32)> {
        lock(&self.inner).hot.take(interval)
    }

    /// Returns when the target stops responding.
    pub(crate) async fn suspected(&self) {
        self.suspected.notified().await;
    }

    /// Ticks the reducer when it asks for it, until the process ends.
    pub(crate) async fn tick(&self, shutdown: CancellationToken) {
        loop {
            let wake = lock(&self.inner).router.wake();
            let idle = self.clock.now() + Duration::from_secs(1);
            let at = self.clock.instant(wake.unwrap_or(idle).min(idle));
            tokio::select! {
                () = shutdown.cancelled() => return,
                () = self.changed.notified() => {}
                () = tokio::time::sleep_until(at) => self.step(Event::Tick),
            }
        }
    }

    fn step(&self, event: Event) {
        let now = self.clock.now();
        let signal = lock(&self.inner).step(now, event);
        self.signal(signal);
    }

    /// Wakes the tasks that wait for what a step changed.
    fn signal(&self, signal: Signal) {
        if signal.suspected {
            self.suspected.notify_one();
        }
        if signal.earlier {
            self.changed.notify_one();
        }
    }
}

/// What a step changed for tasks that wait.
#[derive(Debug, Clone, Copy, Default)]
struct Signal {
    /// The target stopped responding.
    suspected: bool,
    /// The next tick is due earlier.
    earlier: bool,
}

impl Signal {
    const fn and(self, other: Self) -> Self {
        Self {
            suspected: self.suspected || other.suspected,
            earlier: self.earlier || other.earlier,
        }
    }
}

impl Inner {
    /// Feeds one event and carries out its effects.
    ///
    /// Whoever changes what waits or runs does so under the same lock, so that
    /// the reducer cannot dispatch a request whose task has just gone: nobody
    /// would report its end, and its slot would be lost.
    fn step(&mut self, now: Duration, event: Event) -> Signal {
        let (before, trusted) = (self.router.wake(), !self.suspect);
        let mut effects = Vec::new();
        self.router.step(now, event, &mut effects);
        for effect in effects {
            self.execute(&effect);
        }
        let after = self.router.wake();
        Signal {
            suspected: trusted && self.suspect,
            earlier: after.is_some_and(|after| before.is_none_or(|before| after < before)),
        }
    }

    fn execute(&mut self, effect: &Effect) {
        match *effect {
            Effect::Dispatch { request, class } => {
                if let Some(waiting) = self.waiting.remove(&request) {
                    // A receiver that is gone reports its end by its ticket.
                    let _ = waiting.verdict.send(Verdict::Dispatch(class));
                }
            }
            Effect::Refuse {
                request,
                reason,
                retry_after,
            } => {
                self.running.remove(&request);
                if let Some(waiting) = self.waiting.remove(&request) {
                    let _ = waiting.verdict.send(Verdict::Refuse(reason, retry_after));
                }
            }
            Effect::Cancel { request, .. } => {
                if let Some(cancel) = self.running.get(&request) {
                    cancel.cancel();
                }
            }
            // The pool of the HTTP client opens connections on demand and
            // cannot be told to open them ahead.
            Effect::Prewarm { .. } => {}
            Effect::Suspect => self.suspect = true,
            Effect::Recovered => self.suspect = false,
        }
    }
}

impl Ticket {
    /// Asks for admission and waits for the verdict.
    pub(crate) async fn admit(&mut self, arrival: Arrival) -> Verdict {
        let (send, verdict) = oneshot::channel();
        let waiting = Waiting {
            shard: self.shard,
            verdict: send,
        };
        let now = self.admission.clock.now();
        let signal = {
            let mut inner = lock(&self.admission.inner);
            inner.waiting.insert(self.request, waiting);
            inner.running.insert(self.request, self.cancel.clone());
            inner.hot.add(arrival.key);
            inner.step(now, Event::Arrive(arrival))
        };
        self.known = true;
        self.admission.signal(signal);
        let verdict = verdict
            .await
            .unwrap_or(Verdict::Refuse(Reason::Departed, None));
        if matches!(verdict, Verdict::Refuse(..)) {
            self.known = false;
        }
        verdict
    }

    /// Reports how the dispatched request ended.
    pub(crate) fn finish(&mut self, result: Finish) {
        if std::mem::take(&mut self.known) {
            lock(&self.admission.inner).running.remove(&self.request);
            self.admission.step(Event::Finish {
                request: self.request,
                result,
            });
        }
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        let now = self.admission.clock.now();
        let request = self.request;
        let mut inner = lock(&self.admission.inner);
        inner.running.remove(&request);
        if let Some(count) = inner.shards.get_mut(&self.shard) {
            *count -= 1;
            if *count == 0 {
                inner.shards.remove(&self.shard);
            }
        }
        let waiting = inner.waiting.remove(&request).is_some();
        if !self.known {
            return;
        }
        let signal = inner.step(
            now,
            if waiting {
                Event::Depart { request }
            } else {
                let result = Finish::Cancelled;
                Event::Finish { request, result }
            },
        );
        drop(inner);
        self.admission.signal(signal);
    }
}

#[cfg(test)]
mod tests;
