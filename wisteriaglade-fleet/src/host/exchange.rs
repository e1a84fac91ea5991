//! The handling of one caller's request, from its arrival to its end.
//!
//! [`Host::exchange`] picks a target, offers the request to the host of that
//! target and, if the offer fails, decides whether to try another one. It is
//! called by the ingress for each request of a caller.

use std::{sync::Arc, time::Duration};

use tokio::{
    sync::oneshot,
    time::{sleep, timeout},
};
use tracing::info;
use wisteriaglade_mesh::{Candidate, Entry, Load, Notice, Reason, Rule};
use wisteriaglade_types::Name;

use super::{
    Host,
    admission::{OfferId, Reply, millis},
};
use crate::{
    Dialect,
    frame::{Answer, Content, Offer, Outcome},
    lock, read,
};

/// The number of targets that are asked only for a free slot before the request
/// queues at one. A nested request queues at the first: it occupies a slot of
/// its caller's target meanwhile, and asking takes about as long as it takes a
/// slot to become free.
const MAX_PROBES: usize = 1;

/// A request is rejected once this many targets found that it would wait too
/// long.
const MAX_LATE: u32 = 2;

/// The number of targets that may decline a request because of their limits before
/// the next one lets a nested request wait as long as its deadline allows: rejecting
/// it would waste the work on the request that it is part of.
const MAX_LIMITED: u32 = 2;

/// The highest number of offers for one request. Each rejection costs a round
/// trip.
const MAX_OFFERS: usize = 6;

/// The longest pause before a key without a holder is looked up again.
const LOOKUP_INTERVAL: Duration = Duration::from_millis(60);

/// The fraction of the rule's objective for which a request waits for its key
/// to get a holder.
const HOLDER_WAIT_RATIO: f64 = 0.5;

/// The Retry-After for a key without a holder. The move of a range takes about
/// one heartbeat interval.
const HOLDER_RETRY_AFTER: Duration = Duration::from_millis(400);

/// How often a request with a key is offered to its holder again after the
/// target itself shed it, and the pause before each of these offers. No other
/// target can take the request.
const SHED_RETRIES: (u32, Duration) = (2, Duration::from_millis(25));

/// The shortest Retry-After that a caller is sent.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// The shortest time to the deadline in which a request is still offered.
const MIN_TIME_LEFT: Duration = Duration::from_millis(5);

/// The lowest HTTP status that counts as a server error. A request without a
/// key that may be repeated is then offered to another target.
const MIN_SERVER_ERROR: u16 = 500;

/// A caller's request with the rule that applies to it.
#[derive(Debug)]
pub(super) struct Exchange {
    /// The caller's id of the request, from the request id header.
    pub(super) id: Name,
    /// When the request arrived, on the clock of the process.
    pub(super) received: Duration,
    /// When the caller is answered at the latest: after its own time limit or
    /// that of the rule, whichever is shorter.
    pub(super) deadline: Duration,
    /// When the caller's own time limit ends.
    pub(super) caller_deadline: Duration,
    pub(super) rule: Arc<Rule>,
    /// The kind of work, a hash of the rule's name.
    pub(super) kind: u64,
    /// The key, if the caller sent one.
    pub(super) key: Option<u16>,
    /// What is sent to the target.
    pub(super) content: Content,
}

/// The result of a caller's request, which becomes the HTTP response.
#[derive(Debug)]
pub(super) enum Resolution {
    /// A target answered.
    Answer(Answer),
    /// The request has not run and will not. The caller may send it again
    /// after `retry`.
    Rejected { reason: Reason, retry: Duration },
    /// The request may have run, and its answer is lost. Holds the cause.
    Failed(Name),
    /// The deadline passed.
    TimedOut,
}

impl Resolution {
    /// The name of the result in logs and metrics.
    pub(super) fn label(&self) -> &'static str {
        match self {
            Self::Answer(answer) if answer.status < MIN_SERVER_ERROR => "answer",
            Self::Answer(_) => "error",
            Self::Rejected { .. } => "rejected",
            Self::Failed(_) => "failed",
            Self::TimedOut => "timeout",
        }
    }

    /// The details for the log line: status, waiting and running time, or the
    /// cause.
    pub(super) fn detail(&self) -> String {
        match self {
            Self::Answer(answer) => {
                format!("{}/{}+{}ms", answer.status, answer.waited, answer.took)
            }
            Self::Rejected { reason, retry } => {
                format!("{}/{}ms", reason.as_str(), retry.as_millis())
            }
            Self::Failed(detail) => detail.to_string(),
            Self::TimedOut => "deadline".to_owned(),
        }
    }
}

