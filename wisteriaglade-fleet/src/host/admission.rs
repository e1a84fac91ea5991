//! Requests for the target beside this process.

use std::{
    collections::{HashMap, VecDeque},
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderName, HeaderValue, Method, Request, Response, StatusCode, Uri};
use http_body_util::Full;
use tokio::{sync::oneshot, task::AbortHandle, time::timeout};
use tracing::{info, warn};
use wisteriaglade_mesh::{Arrival, Completion, Condition, Effect, Load, Queue, Reason};
use wisteriaglade_types::Name;

use super::{Host, target::Failure, target::Target};
use crate::{
    Dialect,
    frame::{Answer, Content, Frame, Offer, Outcome},
    link::Port,
    lock,
    metrics::Why,
};

/// How long the end of a request is remembered, for a sender that lost its
/// connection and sends the request again. It exceeds any time that a sender
/// waits for a new connection.
const REMEMBER: Duration = Duration::from_secs(20);

/// Answers up to this size are kept for a sender that lost its connection.
const KEEP_MAX: usize = 64 * 1024;

/// The time after the deadline in which the target's own answer may come.
const OVERTIME: Duration = Duration::from_millis(30);

/// When to come back to a host whose process ends: it starts again within
/// about this time.
pub(super) const RESTART: Duration = Duration::from_millis(700);

/// How long the content of a request may take. Its sender may have to connect
/// again.
const FETCH: Duration = Duration::from_millis(600);

/// A draining target takes new work for this part of the time that it may.
const DRAIN_PART: f64 = 0.4;

/// Who waits for the end of a request.
#[derive(Debug)]
pub(super) enum Reply {
    /// A caller of this host.
    Local(oneshot::Sender<Outcome>),
    /// Another host.
    Port(Port),
}

/// Names a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct Key {
    /// The sender.
    pub(super) host: SocketAddr,
    /// The run of the sender's process.
    pub(super) session: u64,
    /// The sender's number of the request.
    pub(super) id: u64,
}

#[derive(Debug)]
struct Job {
    key: Key,
    offer: Arc<Offer>,
    deadline: Duration,
    arrived: Duration,
    reply: Reply,
    /// The content, if the offer left it out and it has arrived.
    content: Option<Content>,
    /// Whether the content was asked for.
    asked: bool,
    work: Option<AbortHandle>,
}

#[derive(Debug)]
struct Ended {
    key: Key,
    at: Duration,
}

/// Requests for the target beside this process.
#[derive(Debug)]
pub(super) struct Admission {
    target: Target,
    inner: Mutex<Inner>,
}

#[derive(Debug)]
struct Inner {
    queue: Queue,
    jobs: HashMap<u64, Job>,
    ids: HashMap<Key, u64>,
    next: u64,
    ended: VecDeque<Ended>,
    outcomes: HashMap<Key, Option<Outcome>>,
    /// Requests that are about to run and wait for their content.
    fetches: HashMap<Key, oneshot::Sender<Content>>,
}

impl Admission {
    pub(super) fn new(target: SocketAddr) -> Self {
        Self {
            target: Target::new(target),
            inner: Mutex::new(Inner {
                queue: Queue::new(1),
                jobs: HashMap::new(),
                ids: HashMap::new(),
                next: 0,
                ended: VecDeque::new(),
                outcomes: HashMap::new(),
                fetches: HashMap::new(),
            }),
        }
    }

    /// Takes the number of slots that the target announces.
    pub(super) fn resize(&self, slots: u32) {
        lock(&self.inner).queue.resize(slots);
    }

    /// Whether nothing runs or waits.
    pub(super) fn is_idle(&self) -> bool {
        lock(&self.inner).jobs.is_empty()
    }

    /// Requests that run or wait.
    pub(super) fn open(&self) -> usize {
        lock(&self.inner).jobs.len()
    }

    /// The mean time of a request in milliseconds; 0 before any was measured.
    pub(super) fn mean(&self) -> u32 {
        lock(&self.inner).queue.measured_mean().map_or(0, millis)
    }
}

impl Job {
    /// Asks the sender for the content.
    fn ask(&mut self) {
        self.asked = true;
        if let Reply::Port(port) = &self.reply {
            port.send(Frame::Fetch { id: self.key.id });
        }
    }
}

