//! Admission of requests for the host's own target.
//!
//! [`Admission`] holds the requests that this host and other hosts offer for
//! the target. The [`Queue`] decides which of them run, wait or are rejected;
//! this module carries out its decisions, calls the target and sends the
//! outcome to the host that offered the request.
//!
//! A sender that lost its connection offers its requests again. Each request
//! is run at most once: [`Host::admit`] recognizes a repeated offer by its
//! [`OfferId`] and returns the stored outcome if the request has already ended.

use std::{
    collections::HashMap,
    marker::PhantomData,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderName, HeaderValue, Method, Request, Response, StatusCode, Uri, response::Parts};
use http_body_util::Full;
use tokio::{
    sync::{Notify, oneshot},
    task::AbortHandle,
    time::timeout,
};
use tracing::{info, warn};
use wisteriaglade_mesh::{Arrival, Completion, Condition, Effect, Load, Notice, Queue, Reason};
use wisteriaglade_types::Name;

use super::{
    Host,
    outcomes::Outcomes,
    target::{Client, Failure, Match, Reuse},
    tracker::Tracker,
};
use crate::{
    Dialect,
    frame::{Answer, Content, Frame, Offer, Outcome},
    link::Connection,
    lock,
    metrics::RejectionLabels,
};

/// The largest response body, in bytes, that is kept for a sender that lost its
/// connection.
const MAX_KEPT_BODY_BYTES: usize = 64 * 1024;

/// The time after the deadline in which a response of the target is still
/// accepted.
const RESPONSE_GRACE: Duration = Duration::from_millis(30);

/// The Retry-After for a host that is stopping or unreachable. A process
/// restarts within about this time.
pub(super) const RESTART_RETRY_AFTER: Duration = Duration::from_millis(700);

/// How long to wait for the content of a request. It allows for a sender that
/// has to connect again first.
const FETCH_TIMEOUT: Duration = Duration::from_millis(600);

/// The fraction of the drain time in which a draining target still takes new
/// requests.
pub(super) const DRAIN_ACCEPT_RATIO: f64 = 0.4;

/// The shortest interval between two looks at the requests that wait for the limit
/// of the target.
const MIN_START_INTERVAL: Duration = Duration::from_millis(2);

/// Where the outcome of a request is sent.
#[derive(Debug)]
pub(super) enum Reply {
    /// To a task of this process that handles a caller's request.
    Local(oneshot::Sender<Outcome>),
    /// To another host, on the connection that carried the offer.
    Remote(Connection),
}

/// Identifies an offered request across all senders.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct OfferId {
    /// The peer address of the sending host.
    pub(super) host: SocketAddr,
    /// The session of the sending process.
    pub(super) session: u64,
    /// The id of the offer within the session.
    pub(super) id: u64,
}

/// A request that waits or runs.
#[derive(Debug)]
struct Job {
    offer_id: OfferId,
    offer: Arc<Offer>,
    /// When the sender stops waiting, on the clock of the process.
    deadline: Duration,
    /// When the offer arrived, on the clock of the process.
    arrived: Duration,
    reply: Reply,
    /// The content, if it was left out of the offer, has arrived and has not
    /// been used yet.
    content: Option<Content>,
    /// Whether the sender was asked for the content.
    content_requested: bool,
    /// The task that sends the request to the target, once it runs.
    task: Option<AbortHandle>,
}

/// The requests that wait or run at the host's own target.
#[derive(Debug)]
pub(super) struct Admission {
    target: Client,
    inner: Mutex<Inner>,
    /// Notified when a request may wait for the limit that the target names.
    limit_changed: Notify,
}

/// The part of [`Admission`] that is locked.
#[derive(Debug)]
struct Inner {
    queue: Queue,
    /// The requests that wait or run, by their id in the queue.
    jobs: HashMap<u64, Job>,
    /// The queue ids of the requests in `jobs`.
    job_ids: HashMap<OfferId, u64>,
    next_id: u64,
    /// The requests that ended recently.
    outcomes: Outcomes,
    /// Tasks that wait for the content of their request.
    fetches: HashMap<OfferId, oneshot::Sender<Content>>,
}

impl Admission {
    pub(super) fn new(target: SocketAddr) -> Self {
        Self {
            target: Client::new(target),
            limit_changed: Notify::new(),
            inner: Mutex::new(Inner {
                queue: Queue::new(1),
                jobs: HashMap::new(),
                job_ids: HashMap::new(),
                next_id: 0,
                outcomes: Outcomes::default(),
                fetches: HashMap::new(),
            }),
        }
    }

