//! Serves a request that runs at most once.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, HeaderName, HeaderValue, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::{sync::mpsc, time::timeout_at};
use wisteriaglade_once::{Answer, Fingerprint, Key, owner::Reason as RecordReason};
use wisteriaglade_router::Finish;
use wisteriaglade_types::{Hash, Outcome};

use super::{Grant, PIECES, label, run, set, stream};
use crate::{
    admission::Ticket,
    body::{Body, Piece},
    context::Context,
    header as names,
    job::Job,
    records::{self, Verdict},
    refusal::{Reason, Refusal},
};

/// The part of a response that is read before it is recorded.
struct Read {
    bytes: Bytes,
    /// What follows, when the response is too large to record.
    rest: Option<Incoming>,
}

/// Records the start, runs the request, records the outcome and answers.
pub(super) async fn serve(
    context: Arc<Context>,
    job: Job,
    grant: Grant,
    mut ticket: Ticket,
) -> Result<Response<Body>, Refusal> {
    let key = key(&job, &grant)?;
    let fingerprint = fingerprint(&job);
    let deadline = context.clock.instant(job.deadline);
    let (record, verdict) = records::Ticket::begin(
        &context,
        grant.shard,
        key,
        fingerprint,
        job.request,
        job.deadline,
    )
    .await;
    match verdict {
        Verdict::Run => {}
        Verdict::Replay(answer) => return replay(&context, &grant, answer),
        Verdict::Refuse(reason) => return Err(refused(reason)),
        Verdict::Unknown | Verdict::Acknowledge => return Err(unknown()),
    }
    let response = match run(&context, job, &grant, &mut ticket).await {
        Ok(response) => response,
        Err(refusal) if refusal.outcome == Outcome::NotRun => {
            record.abort().await;
            return Err(refusal);
        }
        Err(_) => {
            record.finish(None).await;
            return Err(unknown());
        }
    };
    let (mut parts, body) = response.into_parts();
    label(&context, &grant, &mut parts.headers);
    let limit = usize::try_from(context.settings.limits.answer.as_u64()).unwrap_or(usize::MAX);
    let Ok(Some(read)) = timeout_at(deadline, read(body, limit)).await else {
        ticket.finish(Finish::Failed);
        record.finish(None).await;
        return Err(unknown());
    };
    let answer = Answer {
        status: parts.status.as_u16(),
        headers: recorded(&parts.headers),
        body: read.rest.is_none().then(|| read.bytes.as_ref().into()),
    };
    if read.rest.is_none() {
        // The target is done, so its slot is free while the record is written.
        ticket.finish(Finish::Served);
    }
    match record.finish(Some(answer.clip())).await {
        Verdict::Acknowledge => {}
        _ => return Err(unknown()),
    }
    let body = match read.rest {
        None => Body::full(read.bytes),
        Some(rest) => {
            let (pieces, receiver) = mpsc::channel(PIECES);
            // The channel has room for the first piece.
            let _ = pieces.try_send(Piece::Data(read.bytes));
            context
                .requests
                .spawn(stream(rest, pieces, ticket, deadline));
            Body::channel(receiver)
        }
    };
    Ok(Response::from_parts(parts, body))
}

fn key(job: &Job, grant: &Grant) -> Result<Key, Refusal> {
    let id = job
        .headers
        .get(names::IDEMPOTENCY_KEY)
        .and_then(|value| value.to_str().ok())
        .filter(|id| !id.is_empty() && id.len() <= LONGEST)
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

/// The longest idempotency key in bytes, which bounds the memory of a record.
const LONGEST: usize = 255;

fn fingerprint(job: &Job) -> Fingerprint {
    let work = format!("{} {}", job.method, job.uri);
    Fingerprint::new(Hash::of(&work).get())
}

/// Reads a response up to the size that is recorded. `None` when it broke off.
async fn read(mut body: Incoming, limit: usize) -> Option<Read> {
    let mut bytes = BytesMut::new();
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame.ok()?.into_data() {
            bytes.extend_from_slice(&data);
        }
        if bytes.len() > limit {
            return Some(Read {
                bytes: bytes.freeze(),
                rest: Some(body),
            });
        }
    }
    Some(Read {
        bytes: bytes.freeze(),
        rest: None,
    })
}

fn recorded(headers: &HeaderMap) -> Vec<(Arc<str>, Arc<[u8]>)> {
    headers
        .iter()
        .filter(|(name, _)| *name != names::EPOCH && *name != names::OWNER)
        .map(|(name, value)| (name.as_str().into(), value.as_bytes().into()))
        .collect()
}

fn replay(context: &Context, grant: &Grant, answer: Answer) -> Result<Response<Body>, Refusal> {
    let Some(body) = answer.body else {
        return Err(Refusal::done(
            Reason::ResponseNotRecorded,
            "the request ran before; its response was too large to record",
        ));
    };
    let mut response = Response::new(Body::full(Bytes::copy_from_slice(&body)));
    *response.status_mut() = StatusCode::from_u16(answer.status).map_err(|_| unknown())?;
    let headers = response.headers_mut();
    for (name, value) in answer.headers {
        let name = HeaderName::from_bytes(name.as_bytes());
        if let (Ok(name), Ok(value)) = (name, HeaderValue::from_bytes(&value)) {
            headers.append(name, value);
        }
    }
    label(context, grant, headers);
    set(headers, names::REPLAYED, true);
    Ok(response)
}

fn refused(reason: RecordReason) -> Refusal {
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

fn unknown() -> Refusal {
    Refusal::unknown(
        Reason::OutcomeUnknown,
        "the request was started and its outcome is not recorded",
    )
}
