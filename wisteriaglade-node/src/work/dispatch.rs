//! Sends an admitted request to the target, and a second time if the connection
//! stays silent.

use std::{net::SocketAddr, time::Duration};

use http::{HeaderMap, Request as HttpRequest, Response, header};
use hyper::body::Incoming;
use tokio::time::{sleep, sleep_until};
use tracing::warn;
use wisteriaglade_router::{Class, Finish};
use wisteriaglade_rules::Execution;
use wisteriaglade_types::Outcome;

use super::{Grant, set_header};
use crate::{
    admission::Guard,
    body::Body,
    context::Context,
    header as names,
    job::Job,
    refusal::{Reason, Refusal},
    target::{self, Connection},
};

/// Lower bound of the time after which a connection to the target counts as
/// silent.
const MIN_SILENCE_TIMEOUT: Duration = Duration::from_secs(1);

/// Multiple of the estimated service time after which the connection of short
/// work counts as silent, if the deadline is far enough away.
const SILENCE_FACTOR: u32 = 16;

/// Lower bound of that multiple when the deadline is near.
const MIN_SILENCE_FACTOR: u32 = 4;

/// Sends the request and returns the head of the target's response.
///
/// On failure the guard is finished, which frees the slot.
pub(super) async fn dispatch(
    context: &Context,
    mut job: Job,
    grant: &Grant,
    guard: &mut Guard,
    class: Class,
) -> Result<Response<Incoming>, Refusal> {
    let once = grant.rule.execution == Execution::Once;
    let deadline = context.clock.instant(job.deadline);
    let request = target_request(context, &mut job, grant)?;
    let cancel = job.cancel.clone();
    let abandon = guard.cancel.clone();
    let outcome = tokio::select! {
        outcome = send(context, grant, request, class, job.deadline) => outcome,
        () = sleep_until(deadline) => {
            guard.finish(Finish::Cancelled);
            return Err(Refusal::unknown(Reason::Deadline, "the deadline passed during the work"));
        }
        () = abandon.cancelled() => {
            guard.finish(Finish::Cancelled);
            return Err(Refusal::unknown(Reason::Deadline, "the work was cancelled"));
        }
        // At-most-once work continues when the caller disconnects, so that its
        // outcome is known.
        () = cancel.cancelled(), if !once => {
            guard.finish(Finish::Cancelled);
            return Err(Refusal::unknown(Reason::Deadline, "the caller disconnected"));
        }
    };
    let response = outcome.map_err(|error| {
        guard.finish(Finish::Failed);
        match error {
            target::Error::Unsent(detail) => Refusal::not_run(Reason::TargetUnreachable, detail),
            target::Error::Broken(detail) => Refusal::unknown(Reason::ConnectionLost, detail),
            target::Error::Foreign(detail) => {
                Refusal::unknown(Reason::ConnectionLost, format!("the target sent {detail}"))
            }
        }
    })?;
    context.hear_target(response.headers());
    if let Some(refusal) = shed_refusal(response.headers()) {
        guard.finish(Finish::Shed {
            retry_after: refusal.retry_after,
        });
        return Err(refusal);
    }
    if ends_with_connection(&response) {
        guard.finish(Finish::Failed);
        let detail = "the response has neither a length nor chunks";
        return Err(Refusal::unknown(Reason::ConnectionLost, detail));
    }
    Ok(response)
}

/// Whether only the end of the connection marks the end of a response. It is then
/// not known to be whole, since the connection also ends when the target does.
fn ends_with_connection<B: hyper::body::Body>(response: &Response<B>) -> bool {
    let body = response.body();
    if body.is_end_stream() || body.size_hint().exact().is_some() {
        return false;
    }
    let codings = response.headers().get_all(header::TRANSFER_ENCODING);
    let last = codings
        .iter()
        .next_back()
        .and_then(|value| value.to_str().ok()?.rsplit(',').next());
    last.is_none_or(|last| !last.trim().eq_ignore_ascii_case("chunked"))
}

/// Sends the request, and again over a new connection if the pooled one turns
/// out to be closed.
///
/// Repeatable short work is also sent over a new connection if the first one
/// is silent for much longer than the estimated service time, since a device on
/// the network path may have dropped its state of the connection. The first
/// response wins, but a refusal of one copy leaves open whether the other one runs.
async fn send(
    context: &Context,
    grant: &Grant,
    request: HttpRequest<Body>,
    class: Class,
    deadline: Duration,
) -> target::Result<Response<Incoming>> {
    let once = grant.rule.execution == Execution::Once;
    let second_request = clone_request(&request);
    let connection = if once {
        Connection::Recent
    } else {
        Connection::Pooled
    };
    let first = attempt(context, connection, grant.target, request);
    tokio::pin!(first);
    let Some(second_request) = second_request else {
        return first.await;
    };
    let repeat = !once && class == Class::Short;
    tokio::select! {
        outcome = &mut first => {
            return match outcome {
                Err(target::Error::Unsent(_)) => {
                    attempt(context, Connection::Unpooled, grant.target, second_request).await
                }
                outcome => outcome,
            };
        }
        () = sleep(silence_timeout(context, deadline)), if repeat => {}
    }
    // The copy counts towards the rate limit of the target.
    if !context.admission.start_copy() {
        return first.await;
    }
    let second = attempt(context, Connection::Unpooled, grant.target, second_request);
    tokio::pin!(second);
    let (outcome, other) = tokio::select! {
        outcome = &mut first => (outcome, second),
        outcome = &mut second => (outcome, first),
    };
    if has_run(&outcome) {
        return outcome;
    }
    merge(outcome, other.await)
}