    /// Sets the number of slots to what the target's last heartbeat announced.
    pub(super) fn resize(&self, slots: u32) {
        lock(&self.inner).queue.resize(slots);
    }

    /// Sets what the target last said of itself; `None` if it is not known.
    pub(super) fn set_notice(&self, now: Duration, notice: Option<Notice>) {
        lock(&self.inner).queue.set_notice(now, notice);
    }

    /// Whether no request runs or waits.
    pub(super) fn is_idle(&self) -> bool {
        lock(&self.inner).jobs.is_empty()
    }

    /// The number of requests that run or wait.
    pub(super) fn open_requests(&self) -> usize {
        lock(&self.inner).jobs.len()
    }

    /// The mean time of a request at the target in milliseconds; 0 before any
    /// was measured.
    pub(super) fn mean_ms(&self) -> u32 {
        lock(&self.inner).queue.measured_mean().map_or(0, millis)
    }
}

impl Job {
    /// Asks the sender for the content of the request. A local sender always
    /// includes it in the offer.
    fn request_content(&mut self) {
        self.content_requested = true;
        if let Reply::Remote(connection) = &self.reply {
            connection.send(Frame::Fetch {
                id: self.offer_id.id,
            });
        }
    }
}

impl Inner {
    /// Removes a request and stores its outcome for repeated offers. An answer is
    /// not stored if its body is large or the request may run again.
    fn remove_job(&mut self, id: u64, now: Duration, outcome: Option<&Outcome>) -> Option<Job> {
        let job = self.jobs.remove(&id)?;
        self.job_ids.remove(&job.offer_id);
        self.fetches.remove(&job.offer_id);
        let kept = outcome.filter(|outcome| match outcome {
            Outcome::Answer(answer) => {
                answer.body.len() <= MAX_KEPT_BODY_BYTES && !job.offer.repeatable
            }
            _ => true,
        });
        self.outcomes
            .insert(now, job.offer_id, job.deadline, kept.cloned());
        Some(job)
    }
}

impl Reply {
    fn send(self, id: u64, outcome: Outcome) {
        match self {
            // Fails if the caller has disconnected, which is harmless.
            Self::Local(sender) => drop(sender.send(outcome)),
            Self::Remote(connection) => connection.send(Frame::Outcome { id, outcome }),
        }
    }
}

impl Host {
    /// Queues or rejects a request that was offered for the target.
    ///
    /// A repeated offer is not run again: if the request is still open, its
    /// outcome goes to the new `reply`, else the stored outcome is sent.
    pub(super) fn admit<D: Dialect>(
        self: &Arc<Self>,
        offer_id: OfferId,
        offer: Offer,
        reply: Reply,
    ) {
        let now = self.clock.now();
        let refusal = self.refusal(now, &offer);
        if !matches!(refusal, Some((Reason::NotTarget, _))) {
            self.learn_notice(offer.notice);
        }
        let mut inner = lock(&self.admission.inner);
        if let Some(id) = inner.job_ids.get(&offer_id).copied() {
            if let Some(job) = inner.jobs.get_mut(&id) {
                job.reply = reply;
                // The content may have been lost with the previous connection.
                if job.content_requested && job.content.is_none() {
                    job.request_content();
                }
            }
            return;
        }
        if let Some(known) = inner.outcomes.get(&offer_id) {
            let outcome = known.clone().unwrap_or_else(|| Outcome::Unknown {
                detail: Name::from("the request ended while its sender was disconnected"),
                load: Load::default(),
            });
            reply.send(offer_id.id, outcome);
            return;
        }
        let id = inner.next_id;
        inner.next_id += 1;
        let offer = Arc::new(offer);
        let left = Duration::from_millis(offer.deadline.into());
        let arrival = Arrival {
            id,
            kind: offer.kind,
            priority: offer.priority,
            caller_pool: offer.caller.clone(),
            objective: now + Duration::from_millis(offer.objective.into()),
            deadline: now + left,
            may_wait: offer.may_queue,
            has_alternative: offer.has_alternative,
        };
        inner.job_ids.insert(offer_id, id);
        inner.jobs.insert(
            id,
            Job {
                offer_id,
                offer,
                deadline: now + left,
                arrived: now,
                reply,
                content: None,
                content_requested: false,
                task: None,
            },
        );
        let mut effects = Vec::new();
        match refusal {
            Some((reason, retry)) => effects.push(Effect::Reject { id, reason, retry }),
            None => inner.queue.arrive(now, arrival, &mut effects),
        }
        self.apply_effects::<D>(now, &mut inner, effects);
        if inner.queue.limit_wait(now).is_some() {
            self.admission.limit_changed.notify_one();
        }
    }

