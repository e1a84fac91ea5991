//! One request of a caller, from its arrival to its end.

use std::{sync::Arc, time::Duration};

use tokio::{
    sync::oneshot,
    time::{sleep, timeout},
};
use tracing::info;
use wisteriaglade_mesh::{Candidate, Entry, Load, Reason, Rule};
use wisteriaglade_types::Name;

use super::{
    Host,
    admission::{Key, Reply, millis},
};
use crate::{
    Dialect,
    frame::{Answer, Content, Offer, Outcome},
    lock, read,
};

/// Targets that are asked for a free slot before the request queues at one. A
/// nested request queues at the first: it holds a slot of its caller's target
/// meanwhile, and a question takes about as long as a slot to become free.
const PROBES: usize = 1;

/// Targets that may find that a request would wait too long before it is
/// rejected.
const LATE: u32 = 2;

/// Targets that one request is offered to at most; a rejection takes a round
/// trip.
const OFFERS: usize = 6;

/// The pause before a key is looked up again while it has no holder.
const LOOKUP: Duration = Duration::from_millis(60);

/// The part of the objective that a request waits for a holder of its key.
const HOLDER_WAIT: f64 = 0.5;

/// The Retry-After for a key without a holder. Ranges move within about a
/// heartbeat.
const HOLDER_RETRY: Duration = Duration::from_millis(400);

/// How often a request is offered again to the holder of its key after the
/// target itself rejected it, and the pause before. Another target cannot take
/// it.
const SHED: (u32, Duration) = (2, Duration::from_millis(25));

/// The shortest Retry-After.
const RETRY_MIN: Duration = Duration::from_millis(50);

/// The time that a request needs at least to be worth sending.
const WORTH: Duration = Duration::from_millis(5);

/// Answers with this status or above may be replaced by those of another
/// target, if the request may run again.
const SERVER_ERROR: u16 = 500;

/// A request of a caller.
#[derive(Debug)]
pub(super) struct Exchange {
    pub(super) id: Name,
    pub(super) received: Duration,
    /// When the caller gets its final answer at the latest.
    pub(super) deadline: Duration,
    /// When the caller leaves.
    pub(super) leaves: Duration,
    pub(super) rule: Arc<Rule>,
    /// The kind of work.
    pub(super) kind: u64,
    pub(super) key: Option<u16>,
    pub(super) content: Content,
}

/// How a request of a caller ends.
#[derive(Debug)]
pub(super) enum Verdict {
    /// With the answer of a target.
    Answer(Answer),
    /// It has not run and will not.
    Rejected { reason: Reason, retry: Duration },
    /// It may have run, and there is no answer.
    Failed(Name),
    /// There was no answer in time.
    TimedOut,
}

impl Verdict {
    /// The word for logs and metrics.
    pub(super) fn outcome(&self) -> &'static str {
        match self {
            Self::Answer(answer) if answer.status < SERVER_ERROR => "answer",
            Self::Answer(_) => "error",
            Self::Rejected { .. } => "rejected",
            Self::Failed(_) => "failed",
            Self::TimedOut => "timeout",
        }
    }

    /// What a log line says besides.
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

/// A request of a caller that has ended.
#[derive(Debug)]
pub(super) struct Ending {
    pub(super) verdict: Verdict,
    /// The target that it was offered to last.
    pub(super) target: Option<Name>,
    /// Offers made for it.
    pub(super) offers: usize,
}

/// What has been tried for a request.
#[derive(Debug, Default)]
struct Tried {
    /// The target that it was offered to last.
    last: Option<Name>,
    /// Targets that rejected it, by whatever reason.
    targets: Vec<Name>,
    /// Offers made.
    offers: usize,
    /// Targets that were sent the request.
    sent: u32,
    /// Rejections by the target itself.
    shed: u32,
    /// Targets at which it would wait too long.
    late: u32,
    /// The shortest time in which a target expected room.
    retry: Option<Duration>,
    reason: Option<Reason>,
    /// An answer or failure that another target may better.
    spare: Option<Verdict>,
}