/// The result of a caller's request with the figures for its log line.
#[derive(Debug)]
pub(super) struct Summary {
    pub(super) resolution: Resolution,
    /// The target of the last offer.
    pub(super) target: Option<Name>,
    /// What that target last said of itself.
    pub(super) notice: Notice,
    /// The number of offers made.
    pub(super) offers: usize,
}

/// The offers made for a request so far and what followed from them.
#[derive(Debug, Default)]
struct Attempts {
    /// The target of the last offer.
    last_target: Option<Name>,
    /// What that target last said of itself.
    notice: Notice,
    /// Whether only the holder of the request's key may run it.
    is_keyed: bool,
    /// Targets that failed or rejected the request and are not offered it again.
    excluded: Vec<Name>,
    /// The number of offers made.
    offers: usize,
    /// The number of offers after which the target may have run the request.
    sent: u32,
    /// The number of times that the holder of the key itself rejected it.
    shed: u32,
    /// The number of targets at which it would wait too long.
    late: u32,
    /// The number of targets whose limit it would have to wait for.
    limited: u32,
    /// The shortest Retry-After of the rejections.
    retry_after: Option<Duration>,
    /// The reason of the last rejection.
    reason: Option<Reason>,
    /// A server error or failure that the caller gets if no other target gives
    /// an answer.
    fallback: Option<Resolution>,
}

/// What to do after the outcome of an offer.
enum Step {
    /// Respond to the caller.
    Finish(Resolution),
    /// Make another offer.
    Retry,
    /// Make another offer after a pause.
    RetryAfter(Duration),
}

impl Host {
    /// Handles a caller's request: offers it to targets until one answers, none
    /// is left or the deadline passes.
    pub(super) async fn exchange<D: Dialect>(self: &Arc<Self>, exchange: &Exchange) -> Summary {
        let pool = choose_pool(&exchange.rule);
        // Nested requests earn no retry budget, only the requests that they are
        // part of do.
        if !lock(&self.balancer).is_nested(exchange.kind) {
            lock(&self.retry_budget).deposit(&pool);
        }
        let left = exchange.deadline.saturating_sub(self.clock.now());
        let mut attempts = Attempts::default();
        let work = self.try_targets::<D>(exchange, &pool, &mut attempts);
        let resolution = match timeout(left, work).await {
            Ok(resolution) => resolution,
            Err(_) => attempts.fallback.take().unwrap_or(Resolution::TimedOut),
        };
        Summary {
            resolution,
            target: attempts.last_target,
            notice: attempts.notice,
            offers: attempts.offers,
        }
    }

    /// Offers a request to one target after another.
    async fn try_targets<D: Dialect>(
        self: &Arc<Self>,
        exchange: &Exchange,
        pool: &Name,
        attempts: &mut Attempts,
    ) -> Resolution {
        loop {
            let now = self.clock.now();
            if exchange.deadline.saturating_sub(now) < MIN_TIME_LEFT
                || attempts.offers >= MAX_OFFERS
            {
                return attempts.finish(exchange, now);
            }
            let key = exchange.key.filter(|_| read(&self.view).is_sharded(pool));
            attempts.is_keyed = key.is_some();
            let entry = match key {
                Some(key) => self.find_holder(exchange, pool, key, attempts).await,
                None => self.choose_target(exchange, pool, attempts),
            };
            let Some((entry, may_queue)) = entry else {
                return attempts.finish(exchange, self.clock.now());
            };
            attempts.offers += 1;
            let has_alternative = key.is_none() && attempts.limited < MAX_LIMITED;
            let offer = self.build_offer(exchange, &entry, key, may_queue, has_alternative);
            let target = entry.owner.target.clone();
            attempts.last_target = Some(target.clone());
            let in_flight = InFlight::new(self, &target);
            let outcome = self.send_offer::<D>(&entry, offer).await;
            self.record_notice(&entry, &outcome);
            attempts.notice = lock(&self.notices).of(&entry.owner);
            in_flight.complete(&outcome);
            match self.next_step(exchange, pool, &target, outcome, attempts) {
                Step::Finish(resolution) => return resolution,
                Step::Retry => {}
                Step::RetryAfter(pause) => sleep(pause).await,
            }
        }
    }