    /// Checks whether a request may be queued at all. Returns the reason for a
    /// refusal and the time after which the sender may try again. Returns `None`
    /// if it may be queued, in which case it counts towards the load of its key.
    fn refusal(&self, now: Duration, offer: &Offer) -> Option<(Reason, Duration)> {
        let mut tracker = lock(&self.tracker);
        let heartbeat_interval = self.settings.beat;
        if self.is_closed() {
            return Some((Reason::Draining, RESTART_RETRY_AFTER));
        }
        if tracker.owner() != Some(&offer.owner) {
            return Some((Reason::NotTarget, Duration::ZERO));
        }
        if self.has_drained(&tracker, now) {
            return Some((Reason::Draining, Duration::ZERO));
        }
        if tracker.condition() == Some(Condition::Silent) {
            return Some((Reason::Down, heartbeat_interval));
        }
        if let Some(key) = offer.key {
            if !tracker.holds(now, key) {
                return Some((Reason::NotHolder, heartbeat_interval));
            }
            tracker.record_request(key);
        }
        None
    }

    /// Cancels a request whose sender no longer waits for it.
    pub(super) fn cancel<D: Dialect>(self: &Arc<Self>, offer_id: OfferId) {
        let now = self.clock.now();
        let mut inner = lock(&self.admission.inner);
        let Some(id) = inner.job_ids.get(&offer_id).copied() else {
            return;
        };
        let mut effects = Vec::new();
        let waited = inner.queue.cancel(id);
        if let Some(job) = inner.remove_job(id, now, None) {
            info!(
                event = "cancelled", request = %job.offer.request, waited,
                after_ms = now.saturating_sub(job.arrived).as_millis()
            );
            if let Some(task) = job.task {
                task.abort();
            }
        }
        if !waited {
            inner
                .queue
                .finish(now, id, Completion::Cancelled, &mut effects);
        }
        self.apply_effects::<D>(now, &mut inner, effects);
    }

    /// Starts waiting requests at the moments at which the limit of the target allows
    /// it, until the process ends.
    pub(super) async fn start_limited<D: Dialect>(self: Arc<Self>) {
        while !self.stop.is_cancelled() {
            let wait = lock(&self.admission.inner)
                .queue
                .limit_wait(self.clock.now());
            let changed = self.admission.limit_changed.notified();
            match wait {
                // A new request may come before the others.
                Some(wait) => drop(timeout(wait.max(MIN_START_INTERVAL), changed).await),
                None => changed.await,
            }
            self.tick_admission::<D>();
        }
    }

    /// Rejects waiting requests that the target may no longer be sent, starts those
    /// that its limit allows by now, closes idle connections and updates the load
    /// gauges.
    pub(super) fn tick_admission<D: Dialect>(self: &Arc<Self>) {
        let now = self.clock.now();
        self.admission.target.close_stale();
        let inner = lock(&self.admission.inner);
        let load = inner.queue.load(now);
        self.metrics.running.set(load.running.into());
        self.metrics.waiting.set(load.waiting.into());
        drop(inner);
        if load.waiting > 0 {
            self.reject_drained::<D>(now);
            self.reject_lost_keys::<D>(now);
            let mut inner = lock(&self.admission.inner);
            let mut effects = Vec::new();
            inner.queue.start_waiting(now, &mut effects);
            self.apply_effects::<D>(now, &mut inner, effects);
        }
    }

    /// Rejects all waiting requests once the target has been draining so long that it
    /// may be sent no more: another target can run them in time.
    fn reject_drained<D: Dialect>(self: &Arc<Self>, now: Duration) {
        if !self.has_drained(&lock(&self.tracker), now) {
            return;
        }
        let mut inner = lock(&self.admission.inner);
        let mut effects = Vec::new();
        inner.queue.reject_all(Reason::Draining, &mut effects);
        self.apply_effects::<D>(now, &mut inner, effects);
    }

    /// Whether the target has been draining so long that it may be sent no more.
    fn has_drained(&self, tracker: &Tracker, now: Duration) -> bool {
        let limit = self.settings.drain.mul_f64(DRAIN_ACCEPT_RATIO);
        tracker.draining_for(now).is_some_and(|time| time > limit)
    }