/// What comes after an offer.
enum Next {
    End(Verdict),
    Again,
    /// After a pause.
    Later(Duration),
}

impl Host {
    /// Finds a target for a request and passes on how it ended.
    pub(super) async fn exchange<D: Dialect>(self: &Arc<Self>, exchange: &Exchange) -> Ending {
        let pool = part(&exchange.rule);
        // Only the requests of callers count for the budget.
        if !lock(&self.choice).is_nested(exchange.kind) {
            lock(&self.allowance).deposit(&pool);
        }
        let left = exchange.deadline.saturating_sub(self.clock.now());
        let mut tried = Tried::default();
        let work = self.attempts::<D>(exchange, &pool, &mut tried);
        let verdict = match timeout(left, work).await {
            Ok(verdict) => verdict,
            Err(_) => tried.spare.take().unwrap_or(Verdict::TimedOut),
        };
        Ending {
            verdict,
            target: tried.last,
            offers: tried.offers,
        }
    }

    async fn attempts<D: Dialect>(
        self: &Arc<Self>,
        exchange: &Exchange,
        pool: &Name,
        tried: &mut Tried,
    ) -> Verdict {
        loop {
            let now = self.clock.now();
            if exchange.deadline.saturating_sub(now) < WORTH || tried.offers >= OFFERS {
                return tried.end(exchange, now);
            }
            let key = exchange.key.filter(|_| read(&self.view).is_sharded(pool));
            let entry = match key {
                Some(key) => self.holder(exchange, pool, key, tried).await,
                None => self.choose(exchange, pool, tried),
            };
            let Some((entry, waits)) = entry else {
                return tried.end(exchange, self.clock.now());
            };
            tried.offers += 1;
            let offer = self.offer_of(exchange, &entry, key, waits);
            let target = entry.owner.target.clone();
            tried.last = Some(target.clone());
            let guard = Sent::new(self, &target);
            let outcome = self.send::<D>(&entry, offer).await;
            guard.ended(&outcome);
            match self.next(exchange, pool, &target, outcome, tried) {
                Next::End(verdict) => return verdict,
                Next::Again => {}
                Next::Later(pause) => sleep(pause).await,
            }
        }
    }

    /// The holder of a key. While there is none, the request waits for it.
    async fn holder(
        &self,
        exchange: &Exchange,
        pool: &Name,
        key: u16,
        tried: &mut Tried,
    ) -> Option<(Entry, bool)> {
        let wait = exchange.rule.objective.mul_f64(HOLDER_WAIT);
        let end = (exchange.received + wait).min(exchange.deadline);
        loop {
            let holder = read(&self.view).holder(pool, key).cloned();
            if let Some(entry) = holder {
                let refused = tried.targets.last() == Some(&entry.owner.target);
                let is_moving = matches!(tried.reason, Some(Reason::NotHolder | Reason::NotTarget));
                if !refused {
                    return Some((entry, true));
                }
                if !is_moving {
                    return None;
                }
                // The range is on its way; the target may hold it by now.
                tried.targets.clear();
            }
            tried.reason.get_or_insert(Reason::NoTarget);
            tried.retry = Some(HOLDER_RETRY);
            if self.clock.now() >= end {
                return None;
            }
            let changed = self.viewed.notified();
            // Either a new directory or the pause ends the wait.
            let _ = timeout(LOOKUP, changed).await;
        }
    }