impl Inner {
    /// Ends a request and remembers that it has ended.
    fn end(&mut self, id: u64, now: Duration, outcome: Option<&Outcome>) -> Option<Job> {
        let job = self.jobs.remove(&id)?;
        self.ids.remove(&job.key);
        self.fetches.remove(&job.key);
        let kept = outcome.filter(|outcome| match outcome {
            Outcome::Answer(answer) => answer.body.len() <= KEEP_MAX && !job.offer.repeatable,
            _ => true,
        });
        self.ended.push_back(Ended {
            key: job.key,
            at: now,
        });
        self.outcomes.insert(job.key, kept.cloned());
        while self
            .ended
            .front()
            .is_some_and(|ended| now.saturating_sub(ended.at) > REMEMBER)
        {
            if let Some(ended) = self.ended.pop_front() {
                self.outcomes.remove(&ended.key);
            }
        }
        Some(job)
    }
}

impl Reply {
    fn send(self, id: u64, outcome: Outcome) {
        match self {
            // The caller may have left.
            Self::Local(sender) => drop(sender.send(outcome)),
            Self::Port(port) => port.send(Frame::Outcome { id, outcome }),
        }
    }
}

impl Host {
    /// Takes a request for the target. One that is known is not run again.
    pub(super) fn offer<D: Dialect>(self: &Arc<Self>, key: Key, offer: Offer, reply: Reply) {
        let now = self.clock.now();
        let refused = self.refuse(now, &offer);
        let mut inner = lock(&self.admission.inner);
        if let Some(id) = inner.ids.get(&key).copied() {
            if let Some(job) = inner.jobs.get_mut(&id) {
                job.reply = reply;
                // The content may have been lost with the former connection.
                if job.asked && job.content.is_none() {
                    job.ask();
                }
            }
            return;
        }
        if let Some(known) = inner.outcomes.get(&key) {
            let outcome = known.clone().unwrap_or_else(|| Outcome::Unknown {
                detail: Name::from("answered on a lost connection"),
                load: Load::default(),
            });
            reply.send(key.id, outcome);
            return;
        }
        let id = inner.next;
        inner.next += 1;
        let offer = Arc::new(offer);
        let left = Duration::from_millis(offer.deadline.into());
        let arrival = Arrival {
            id,
            kind: offer.kind,
            priority: offer.priority,
            caller_pool: offer.caller.clone(),
            objective: now + Duration::from_millis(offer.objective.into()),
            deadline: now + left,
            may_wait: offer.waits,
        };
        inner.ids.insert(key, id);
        inner.jobs.insert(
            id,
            Job {
                key,
                offer,
                deadline: now + left,
                arrived: now,
                reply,
                content: None,
                asked: false,
                work: None,
            },
        );
        let mut effects = Vec::new();
        match refused {
            Some((reason, retry)) => effects.push(Effect::Reject { id, reason, retry }),
            None => inner.queue.arrive(now, arrival, &mut effects),
        }
        self.carry_out::<D>(now, &mut inner, effects);
    }

    /// Why the target must not be sent a request at all.
    fn refuse(&self, now: Duration, offer: &Offer) -> Option<(Reason, Duration)> {
        let mut tracker = lock(&self.tracker);
        let beat = self.settings.beat;
        if self.is_closed() {
            return Some((Reason::Draining, RESTART));
        }
        if tracker.owner() != Some(&offer.owner) {
            return Some((Reason::NotTarget, Duration::ZERO));
        }
        let limit = self.settings.drain.mul_f64(DRAIN_PART);
        if tracker.draining(now).is_some_and(|time| time > limit) {
            return Some((Reason::Draining, Duration::ZERO));
        }
        if tracker.condition() == Some(Condition::Silent) {
            return Some((Reason::Down, beat));
        }
        if let Some(key) = offer.key {
            if !tracker.holds(key) {
                return Some((Reason::NotHolder, beat));
            }
            tracker.note(key);
        }
        None
    }

    /// Takes the news that the sender of a request no longer waits.
    pub(super) fn cancel<D: Dialect>(self: &Arc<Self>, key: Key) {
        let now = self.clock.now();
        let mut inner = lock(&self.admission.inner);
        let Some(id) = inner.ids.get(&key).copied() else {
            return;
        };
        let mut effects = Vec::new();
        let waited = inner.queue.cancel(id);
        if let Some(job) = inner.end(id, now, None) {
            info!(
                event = "cancelled", request = %job.offer.request, waited,
                after_ms = now.saturating_sub(job.arrived).as_millis()
            );
            if let Some(work) = job.work {
                work.abort();
            }
        }
        if !waited {
            inner
                .queue
                .finish(now, id, Completion::Cancelled, &mut effects);
        }
        self.carry_out::<D>(now, &mut inner, effects);
    }

