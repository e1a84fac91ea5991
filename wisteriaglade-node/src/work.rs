//! Serves a request on the node that owns its key.
//!
//! [`serve`] is called by `ingress` for requests whose owner is this node, and
//! by `peer` for forwarded requests. It checks the ownership, waits for
//! admission, dispatches the request to the target, and relays the response.

mod dispatch;
mod once;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Response, header};
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body as _, Incoming};
use tokio::sync::mpsc;
use tracing::{Instrument, info_span};
use wisteriaglade_router::{Arrival, Class, Finish, Length, Router};
use wisteriaglade_rules::{Execution, Length as RuleLength, Rule};
use wisteriaglade_types::{Epoch, Hash, Node, Outcome, Shard};

use crate::{
    admission::{Decision, Guard},
    body::{Body, Chunk},
    context::Context,
    header as names,
    job::Job,
    read,
    refusal::{Reason, Refusal},
    trace,
};

/// Response bodies up to this size are buffered before they are passed on, so
/// that a slow caller doesn't occupy the target's slot.
const MAX_BUFFERED_BYTES: u64 = 64 * 1024;

/// Chunks of a streamed response body that are buffered for a slow caller.
const BUFFERED_CHUNKS: usize = 8;

/// The rule of a request, and the grant and the target under which it runs.
#[derive(Debug, Clone)]
struct Grant {
    rule: Arc<Rule>,
    hash: Hash,
    node: Node,
    shard: Shard,
    /// The fencing token that is sent to the target.
    epoch: Epoch,
    /// Address of the target.
    target: SocketAddr,
}

/// Serves a request, or refuses it if this node doesn't own its key.
pub(crate) async fn serve(context: &Arc<Context>, mut job: Job) -> Result<Response<Body>, Refusal> {
    context.learn_limit(&mut job.headers);
    let grant = resolve_grant(context, &job)?;
    let mut guard = context.admission.enter(job.request, grant.shard);
    // The shard is marked busy now, so it cannot be released after this check.
    verify_grant(context, &grant)?;
    if grant.rule.execution == Execution::Once {
        // Runs in its own task, so that the outcome is recorded even if the
        // caller disconnects.
        let task = once::serve(Arc::clone(context), job, grant, guard);
        let task = context.requests.spawn(task.in_current_span());
        return task.await.unwrap_or_else(|_| {
            Err(Refusal::unknown(
                Reason::OutcomeUnknown,
                "the task of the request failed",
            ))
        });
    }
    let deadline = context.clock.instant(job.deadline);
    let response = run(context, job, &grant, &mut guard).await?;
    relay(context, response, &grant, guard, deadline).await
}

/// Waits for admission, checks the ownership once more, and dispatches the
/// request to the target.
async fn run(
    context: &Arc<Context>,
    mut job: Job,
    grant: &Grant,
    guard: &mut Guard,
) -> Result<Response<Incoming>, Refusal> {
    let class = admit(context, &job, grant, guard).await?;
    verify_grant(context, grant)?;
    let span = info_span!(
        "target",
        request = %job.request,
        shard = grant.shard.get(),
        epoch = grant.epoch.get(),
        limit = context.admission.inspect(Router::rate_limit),
        leaving = context.is_target_draining()
    );
    trace::inject(&span, &mut job.headers);
    dispatch::dispatch(context, job, grant, guard, class)
        .instrument(span)
        .await
}

/// Resolves the rule, the grant and the target of a request. Refuses it if the
/// local state is stale or this node doesn't own the key.
fn resolve_grant(context: &Context, job: &Job) -> Result<Grant, Refusal> {
    if !context.current() {
        return Err(Refusal::not_run(
            Reason::Stale,
            "this node cannot confirm that its state is recent",
        ));
    }
    let node = context.node().ok_or_else(not_owner)?;
    let view = read(&context.view);
    let found = view
        .rules
        .find(job.method.as_str(), job.uri.path())
        .ok_or_else(|| Refusal::not_run(Reason::NoRule, "no rule matches at the owner"))?;
    let hash = Hash::of(&found.key);
    let grant = view
        .state
        .locate(&found.rule.pool, hash)
        .ok_or_else(not_owner)?;
    if grant.owner != Some(node) || grant.moving_to.is_some() {
        return Err(not_owner());
    }
    let target = view
        .state
        .node(node)
        .and_then(|process| process.target())
        .ok_or_else(not_owner)?;
    Ok(Grant {
        rule: Arc::clone(found.rule),
        hash,
        node,
        shard: grant.shard,
        epoch: grant.epoch,
        target: target.address,
    })
}

/// The refusal of a node that doesn't own the key.
fn not_owner() -> Refusal {
    Refusal::not_run(Reason::Moved, "this node does not own the key")
}

/// Checks that this node still holds its lease and the same grant.
fn verify_grant(context: &Context, grant: &Grant) -> Result<(), Refusal> {
    if !context.holds_lease() || context.node() != Some(grant.node) {
        return Err(not_owner());
    }
    let present = context.locate(&grant.rule.pool, grant.hash);
    let same = present.is_some_and(|present| {
        present.owner == Some(grant.node)
            && present.epoch == grant.epoch
            && present.moving_to.is_none()
    });
    if same { Ok(()) } else { Err(not_owner()) }
}