    /// A target of a pool that is not divided by key.
    fn choose(&self, exchange: &Exchange, pool: &Name, tried: &Tried) -> Option<(Entry, bool)> {
        let now = self.clock.now();
        let view = read(&self.view);
        let entries: Vec<&Entry> = view
            .targets(pool)
            .iter()
            .filter(|entry| entry.ready && !tried.targets.contains(&entry.owner.target))
            .collect();
        let near = &self.settings.data_centre;
        let candidates: Vec<Candidate> = entries
            .iter()
            .map(|entry| Candidate {
                target: entry.owner.target.clone(),
                is_local: entry.data_centre == *near,
            })
            .collect();
        let draws: Vec<f64> = candidates.iter().map(|_| rand::random()).collect();
        let choice = lock(&self.choice);
        let ranked = choice.rank(now, &candidates, &draws);
        let best = entries.get(*ranked.first()?)?;
        let waits = entries.len() == 1
            || tried.offers >= PROBES
            || choice.is_nested(exchange.kind)
            || choice.is_full(now, &best.owner.target);
        Some(((*best).clone(), waits))
    }

    fn offer_of(&self, exchange: &Exchange, entry: &Entry, key: Option<u16>, waits: bool) -> Offer {
        let now = self.clock.now();
        let left = |at: Duration| millis(at.saturating_sub(now));
        let rule = &exchange.rule;
        Offer {
            id: self.peers.number(),
            owner: entry.owner.clone(),
            key,
            request: exchange.id.clone(),
            kind: exchange.kind,
            priority: rule.priority,
            caller: self.beside.pool.clone(),
            repeatable: rule.idempotent,
            waits,
            objective: left(exchange.received + rule.objective),
            deadline: left(exchange.deadline),
            content: Some(exchange.content.clone()),
        }
    }

    /// Sends an offer to the host of its target and waits for its end.
    async fn send<D: Dialect>(self: &Arc<Self>, entry: &Entry, offer: Offer) -> Outcome {
        let now = self.clock.now();
        if entry.address != self.settings.link {
            let mut ticket = self.peers.offer(now, entry.address, offer);
            return ticket.outcome().await;
        }
        let key = Key {
            host: self.settings.link,
            session: self.session,
            id: offer.id,
        };
        let (reply, outcome) = oneshot::channel();
        let cancel = Cancel::<D> {
            host: self,
            key,
            dialect: std::marker::PhantomData,
        };
        self.offer::<D>(key, offer, Reply::Local(reply));
        let outcome = outcome.await;
        drop(cancel);
        outcome.unwrap_or_else(|_| Outcome::Unknown {
            detail: Name::from("the request was dropped"),
            load: Load::default(),
        })
    }

    /// What follows from the end of an offer.
    fn next(
        &self,
        exchange: &Exchange,
        pool: &Name,
        target: &Name,
        outcome: Outcome,
        tried: &mut Tried,
    ) -> Next {
        let now = self.clock.now();
        match outcome {
            Outcome::Answer(answer) => {
                tried.sent += 1;
                lock(&self.choice).set_nested(exchange.kind, answer.nested);
                let is_error = answer.status >= SERVER_ERROR;
                if !is_error || exchange.key.is_some() || !self.may_repeat(exchange, pool, tried) {
                    return Next::End(Verdict::Answer(answer));
                }
                tried.targets.push(target.clone());
                tried.spare = Some(Verdict::Answer(answer));
                self.note_repeat(exchange, target, "error");
                Next::Again
            }
            Outcome::Unknown { detail, .. } => {
                tried.sent += 1;
                lock(&self.choice).avoid(now, target);
                if !self.may_repeat(exchange, pool, tried) {
                    return Next::End(tried.spare.take().unwrap_or(Verdict::Failed(detail)));
                }
                if exchange.key.is_none() {
                    tried.targets.push(target.clone());
                }
                tried.spare = Some(Verdict::Failed(detail));
                self.note_repeat(exchange, target, "unknown");
                Next::Again
            }
            Outcome::Rejected {
                reason,
                retry,
                arrived,
                load,
            } => {
                let retry = Duration::from_millis(retry.into());
                tried.retry = Some(tried.retry.map_or(retry, |known| known.min(retry)));
                tried.reason = Some(reason);
                tried.targets.push(target.clone());
                if reason != Reason::Full {
                    lock(&self.choice).avoid(now, target);
                }
                if arrived && tried.sent + 1 >= exchange.rule.max_attempts {
                    return Next::End(tried.end(exchange, now));
                }
                if arrived && !lock(&self.allowance).try_withdraw(pool) {
                    return Next::End(tried.end(exchange, now));
                }
                if arrived && exchange.key.is_some() {
                    tried.shed += 1;
                    if tried.shed <= SHED.0 {
                        tried.targets.clear();
                        return Next::Later(SHED.1);
                    }
                }
                tried.late += u32::from(reason == Reason::Late && load.limit > 0);
                if tried.late >= LATE || (tried.late > 0 && exchange.key.is_some()) {
                    return Next::End(tried.end(exchange, now));
                }
                Next::Again
            }
        }
    }