    /// Rejects what can no longer be answered in time.
    pub(super) fn expire<D: Dialect>(self: &Arc<Self>) {
        let now = self.clock.now();
        self.admission.target.look();
        let mut inner = lock(&self.admission.inner);
        let load = inner.queue.load();
        self.metrics.running.set(load.running.into());
        self.metrics.waiting.set(load.waiting.into());
        if load.waiting > 0 {
            let mut effects = Vec::new();
            inner.queue.expire(now, &mut effects);
            self.carry_out::<D>(now, &mut inner, effects);
        }
    }

    fn carry_out<D: Dialect>(
        self: &Arc<Self>,
        now: Duration,
        inner: &mut Inner,
        effects: Vec<Effect>,
    ) {
        for effect in effects {
            match effect {
                Effect::Start { id, waited } => {
                    let Some(job) = inner.jobs.get_mut(&id) else {
                        continue;
                    };
                    self.metrics.waited.observe(waited.as_secs_f64());
                    let deadline = job.deadline;
                    let offer = Arc::clone(&job.offer);
                    let host = Arc::clone(self);
                    let work = tokio::spawn(async move {
                        host.work::<D>(id, &offer, deadline, waited).await;
                    });
                    job.work = Some(work.abort_handle());
                }
                Effect::Prefetch { id } => {
                    if let Some(job) = inner.jobs.get_mut(&id)
                        && job.offer.content.is_none()
                    {
                        job.ask();
                    }
                }
                Effect::Reject { id, reason, retry } => {
                    let load = inner.queue.load();
                    let outcome = Outcome::Rejected {
                        reason,
                        retry: millis(retry),
                        arrived: false,
                        load,
                    };
                    let why = Why {
                        reason: reason.as_str(),
                    };
                    self.metrics.rejections.get_or_create(&why).inc();
                    if let Some(job) = inner.end(id, now, Some(&outcome)) {
                        if reason != Reason::Full {
                            info!(
                                event = "rejected",
                                request = %job.offer.request,
                                reason = reason.as_str(),
                                key = job.offer.key,
                                retry_ms = retry.as_millis(),
                                running = load.running,
                                waiting = load.waiting,
                                limit = load.limit,
                                left_ms = job.deadline.saturating_sub(now).as_millis()
                            );
                        }
                        job.reply.send(job.key.id, outcome);
                    }
                }
            }
        }
    }

    /// Sends a request to the target and passes on how it ended.
    async fn work<D: Dialect>(
        self: Arc<Self>,
        id: u64,
        offer: &Offer,
        deadline: Duration,
        waited: Duration,
    ) {
        let content = match &offer.content {
            Some(content) => Some(content.clone()),
            None => self.fetch(id).await,
        };
        let start = self.clock.now();
        let left = deadline.saturating_sub(start);
        let request = content.and_then(|content| request::<D>(offer, &content, left));
        let result = match request {
            Some(request) => {
                let call = self.admission.target.call(request, offer.repeatable);
                match timeout(left + OVERTIME, call).await {
                    Ok(result) => result,
                    Err(_) => Err(Failure::Broken("no answer within the deadline".to_owned())),
                }
            }
            None => Err(Failure::Unsent(
                "the content did not arrive or cannot be written",
            )),
        };
        let now = self.clock.now();
        let took = now.saturating_sub(start);
        self.metrics.target.observe(took.as_secs_f64());
        let (finish, outcome) = self.judge::<D>(offer, result, took, waited);
        if finish != Completion::Done {
            info!(
                event = "target-failed",
                request = %offer.request,
                outcome = ?Short(&outcome),
                took_ms = took.as_millis(),
                left_ms = left.saturating_sub(took).as_millis()
            );
        }
        let mut inner = lock(&self.admission.inner);
        let mut effects = Vec::new();
        inner.queue.finish(now, id, finish, &mut effects);
        if let Some(job) = inner.end(id, now, Some(&outcome)) {
            job.reply.send(job.key.id, outcome);
        }
        self.carry_out::<D>(now, &mut inner, effects);
    }

    /// Asks the sender of a request for its content.
    async fn fetch(&self, id: u64) -> Option<Content> {
        let content = {
            let mut inner = lock(&self.admission.inner);
            let job = inner.jobs.get_mut(&id)?;
            let key = job.key;
            if let Some(content) = job.content.take() {
                return Some(content);
            }
            if !job.asked {
                job.ask();
            }
            let (sender, content) = oneshot::channel();
            inner.fetches.insert(key, sender);
            content
        };
        // The sender is dropped when the request is cancelled.
        timeout(FETCH, content).await.ok()?.ok()
    }