/// Whether the target has run this copy of a request and responded.
fn has_run<B>(outcome: &target::Result<Response<B>>) -> bool {
    matches!(outcome, Ok(response) if shed_refusal(response.headers()).is_none())
}

/// Merges the outcomes of two copies of a request. The request did not run only if
/// neither copy did.
fn merge<B>(
    first: target::Result<Response<B>>,
    second: target::Result<Response<B>>,
) -> target::Result<Response<B>> {
    let may_have_run = |outcome: &target::Result<Response<B>>| match outcome {
        Ok(_) => has_run(outcome),
        Err(error) => !matches!(error, target::Error::Unsent(_)),
    };
    let unsent = matches!(second, Err(target::Error::Unsent(_)));
    if !has_run(&second) && (may_have_run(&first) || unsent) {
        first
    } else {
        second
    }
}

/// Sends the request once. A response that is not its own is logged and counted.
async fn attempt(
    context: &Context,
    connection: Connection,
    address: SocketAddr,
    request: HttpRequest<Body>,
) -> target::Result<Response<Incoming>> {
    let outcome = context.client.send(connection, address, request).await;
    if let Err(target::Error::Foreign(detail)) = &outcome {
        context.metrics.foreign_responses.inc();
        warn!(event = "foreign-response", target = %address, detail);
    }
    outcome
}

/// Returns how long a connection may be silent. Half of the remaining time is
/// reserved for the second attempt.
fn silence_timeout(context: &Context, deadline: Duration) -> Duration {
    let service = context
        .admission
        .inspect(|router| router.summary().service_time)
        .unwrap_or_default();
    let half = deadline.saturating_sub(context.clock.now()) / 2;
    MIN_SILENCE_TIMEOUT
        .max((service * SILENCE_FACTOR).min(half))
        .max(service * MIN_SILENCE_FACTOR)
}

/// Clones the request. Returns `None` if its body isn't in memory.
fn clone_request(request: &HttpRequest<Body>) -> Option<HttpRequest<Body>> {
    let mut clone = HttpRequest::new(request.body().try_clone()?);
    clone.method_mut().clone_from(request.method());
    clone.uri_mut().clone_from(request.uri());
    clone.headers_mut().clone_from(request.headers());
    Some(clone)
}

/// Builds the request for the target, with the headers for the epoch, the id of
/// the request, the shard, the pool, the member and the remaining time in
/// milliseconds. Refuses it if the deadline has passed.
fn target_request(
    context: &Context,
    job: &mut Job,
    grant: &Grant,
) -> Result<HttpRequest<Body>, Refusal> {
    let remaining = job.deadline.saturating_sub(context.clock.now());
    if remaining.is_zero() {
        let detail = "the deadline has passed";
        return Err(Refusal::not_run(Reason::Deadline, detail));
    }
    let mut request = HttpRequest::new(std::mem::replace(&mut job.body, Body::empty()));
    *request.method_mut() = job.method.clone();
    *request.uri_mut() = job.uri.clone();
    *request.headers_mut() = std::mem::take(&mut job.headers);
    let headers = request.headers_mut();
    set_header(headers, names::EPOCH, grant.epoch.get());
    set_header(headers, names::REQUEST, job.request);
    set_header(headers, names::SHARD, grant.shard.get());
    set_header(headers, names::DEADLINE, remaining.as_millis());
    set_header(headers, names::POOL, &grant.rule.pool);
    set_header(headers, names::MEMBER, &grant.rule.member);
    set_header(headers, header::HOST, grant.target);
    Ok(request)
}

/// Returns a refusal if the target reports by its `wg-outcome` header that it
/// shed the request, which means that the work didn't start.
fn shed_refusal(headers: &HeaderMap) -> Option<Refusal> {
    let outcome = headers.get(names::OUTCOME)?;
    if outcome.as_bytes() != Outcome::NotRun.as_str().as_bytes() {
        return None;
    }
    let refusal = Refusal::not_run(Reason::TargetUnavailable, "the target shed the request");
    let seconds = headers
        .get(header::RETRY_AFTER)
        .and_then(|value| value.to_str().ok()?.parse().ok());
    Some(match seconds {
        Some(seconds) => refusal.with_retry_after(Duration::from_secs(seconds)),
        None => refusal,
    })
}

#[cfg(test)]
mod tests;