    /// Looks up the holder of a key. While there is none, or the holder refused
    /// the request because the range is moving, waits for at most
    /// [`HOLDER_WAIT_RATIO`] of the objective. Returns its entry and whether the
    /// request may queue there, which is always true. Returns `None` if the wait
    /// ends without a holder, the holder refused for another reason, or it is leaving
    /// and its keys can get no other one soon.
    async fn find_holder(
        &self,
        exchange: &Exchange,
        pool: &Name,
        key: u16,
        attempts: &mut Attempts,
    ) -> Option<(Entry, bool)> {
        let wait = exchange.rule.objective.mul_f64(HOLDER_WAIT_RATIO);
        let end = (exchange.received + wait).min(exchange.deadline);
        loop {
            let holder = read(&self.view).holder(pool, key).cloned();
            let may_offer = |entry: &Entry| self.may_offer(self.clock.now(), entry);
            let is_leaving = holder.as_ref().is_some_and(|entry| !may_offer(entry));
            if let Some(entry) = holder.filter(|_| !is_leaving) {
                let refused = attempts.excluded.last() == Some(&entry.owner.target);
                let is_moving =
                    matches!(attempts.reason, Some(Reason::NotHolder | Reason::NotTarget));
                if !refused {
                    return Some((entry, true));
                }
                if !is_moving {
                    return None;
                }
                // The range is moving; the target may hold it by now.
                attempts.excluded.clear();
            }
            attempts.reason.get_or_insert(if is_leaving {
                Reason::Draining
            } else {
                Reason::NoTarget
            });
            attempts.retry_after = Some(HOLDER_RETRY_AFTER);
            if self.clock.now() >= end || (is_leaving && !self.has_successor(pool)) {
                return None;
            }
            let changed = self.view_changed.notified();
            // A new directory or plan ends the pause early.
            let _ = timeout(LOOKUP_INTERVAL, changed).await;
        }
    }

    /// Picks a target of a pool that is not sharded. Returns its entry and
    /// whether the request may queue there; `None` if no target is left.
    fn choose_target(
        &self,
        exchange: &Exchange,
        pool: &Name,
        attempts: &Attempts,
    ) -> Option<(Entry, bool)> {
        let now = self.clock.now();
        let view = read(&self.view);
        let mut entries: Vec<&Entry> = view
            .targets(pool)
            .iter()
            .filter(|entry| entry.ready && !attempts.excluded.contains(&entry.owner.target))
            .collect();
        self.remove_leaving(now, &mut entries);
        let own_data_centre = &self.settings.data_centre;
        let candidates: Vec<Candidate> = entries
            .iter()
            .map(|entry| Candidate {
                target: entry.owner.target.clone(),
                is_local: entry.data_centre == *own_data_centre,
            })
            .collect();
        let draws: Vec<f64> = candidates.iter().map(|_| rand::random()).collect();
        let balancer = lock(&self.balancer);
        let ranked = balancer.rank(now, &candidates, &draws);
        let best = entries.get(*ranked.first()?)?;
        let may_queue = entries.len() == 1
            || attempts.offers >= MAX_PROBES
            || balancer.is_nested(exchange.kind)
            || balancer.is_full(now, &best.owner.target);
        Some(((*best).clone(), may_queue))
    }