    /// Takes the content of a request.
    pub(super) fn deliver(&self, key: Key, content: Content) {
        let mut inner = lock(&self.admission.inner);
        if let Some(fetch) = inner.fetches.remove(&key) {
            // The request may have been cancelled.
            drop(fetch.send(content));
        } else if let Some(id) = inner.ids.get(&key).copied()
            && let Some(job) = inner.jobs.get_mut(&id)
        {
            // Its work may have been started and not have asked for it yet.
            job.content = Some(content);
        }
    }

    /// What the target's response means.
    fn judge<D: Dialect>(
        &self,
        offer: &Offer,
        result: Result<Response<Bytes>, Failure>,
        took: Duration,
        waited: Duration,
    ) -> (Completion, Outcome) {
        let (load, nested) = {
            let queue = &lock(&self.admission.inner).queue;
            (queue.load(), queue.is_nested(offer.kind))
        };
        let unknown = |detail: String| Outcome::Unknown {
            detail: Name::from(detail),
            load,
        };
        let response = match result {
            Ok(response) => response,
            Err(Failure::Unsent(detail)) => {
                warn!(event = "target-unreachable", request = %offer.request, detail);
                let outcome = Outcome::Rejected {
                    reason: Reason::Down,
                    retry: millis(self.settings.beat),
                    arrived: false,
                    load,
                };
                return (Completion::Shed, outcome);
            }
            Err(Failure::Broken(detail)) => return (Completion::Broken, unknown(detail)),
        };
        let (head, body) = response.into_parts();
        let not_run = head.headers.contains_key(D::NOT_RUN);
        if not_run || head.status == StatusCode::MISDIRECTED_REQUEST {
            let reason = match head.status {
                StatusCode::MISDIRECTED_REQUEST if offer.key.is_some() => Reason::NotHolder,
                StatusCode::MISDIRECTED_REQUEST => Reason::NotTarget,
                _ => Reason::Shed,
            };
            let outcome = Outcome::Rejected {
                reason,
                retry: millis(took.max(Duration::from_millis(50))),
                arrived: true,
                load,
            };
            return (Completion::Shed, outcome);
        }
        let echoed = head.headers.get(D::REQUEST_ID);
        if echoed.is_none_or(|id| id.as_bytes() != offer.request.as_bytes()) {
            let detail = "the answer belongs to another request";
            return (Completion::Broken, unknown(detail.to_owned()));
        }
        let headers = head
            .headers
            .iter()
            .map(|(name, value)| {
                let value = Bytes::copy_from_slice(value.as_bytes());
                (name.as_str().to_owned(), value)
            })
            .collect();
        let answer = Answer {
            status: head.status.as_u16(),
            headers,
            body,
            took: millis(took),
            waited: millis(waited),
            nested,
            load,
        };
        (Completion::Done, Outcome::Answer(answer))
    }
}

/// An outcome without the bytes of an answer.
struct Short<'a>(&'a Outcome);

impl std::fmt::Debug for Short<'_> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self.0 {
            Outcome::Answer(answer) => write!(f, "answer-{}", answer.status),
            Outcome::Rejected { reason, .. } => f.write_str(reason.as_str()),
            Outcome::Unknown { detail, .. } => write!(f, "unknown: {detail}"),
        }
    }
}

/// The request for the target.
fn request<D: Dialect>(
    offer: &Offer,
    content: &Content,
    left: Duration,
) -> Option<Request<Full<Bytes>>> {
    let mut request = Request::new(Full::new(content.body.clone()));
    *request.method_mut() = content.method.parse::<Method>().ok()?;
    *request.uri_mut() = content.target.parse::<Uri>().ok()?;
    let headers = request.headers_mut();
    for (name, value) in &content.headers {
        let name = HeaderName::from_bytes(name.as_bytes()).ok()?;
        headers.append(name, HeaderValue::from_bytes(value).ok()?);
    }
    let mut set = |name: &'static str, value: &str| -> Option<()> {
        let name = HeaderName::from_bytes(name.as_bytes()).ok()?;
        headers.insert(name, HeaderValue::from_str(value).ok()?);
        Some(())
    };
    set(D::DEADLINE, &left.as_millis().to_string())?;
    set(D::TARGET, &offer.owner.target)?;
    Some(request)
}

/// Whole milliseconds, as frames carry them.
pub(super) fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