    /// Rejects waiting requests whose key has moved away from the target.
    pub(super) fn reject_lost_keys<D: Dialect>(self: &Arc<Self>, now: Duration) {
        let mut inner = lock(&self.admission.inner);
        let tracker = lock(&self.tracker);
        let waiting = inner.jobs.iter().filter(|(_, job)| job.task.is_none());
        let lost: Vec<u64> = waiting
            .filter(|(_, job)| job.offer.key.is_some_and(|key| tracker.has_lost(now, key)))
            .map(|(id, _)| *id)
            .collect();
        drop(tracker);
        let (reason, retry) = (Reason::NotHolder, self.settings.beat);
        let mut effects = Vec::new();
        for id in lost {
            if inner.queue.cancel(id) {
                effects.push(Effect::Reject { id, reason, retry });
            }
        }
        self.apply_effects::<D>(now, &mut inner, effects);
    }

    /// Carries out the decisions of the queue.
    fn apply_effects<D: Dialect>(
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
                    self.metrics.queue_time.observe(waited.as_secs_f64());
                    let deadline = job.deadline;
                    let offer = Arc::clone(&job.offer);
                    let host = Arc::clone(self);
                    let task = tokio::spawn(async move {
                        host.run_job::<D>(id, &offer, deadline, waited).await;
                    });
                    job.task = Some(task.abort_handle());
                }
                Effect::Prefetch { id } => {
                    if let Some(job) = inner.jobs.get_mut(&id)
                        && job.offer.content.is_none()
                    {
                        job.request_content();
                    }
                }
                Effect::Reject { id, reason, retry } => {
                    let load = inner.queue.load(now);
                    let outcome = Outcome::Rejected {
                        reason,
                        retry: millis(retry),
                        by_target: false,
                        load,
                    };
                    let label = RejectionLabels {
                        reason: reason.as_str(),
                    };
                    self.metrics.rejections.get_or_create(&label).inc();
                    if let Some(job) = inner.remove_job(id, now, Some(&outcome)) {
                        if !matches!(reason, Reason::Full | Reason::Limited) {
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
                        job.reply.send(job.offer_id.id, outcome);
                    }
                }
            }
        }
    }

    /// Sends a request to the target and its outcome to the sender of the
    /// request. Runs in a task of its own.
    async fn run_job<D: Dialect>(
        self: Arc<Self>,
        id: u64,
        offer: &Offer,
        deadline: Duration,
        waited: Duration,
    ) {
        let content = match &offer.content {
            Some(content) => Some(content.clone()),
            None => self.fetch_content(id).await,
        };
        let start = self.clock.now();
        let left = deadline.saturating_sub(start);
        let request = content.and_then(|content| build_request::<D>(offer, &content, left));
        let result = match request {
            Some(request) => {
                let reuse = if offer.repeatable {
                    Reuse::Any
                } else {
                    Reuse::Recent
                };
                let matching = ById::<D>::new(&offer.request);
                self.metrics.target_requests.inc();
                let call = self.admission.target.call(request, reuse, &matching);
                match timeout(left + RESPONSE_GRACE, call).await {
                    Ok(result) => result,
                    Err(_) => Err(Failure::Broken(
                        "the target did not respond before the deadline".to_owned(),
                    )),
                }
            }
            None => Err(Failure::Unsent(
                "the content did not arrive or is not a valid request",
            )),
        };
        let now = self.clock.now();
        let took = now.saturating_sub(start);
        self.metrics.target_time.observe(took.as_secs_f64());
        if let Ok(response) = &result {
            self.hear_target::<D>(response.headers());
        }
        let (finish, outcome) = self.classify::<D>(offer, result, took, waited);
        if finish != Completion::Done {
            info!(
                event = "target-failed",
                request = %offer.request,
                outcome = ?OutcomeSummary(&outcome),
                took_ms = took.as_millis(),
                left_ms = left.saturating_sub(took).as_millis()
            );
        }
        let mut inner = lock(&self.admission.inner);
        let mut effects = Vec::new();
        inner.queue.finish(now, id, finish, &mut effects);
        if let Some(job) = inner.remove_job(id, now, Some(&outcome)) {
            job.reply.send(job.offer_id.id, outcome);
        }
        self.apply_effects::<D>(now, &mut inner, effects);
    }

    /// Returns the content of a request that the offer left out, and asks the
    /// sender for it if necessary. `None` if it does not arrive in time.
    async fn fetch_content(&self, id: u64) -> Option<Content> {
        let content = {
            let mut inner = lock(&self.admission.inner);
            let job = inner.jobs.get_mut(&id)?;
            let offer_id = job.offer_id;
            if let Some(content) = job.content.take() {
                return Some(content);
            }
            if !job.content_requested {
                job.request_content();
            }
            let (sender, content) = oneshot::channel();
            inner.fetches.insert(offer_id, sender);
            content
        };
        // The channel is closed when the request is cancelled.
        timeout(FETCH_TIMEOUT, content).await.ok()?.ok()
    }

    /// Hands over the content of a request, which its sender was asked for.
    pub(super) fn deliver(&self, offer_id: OfferId, content: Content) {
        let mut inner = lock(&self.admission.inner);
        if let Some(fetch) = inner.fetches.remove(&offer_id) {
            // Fails if the request was cancelled, which is harmless.
            drop(fetch.send(content));
        } else if let Some(id) = inner.job_ids.get(&offer_id).copied()
            && let Some(job) = inner.jobs.get_mut(&id)
        {
            // The task of the request may not be waiting for the content yet.
            job.content = Some(content);
        }
    }

    /// Translates the result of a call to the target into what the queue and the
    /// sender are told.
    ///
    /// A response with status 421 or the header [`Dialect::NOT_RUN`] means that
    /// the target did not run the request.
    fn classify<D: Dialect>(
        &self,
        offer: &Offer,
        result: Result<Response<Bytes>, Failure>,
        took: Duration,
        waited: Duration,
    ) -> (Completion, Outcome) {
        let (load, nested) = {
            let queue = &lock(&self.admission.inner).queue;
            (queue.load(self.clock.now()), queue.is_nested(offer.kind))
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
                    by_target: false,
                    load,
                };
                return (Completion::Shed, outcome);
            }
            Err(Failure::Broken(detail)) => return (Completion::Broken, unknown(detail)),
            Err(Failure::Foreign(earlier)) => {
                self.metrics.foreign_responses.inc();
                let detail = format!(
                    "the target sent a response to another request, {earlier} responses \
                     after it was connected to"
                );
                return (Completion::Broken, unknown(detail));
            }
        };
        let (head, body) = response.into_parts();
        let not_run = head.headers.contains_key(D::NOT_RUN);
        if not_run || head.status == StatusCode::MISDIRECTED_REQUEST {
            self.metrics.target_refusals.inc();
            let reason = match head.status {
                StatusCode::MISDIRECTED_REQUEST if offer.key.is_some() => Reason::NotHolder,
                StatusCode::MISDIRECTED_REQUEST => Reason::NotTarget,
                _ => Reason::Shed,
            };
            let outcome = Outcome::Rejected {
                reason,
                retry: millis(took.max(Duration::from_millis(50))),
                by_target: true,
                load,
            };
            return (Completion::Shed, outcome);
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

/// Matches responses by the id of the request, which the target repeats.
struct ById<'a, D> {
    id: &'a str,
    dialect: PhantomData<D>,
}