    /// Builds the offer for a target. Times in it count from now.
    fn build_offer(
        &self,
        exchange: &Exchange,
        entry: &Entry,
        key: Option<u16>,
        may_queue: bool,
        has_alternative: bool,
    ) -> Offer {
        let now = self.clock.now();
        let left = |at: Duration| millis(at.saturating_sub(now));
        let rule = &exchange.rule;
        Offer {
            id: self.peers.next_offer_id(),
            owner: entry.owner.clone(),
            key,
            request: exchange.id.clone(),
            kind: exchange.kind,
            priority: rule.priority,
            caller: self.sidecar.pool.clone(),
            repeatable: rule.idempotent,
            may_queue,
            has_alternative,
            notice: lock(&self.notices).of(&entry.owner),
            objective: left(exchange.received + rule.objective),
            deadline: left(exchange.deadline),
            content: Some(exchange.content.clone()),
        }
    }

    /// Records what a target said of itself, as its host reports it with the outcome
    /// of an offer.
    fn record_notice(&self, entry: &Entry, outcome: &Outcome) {
        if let Some(notice) = outcome.load().and_then(|load| load.notice) {
            let now = self.clock.now();
            lock(&self.notices).record(now, &entry.owner, notice);
        }
    }

    /// Sends an offer to the host of its target and waits for the outcome.
    /// Dropping the future cancels the request.
    async fn send_offer<D: Dialect>(self: &Arc<Self>, entry: &Entry, offer: Offer) -> Outcome {
        let now = self.clock.now();
        if entry.address != self.settings.link {
            let mut handle = self.peers.offer(now, entry.address, offer);
            return handle.outcome().await;
        }
        let offer_id = OfferId {
            host: self.settings.link,
            session: self.session,
            id: offer.id,
        };
        let (reply, outcome) = oneshot::channel();
        let cancel = CancelOnDrop::<D> {
            host: self,
            offer_id,
            dialect: std::marker::PhantomData,
        };
        self.admit::<D>(offer_id, offer, Reply::Local(reply));
        let outcome = outcome.await;
        drop(cancel);
        outcome.unwrap_or_else(|_| Outcome::Unknown {
            detail: Name::from("the request was dropped before it ended"),
            load: Load::default(),
        })
    }

    /// Records the outcome of an offer and decides what to do next.
    fn next_step(
        &self,
        exchange: &Exchange,
        pool: &Name,
        target: &Name,
        outcome: Outcome,
        attempts: &mut Attempts,
    ) -> Step {
        let now = self.clock.now();
        match outcome {
            Outcome::Answer(answer) => {
                attempts.sent += 1;
                lock(&self.balancer).set_nested(exchange.kind, answer.nested);
                let is_error = answer.status >= MIN_SERVER_ERROR;
                if !is_error || attempts.is_keyed || !self.may_repeat(exchange, pool, attempts) {
                    return Step::Finish(Resolution::Answer(answer));
                }
                attempts.excluded.push(target.clone());
                attempts.fallback = Some(Resolution::Answer(answer));
                self.record_repeat(exchange, target, "error");
                Step::Retry
            }
            Outcome::Unknown { detail, .. } => {
                attempts.sent += 1;
                lock(&self.balancer).avoid(now, target);
                if !self.may_repeat(exchange, pool, attempts) {
                    return Step::Finish(
                        attempts
                            .fallback
                            .take()
                            .unwrap_or(Resolution::Failed(detail)),
                    );
                }
                if !attempts.is_keyed {
                    attempts.excluded.push(target.clone());
                }
                attempts.fallback = Some(Resolution::Failed(detail));
                self.record_repeat(exchange, target, "unknown");
                Step::Retry
            }
            Outcome::Rejected {
                reason,
                retry,
                by_target,
                load,
            } => {
                let retry = Duration::from_millis(retry.into());
                attempts.retry_after =
                    Some(attempts.retry_after.map_or(retry, |known| known.min(retry)));
                attempts.reason = Some(reason);
                attempts.excluded.push(target.clone());
                if !matches!(reason, Reason::Full | Reason::Limited) {
                    lock(&self.balancer).avoid(now, target);
                }
                if by_target && attempts.sent + 1 >= exchange.rule.max_attempts {
                    return Step::Finish(attempts.finish(exchange, now));
                }
                if by_target && !lock(&self.retry_budget).try_withdraw(pool) {
                    return Step::Finish(attempts.finish(exchange, now));
                }
                if by_target && attempts.is_keyed {
                    attempts.shed += 1;
                    if attempts.shed <= SHED_RETRIES.0 {
                        attempts.excluded.clear();
                        return Step::RetryAfter(SHED_RETRIES.1);
                    }
                }
                attempts.late += u32::from(reason == Reason::Late && load.limit > 0);
                let is_limited = reason == Reason::Limited;
                attempts.limited += u32::from(is_limited);
                let has_no_other = attempts.is_keyed && (attempts.late > 0 || is_limited);
                if attempts.late >= MAX_LATE || has_no_other {
                    return Step::Finish(attempts.finish(exchange, now));
                }
                Step::Retry
            }
        }
    }

