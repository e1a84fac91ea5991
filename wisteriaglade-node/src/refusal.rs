//! Refusals: responses that the router gives itself instead of the target.

use std::time::Duration;

use http::{HeaderValue, Response, StatusCode, header};
use serde::{Deserialize, Serialize};
use wisteriaglade_types::Outcome;

use crate::{body::Body, header as names};

/// The reason of a refusal.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Reason {
    /// No rule matches the method and the path.
    NoRule,
    /// The request is malformed.
    BadRequest,
    /// The rule has at-most-once execution and the request has no idempotency
    /// key.
    IdempotencyKeyRequired,
    /// The idempotency key was used for another request.
    IdempotencyKeyReused,
    /// The body exceeds the size limit.
    BodyTooLarge,
    /// The key currently has no owner.
    NoOwner,
    /// This node cannot confirm that its control state is recent enough.
    Stale,
    /// The node that the request was sent to doesn't own the shard any more, or
    /// the shard moved while the body was sent.
    Moved,
    /// The queue is full, or the member has used up its share.
    Overloaded,
    /// The deadline passed, or cannot be met.
    Deadline,
    /// The owner's node cannot be reached.
    Unreachable,
    /// The target refused the connection or does not respond.
    TargetUnreachable,
    /// The target shed the request.
    TargetUnavailable,
    /// The records of at-most-once requests cannot be written currently.
    RecordsUnavailable,
    /// The connection failed or was silent for too long after the request was
    /// sent.
    ConnectionLost,
    /// The request was started and its outcome was not recorded.
    OutcomeUnknown,
    /// The request ran before and its response was too large to record.
    ResponseNotRecorded,
    /// The process is shutting down.
    ShuttingDown,
}

impl Reason {
    /// Returns the name of the reason in JSON bodies, logs and metrics.
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::NoRule => "no-rule",
            Self::BadRequest => "bad-request",
            Self::IdempotencyKeyRequired => "idempotency-key-required",
            Self::IdempotencyKeyReused => "idempotency-key-reused",
            Self::BodyTooLarge => "body-too-large",
            Self::NoOwner => "no-owner",
            Self::Stale => "stale",
            Self::Moved => "moved",
            Self::Overloaded => "overloaded",
            Self::Deadline => "deadline",
            Self::Unreachable => "unreachable",
            Self::TargetUnreachable => "target-unreachable",
            Self::TargetUnavailable => "target-unavailable",
            Self::RecordsUnavailable => "records-unavailable",
            Self::ConnectionLost => "connection-lost",
            Self::OutcomeUnknown => "outcome-unknown",
            Self::ResponseNotRecorded => "response-not-recorded",
            Self::ShuttingDown => "shutting-down",
        }
    }

    /// Returns the HTTP status of the refusal.
    const fn status(self) -> StatusCode {
        match self {
            Self::NoRule => StatusCode::NOT_FOUND,
            Self::BadRequest | Self::IdempotencyKeyRequired => StatusCode::BAD_REQUEST,
            Self::IdempotencyKeyReused => StatusCode::UNPROCESSABLE_ENTITY,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Overloaded => StatusCode::TOO_MANY_REQUESTS,
            Self::Deadline => StatusCode::GATEWAY_TIMEOUT,
            Self::Unreachable | Self::ConnectionLost | Self::OutcomeUnknown => {
                StatusCode::BAD_GATEWAY
            }
            Self::ResponseNotRecorded => StatusCode::CONFLICT,
            Self::NoOwner
            | Self::Stale
            | Self::Moved
            | Self::TargetUnreachable
            | Self::TargetUnavailable
            | Self::RecordsUnavailable
            | Self::ShuttingDown => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// Returns whether an immediate retry by the ingress node may succeed.
    pub(crate) const fn is_transient(self) -> bool {
        matches!(
            self,
            Self::NoOwner
                | Self::Moved
                | Self::Unreachable
                | Self::TargetUnreachable
                | Self::ShuttingDown
        )
    }
}

/// A response of the router itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Refusal {
    /// Whether the work ran.
    pub(crate) outcome: Outcome,
    pub(crate) reason: Reason,
    /// Explanation for people; programs use the reason.
    pub(crate) detail: String,
    /// Time after which a retry makes sense, if known.
    pub(crate) retry_after: Option<Duration>,
}

/// The JSON body of a refusal.
#[derive(Debug, Serialize)]
struct ErrorBody<'a> {
    outcome: &'a str,
    reason: &'a str,
    detail: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
}

impl Refusal {
    /// Creates a refusal of a request that didn't run and won't run.
    pub(crate) fn not_run(reason: Reason, detail: impl Into<String>) -> Self {
        Self {
            outcome: Outcome::NotRun,
            reason,
            detail: detail.into(),
            retry_after: None,
        }
    }

    /// Creates a refusal of a request that may have run.
    pub(crate) fn unknown(reason: Reason, detail: impl Into<String>) -> Self {
        Self {
            outcome: Outcome::Unknown,
            ..Self::not_run(reason, detail)
        }
    }

    /// Creates a refusal of a request that ran, but whose response isn't
    /// available.
    pub(crate) fn done(reason: Reason, detail: impl Into<String>) -> Self {
        Self {
            outcome: Outcome::Done,
            ..Self::not_run(reason, detail)
        }
    }

    /// Sets the time after which the caller should retry.
    pub(crate) fn with_retry_after(mut self, wait: Duration) -> Self {
        self.retry_after = Some(wait);
        self
    }

    /// Builds the HTTP response.
    pub(crate) fn to_response(&self) -> Response<Body> {
        let wait = self.retry_after.map(|wait| wait.as_millis());
        let body = ErrorBody {
            outcome: self.outcome.as_str(),
            reason: self.reason.as_str(),
            detail: &self.detail,
            retry_after_ms: wait.map(|wait| u64::try_from(wait).unwrap_or(u64::MAX)),
        };
        let text = serde_json::to_vec(&body).unwrap_or_default();
        let mut response = Response::new(Body::full(text));
        *response.status_mut() = self.reason.status();
        let headers = response.headers_mut();
        headers.insert(
            header::CONTENT_TYPE,
            HeaderValue::from_static("application/json"),
        );
        headers.insert(
            names::OUTCOME,
            HeaderValue::from_static(self.outcome.as_str()),
        );
        if let Some(wait) = self.retry_after {
            // The header has whole seconds, rounded up; the body has
            // milliseconds.
            let seconds = wait.as_millis().div_ceil(1_000);
            if let Ok(value) = HeaderValue::from_str(&seconds.to_string()) {
                headers.insert(header::RETRY_AFTER, value);
            }
        }
        response
    }
}