    /// Whether a request that may have run may run again, and there is budget.
    fn may_repeat(&self, exchange: &Exchange, pool: &Name, tried: &Tried) -> bool {
        exchange.rule.idempotent
            && tried.sent < exchange.rule.max_attempts
            && exchange.deadline.saturating_sub(self.clock.now()) > WORTH
            && lock(&self.allowance).try_withdraw(pool)
    }

    fn note_repeat(&self, exchange: &Exchange, target: &Name, reason: &'static str) {
        self.metrics.repeats.inc();
        info!(event = "repeat", request = %exchange.id, after = %target, reason);
    }
}

/// The pool for a request, by the weights of the rule.
fn part(rule: &Rule) -> Name {
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

impl Tried {
    /// The end of a request that no target took.
    fn end(&mut self, exchange: &Exchange, now: Duration) -> Verdict {
        if let Some(spare) = self.spare.take() {
            return spare;
        }
        let retry = self.retry.unwrap_or(HOLDER_RETRY).max(RETRY_MIN);
        let reason = self.reason.unwrap_or(Reason::NoTarget);
        let left = exchange.leaves.saturating_sub(now);
        // A caller that came back later would not be answered in its time.
        let retry = retry.min(left.mul_f64(0.33)).max(RETRY_MIN);
        Verdict::Rejected { reason, retry }
    }
}

/// Counts a request that is under way to a target.
struct Sent<'a> {
    host: &'a Host,
    target: &'a Name,
    since: Duration,
    is_over: bool,
}

impl<'a> Sent<'a> {
    fn new(host: &'a Host, target: &'a Name) -> Self {
        lock(&host.choice).request_sent(target);
        Self {
            host,
            target,
            since: host.clock.now(),
            is_over: false,
        }
    }

    fn ended(mut self, outcome: &Outcome) {
        self.is_over = true;
        let load = match outcome {
            Outcome::Answer(answer) => answer.load,
            Outcome::Rejected { load, .. } | Outcome::Unknown { load, .. } => *load,
        };
        let load = (load.limit > 0).then_some(load);
        let now = self.host.clock.now();
        let mut choice = lock(&self.host.choice);
        choice.request_ended(now, self.target, load);
        if let Outcome::Answer(answer) = outcome {
            let there = Duration::from_millis((answer.waited + answer.took).into());
            choice.record_transit(self.target, now.saturating_sub(self.since + there));
        }
    }
}

impl Drop for Sent<'_> {
    fn drop(&mut self) {
        if !self.is_over {
            let now = self.host.clock.now();
            lock(&self.host.choice).request_ended(now, self.target, None);
        }
    }
}

/// Cancels a request to the own target when its caller leaves.
struct Cancel<'a, D: Dialect> {
    host: &'a Arc<Host>,
    key: Key,
    dialect: std::marker::PhantomData<D>,
}

impl<D: Dialect> Drop for Cancel<'_, D> {
    fn drop(&mut self) {
        self.host.cancel::<D>(self.key);
    }
}
