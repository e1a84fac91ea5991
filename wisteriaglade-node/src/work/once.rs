//! Serves a request of a rule with at-most-once execution.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, HeaderName, HeaderValue, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::{sync::mpsc, time::timeout_at};
use wisteriaglade_once::{Answer, Fingerprint, Key, owner::Reason as RecordReason};
use wisteriaglade_router::Finish;
use wisteriaglade_types::{Hash, Outcome};

use super::{BUFFERED_CHUNKS, Grant, run, set_header, set_router_headers, stream};
use crate::{
    admission::Guard,
    body::{Body, Chunk},
    context::Context,
    header as names,
    job::Job,
    records::{self, Decision},
    refusal::{Reason, Refusal},
};

/// The part of a response body that is read before the response is recorded.
struct BodyStart {
    bytes: Bytes,
    /// The unread rest of the body, if it is too large to record.
    rest: Option<Incoming>,
}

/// Records the start, runs the request, records the outcome, and returns the
/// response. A repeat gets the recorded response.
pub(super) async fn serve(
    context: Arc<Context>,
    job: Job,
    grant: Grant,
    mut guard: Guard,
) -> Result<Response<Body>, Refusal> {
    let key = idempotency_key(&job, &grant)?;
    let fingerprint = fingerprint(&job);
    let deadline = context.clock.instant(job.deadline);
    let (record, decision) = records::Guard::begin(
        &context,
        grant.shard,
        key,
        fingerprint,
        job.request,
        job.deadline,
    )
    .await;
    match decision {
        Decision::Run => {}
        Decision::Replay(answer) => return replay(&context, &grant, answer),
        Decision::Refuse(reason) => return Err(record_refusal(reason)),
        Decision::Unknown | Decision::Acknowledge => return Err(outcome_unknown()),
    }
    let response = match run(&context, job, &grant, &mut guard).await {
        Ok(response) => response,
        Err(refusal) if refusal.outcome == Outcome::NotRun => {
            record.abort().await;
            return Err(refusal);
        }
        Err(_) => {
            record.finish(None).await;
            return Err(outcome_unknown());
        }
    };
    let (mut parts, body) = response.into_parts();
    set_router_headers(&context, &grant, &mut parts.headers);
    let limit = usize::try_from(context.settings.limits.answer.as_u64()).unwrap_or(usize::MAX);
    let Ok(Some(start)) = timeout_at(deadline, read_body(body, limit)).await else {
        guard.finish(Finish::Failed);
        record.finish(None).await;
        return Err(outcome_unknown());
    };
    let answer = Answer {
        status: parts.status.as_u16(),
        headers: recorded_headers(&parts.headers),
        body: start.rest.is_none().then(|| start.bytes.as_ref().into()),
    };
    if start.rest.is_none() {
        // The target has finished, so its slot is released before the record is
        // written.
        guard.finish(Finish::Served);
    }
    match record.finish(Some(answer.clip())).await {
        Decision::Acknowledge => {}
        _ => return Err(outcome_unknown()),
    }
    let body = match start.rest {
        None => Body::full(start.bytes),
        Some(rest) => {
            let (chunks, receiver) = mpsc::channel(BUFFERED_CHUNKS);
            // The channel is empty, so the first chunk fits.
            let _ = chunks.try_send(Chunk::Data(start.bytes));
            context
                .requests
                .spawn(stream(rest, chunks, guard, deadline));
            Body::channel(receiver)
        }
    };
    Ok(Response::from_parts(parts, body))
}

/// Reads the idempotency key of the request.
fn idempotency_key(job: &Job, grant: &Grant) -> Result<Key, Refusal> {
    let id = job
        .headers
        .get(names::IDEMPOTENCY_KEY)
        .and_then(|value| value.to_str().ok())
        .filter(|id| !id.is_empty() && id.len() <= MAX_KEY_BYTES)
        .ok_or_else(|| {
            Refusal::not_run(
                Reason::IdempotencyKeyRequired,
                "idempotency-key: expected 1 to 255 visible ASCII characters",
            )
        })?;
    Ok(Key {
        pool: grant.rule.pool.clone(),
        hash: grant.hash,
        id: id.into(),
    })
}

/// Longest idempotency key in bytes. It bounds the memory of a record.
const MAX_KEY_BYTES: usize = 255;

/// Hashes the method and the URI, by which the reuse of an idempotency key for
/// another request is detected.
fn fingerprint(job: &Job) -> Fingerprint {
    let work = format!("{} {}", job.method, job.uri);
    Fingerprint::new(Hash::of(&work).get())
}

/// Reads a response body until its end or until it exceeds `limit` bytes.
/// Returns `None` if the connection failed.
async fn read_body(mut body: Incoming, limit: usize) -> Option<BodyStart> {
    let mut bytes = BytesMut::new();
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame.ok()?.into_data() {
            bytes.extend_from_slice(&data);
        }
        if bytes.len() > limit {
            return Some(BodyStart {
                bytes: bytes.freeze(),
                rest: Some(body),
            });
        }
    }
    Some(BodyStart {
        bytes: bytes.freeze(),
        rest: None,
    })
}

/// Returns the headers to record. The epoch and the owner are left out, since
/// a replay sets them to their values at that time.
fn recorded_headers(headers: &HeaderMap) -> Vec<(Arc<str>, Arc<[u8]>)> {
    headers
        .iter()
        .filter(|(name, _)| *name != names::EPOCH && *name != names::OWNER)
        .map(|(name, value)| (name.as_str().into(), value.as_bytes().into()))
        .collect()
}

/// Builds the response to a repeat from the recorded one.
fn replay(context: &Context, grant: &Grant, answer: Answer) -> Result<Response<Body>, Refusal> {
    let Some(body) = answer.body else {
        return Err(Refusal::done(
            Reason::ResponseNotRecorded,
            "the request ran before; its response was too large to record",
        ));
    };
    let mut response = Response::new(Body::full(Bytes::copy_from_slice(&body)));
    *response.status_mut() = StatusCode::from_u16(answer.status).map_err(|_| outcome_unknown())?;
    let headers = response.headers_mut();
    for (name, value) in answer.headers {
        let name = HeaderName::from_bytes(name.as_bytes());
        if let (Ok(name), Ok(value)) = (name, HeaderValue::from_bytes(&value)) {
            headers.append(name, value);
        }
    }
    set_router_headers(context, grant, headers);
    set_header(headers, names::REPLAYED, true);
    Ok(response)
}

/// Converts a reason of the record layer to a refusal.
fn record_refusal(reason: RecordReason) -> Refusal {
    match reason {
        RecordReason::NotOwner => Refusal::not_run(Reason::Moved, "this node does not own the key"),
        RecordReason::Unavailable => Refusal::not_run(
            Reason::RecordsUnavailable,
            "too few record holders can be reached",
        ),
        RecordReason::Full => Refusal::not_run(
            Reason::RecordsUnavailable,
            "the record holders have no room left",
        ),
        RecordReason::Deadline => Refusal::not_run(
            Reason::Deadline,
            "the deadline passed before the start was recorded",
        ),
        RecordReason::KeyReused => Refusal::not_run(
            Reason::IdempotencyKeyReused,
            "the idempotency key was used for another method or path",
        ),
        RecordReason::Aborted => {
            Refusal::not_run(Reason::TargetUnavailable, "the request did not run")
        }
    }
}

/// The refusal when the request may have run.
fn outcome_unknown() -> Refusal {
    Refusal::unknown(
        Reason::OutcomeUnknown,
        "the request was started and its outcome is not recorded",
    )
}