impl<'a, D> ById<'a, D> {
    fn new(id: &'a str) -> Self {
        Self {
            id,
            dialect: PhantomData,
        }
    }
}

impl<D: Dialect> Match for ById<'_, D> {
    fn id(&self) -> &str {
        self.id
    }

    /// A response without an id is only accepted if it tells that the target did
    /// not run the request and cannot be a copy.
    fn accepts(&self, head: &Parts, is_first: bool) -> bool {
        if let Some(id) = head.headers.get(D::REQUEST_ID) {
            return id.as_bytes() == self.id.as_bytes();
        }
        let says_not_run =
            head.headers.contains_key(D::NOT_RUN) || head.status == StatusCode::MISDIRECTED_REQUEST;
        says_not_run && is_first
    }
}

/// Formats an outcome for the log, without the headers and body of an answer.
struct OutcomeSummary<'a>(&'a Outcome);

impl std::fmt::Debug for OutcomeSummary<'_> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self.0 {
            Outcome::Answer(answer) => write!(f, "answer-{}", answer.status),
            Outcome::Rejected { reason, .. } => f.write_str(reason.as_str()),
            Outcome::Unknown { detail, .. } => write!(f, "unknown: {detail}"),
        }
    }
}

/// Builds the HTTP request for the target. Returns `None` if the method, URI or
/// a header of the content is invalid.
fn build_request<D: Dialect>(
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

/// Converts a duration to whole milliseconds, the unit of times in frames.
pub(super) fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