    /// Whether a request that may have run may be sent again: the rule allows it,
    /// attempts and time are left, and the retry budget has a repeat, which is
    /// then spent.
    fn may_repeat(&self, exchange: &Exchange, pool: &Name, attempts: &Attempts) -> bool {
        exchange.rule.idempotent
            && attempts.sent < exchange.rule.max_attempts
            && exchange.deadline.saturating_sub(self.clock.now()) > MIN_TIME_LEFT
            && lock(&self.retry_budget).try_withdraw(pool)
    }

    /// Counts and logs a repeat.
    fn record_repeat(&self, exchange: &Exchange, target: &Name, reason: &'static str) {
        self.metrics.repeats.inc();
        info!(event = "repeat", request = %exchange.id, after = %target, reason);
    }
}

/// Draws a pool at random by the weights of the rule.
fn choose_pool(rule: &Rule) -> Name {
    let total: f64 = rule.destinations.iter().map(|part| part.weight).sum();
    let mut draw = rand::random::<f64>() * total;
    for part in &rule.destinations {
        draw -= part.weight;
        if draw < 0.0 {
            return part.pool.clone();
        }
    }
    let last = rule.destinations.iter().rfind(|part| part.weight > 0.0);
    let part = last.or(rule.destinations.first());
    part.map_or_else(|| Name::from(""), |part| part.pool.clone())
}

impl Attempts {
    /// Returns the result of a request that is not offered again.
    fn finish(&mut self, exchange: &Exchange, now: Duration) -> Resolution {
        if let Some(fallback) = self.fallback.take() {
            return fallback;
        }
        let retry = self
            .retry_after
            .unwrap_or(HOLDER_RETRY_AFTER)
            .max(MIN_RETRY_AFTER);
        let reason = self.reason.unwrap_or(Reason::NoTarget);
        let left = exchange.caller_deadline.saturating_sub(now);
        // A caller that came back later could not be answered within its own
        // time limit.
        let retry = retry.min(left.mul_f64(0.33)).max(MIN_RETRY_AFTER);
        Resolution::Rejected { reason, retry }
    }
}

/// Counts an offer as in flight to its target until it ends or is dropped.
struct InFlight<'a> {
    host: &'a Host,
    target: &'a Name,
    sent_at: Duration,
    is_complete: bool,
}

impl<'a> InFlight<'a> {
    fn new(host: &'a Host, target: &'a Name) -> Self {
        lock(&host.balancer).request_sent(target);
        Self {
            host,
            target,
            sent_at: host.clock.now(),
            is_complete: false,
        }
    }

    fn complete(mut self, outcome: &Outcome) {
        self.is_complete = true;
        let load = outcome.load();
        let now = self.host.clock.now();
        let mut balancer = lock(&self.host.balancer);
        balancer.request_ended(now, self.target, load);
        if let Outcome::Answer(answer) = outcome {
            let at_target = Duration::from_millis((answer.waited + answer.took).into());
            balancer.record_transit(self.target, now.saturating_sub(self.sent_at + at_target));
        }
    }
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        if !self.is_complete {
            let now = self.host.clock.now();
            lock(&self.host.balancer).request_ended(now, self.target, None);
        }
    }
}

/// Cancels a request to the host's own target when dropped, as its caller has
/// disconnected or its deadline has passed. No effect on a request that has
/// ended.
struct CancelOnDrop<'a, D: Dialect> {
    host: &'a Arc<Host>,
    offer_id: OfferId,
    dialect: std::marker::PhantomData<D>,
}

impl<D: Dialect> Drop for CancelOnDrop<'_, D> {
    fn drop(&mut self) {
        self.host.cancel::<D>(self.offer_id);
    }
}