/// Queues the request for admission. Returns its class of work once it may be
/// dispatched.
async fn admit(
    context: &Context,
    job: &Job,
    grant: &Grant,
    guard: &mut Guard,
) -> Result<Class, Refusal> {
    let arrival = Arrival {
        request: job.request,
        member: grant.rule.member.clone(),
        caller: job.caller.clone(),
        route: u32::try_from(grant.rule.line).unwrap_or(u32::MAX),
        key: grant.hash,
        weight: grant.rule.weight,
        length: match grant.rule.length {
            RuleLength::Short => Length::Short,
            RuleLength::Long => Length::Long,
            RuleLength::Learned => Length::Learned,
        },
        deadline: job.deadline,
    };
    let decision = tokio::select! {
        decision = guard.admit(arrival) => decision,
        () = job.cancel.cancelled() => {
            return Err(Refusal::not_run(Reason::Deadline, "the caller disconnected"));
        }
    };
    match decision {
        Decision::Dispatch(class) => Ok(class),
        Decision::Refuse(reason, after) => {
            context
                .metrics
                .record_refusal(&grant.rule.member, reason.as_str());
            Err(admission_refusal(reason, after))
        }
    }
}

/// Converts a reason of the admission queue to a refusal.
fn admission_refusal(reason: wisteriaglade_router::Reason, after: Option<Duration>) -> Refusal {
    use wisteriaglade_router::Reason as Admission;
    let refusal = match reason {
        Admission::Full | Admission::Overload => {
            Refusal::not_run(Reason::Overloaded, "the queue of the target is full")
        }
        Admission::Deadline | Admission::Expired => {
            Refusal::not_run(Reason::Deadline, "the deadline cannot be met")
        }
        Admission::Limited => {
            let detail = "the target takes fewer requests at the moment";
            Refusal::not_run(Reason::Overloaded, detail)
        }
        Admission::Departed => Refusal::not_run(Reason::Deadline, "the caller disconnected"),
        Admission::Draining => Refusal::not_run(Reason::Moved, "the target is leaving"),
        Admission::Absent | Admission::Unresponsive => {
            Refusal::not_run(Reason::TargetUnreachable, "the target does not respond")
        }
    };
    match after {
        Some(after) => refusal.with_retry_after(after),
        None => refusal,
    }
}

/// Sets a header, unless the value isn't valid in a header.
fn set_header(headers: &mut HeaderMap, name: header::HeaderName, value: impl std::fmt::Display) {
    if let Ok(value) = HeaderValue::from_str(&value.to_string()) {
        headers.insert(name, value);
    }
}

/// Relays the target's response: a small body is buffered, a larger one is
/// streamed.
async fn relay(
    context: &Arc<Context>,
    response: Response<Incoming>,
    grant: &Grant,
    mut guard: Guard,
    deadline: tokio::time::Instant,
) -> Result<Response<Body>, Refusal> {
    let (mut parts, body) = response.into_parts();
    set_router_headers(context, grant, &mut parts.headers);
    if body
        .size_hint()
        .upper()
        .is_some_and(|upper| upper <= MAX_BUFFERED_BYTES)
    {
        let buffered = read_buffered(body, deadline).await;
        guard.finish(if buffered.is_ok() {
            Finish::Served
        } else {
            Finish::Failed
        });
        return buffered.map(|bytes| Response::from_parts(parts, Body::full(bytes)));
    }
    let (chunks, receiver) = mpsc::channel(BUFFERED_CHUNKS);
    context
        .requests
        .spawn(stream(body, chunks, guard, deadline));
    Ok(Response::from_parts(parts, Body::channel(receiver)))
}

/// Removes the hop-by-hop headers of the target's response and sets the
/// router's own ones.
fn set_router_headers(context: &Context, grant: &Grant, headers: &mut HeaderMap) {
    names::remove_hop_by_hop(headers);
    headers.remove(names::REQUEST);
    set_header(headers, names::OUTCOME, Outcome::Done);
    set_header(headers, names::EPOCH, grant.epoch.get());
    let advertised = context.settings.listen.advertise.caller;
    let caller = advertised.unwrap_or(context.addresses.caller);
    set_header(headers, names::OWNER, caller);
}

/// Reads a whole body of bounded size until the deadline.
async fn read_buffered(body: Incoming, deadline: tokio::time::Instant) -> Result<Bytes, Refusal> {
    let limit = usize::try_from(MAX_BUFFERED_BYTES).unwrap_or(usize::MAX);
    let collect = Limited::new(body, limit).collect();
    match tokio::time::timeout_at(deadline, collect).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) => Err(Refusal::unknown(Reason::ConnectionLost, error.to_string())),
        Err(_) => Err(Refusal::unknown(
            Reason::Deadline,
            "the deadline passed during the response",
        )),
    }
}

/// Streams a body to a channel, and occupies the target's slot until its end.
async fn stream(
    mut body: Incoming,
    chunks: mpsc::Sender<Chunk>,
    mut guard: Guard,
    deadline: tokio::time::Instant,
) {
    let pass = async {
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else {
                return Finish::Failed;
            };
            if let Ok(data) = frame.into_data()
                && chunks.send(Chunk::Data(data)).await.is_err()
            {
                return Finish::Cancelled;
            }
        }
        let _ = chunks.send(Chunk::End).await;
        Finish::Served
    };
    let finish = tokio::time::timeout_at(deadline, pass).await;
    guard.finish(finish.unwrap_or(Finish::Cancelled));
}
