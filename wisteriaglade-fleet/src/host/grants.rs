//! Sends the calls that grant key ranges to the host's target and take them back.
//!
//! [`Issuer`](wisteriaglade_mesh::Issuer) decides which calls are sent; this
//! module carries them out. [`run`] runs as a task for the life of the process.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::{
    Method, Request, Response, StatusCode,
    header::{CONTENT_TYPE, HOST},
    response::Parts,
};
use http_body_util::Full;
use tokio::time::timeout;
use tracing::{debug, info};
use wisteriaglade_mesh::{self as mesh, Call, Order};
use wisteriaglade_types::Name;

use super::{
    Host,
    target::{Failure, Match, Reuse},
};
use crate::{Dialect, lock, metrics::GrantCallLabels};

#[cfg(test)]
mod tests;

/// The longest pause between two checks for calls that are due.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Sends the calls that are due until the process ends.
pub(super) async fn run<D: Dialect>(host: Arc<Host>) {
    while !host.stop.is_cancelled() {
        let now = host.clock.now();
        let (orders, target, report_now) = {
            let mut tracker = lock(&host.tracker);
            let orders = tracker.orders(now, host.grant_client.is_connected());
            let target = tracker.owner().map(|owner| owner.target.clone());
            let (held, unheld) = tracker.held_ranges(now);
            host.metrics.set_ranges(held, unheld);
            (orders, target, tracker.has_new_releases())
        };
        if report_now {
            host.report_now.notify_one();
        }
        if let Some(target) = target {
            for order in orders {
                let host = Arc::clone(&host);
                tokio::spawn(host.send_order::<D>(order, target.clone()));
            }
        }
        let _ = timeout(CHECK_INTERVAL, host.grants_due.notified()).await;
    }
}

impl Host {
    /// Sends a call to the target and reports its result to the tracker.
    async fn send_order<D: Dialect>(self: Arc<Self>, order: Order, target: Name) {
        let Order {
            id,
            call,
            connect_until,
        } = order;
        let request = build_request::<D>(&call, &target, &self.sidecar.target.to_string());
        let result = match request {
            Some(request) => {
                // The response to a release cannot be told from the copy of one to
                // an earlier call.
                let reuse = match call {
                    Call::Grant { .. } => Reuse::OpenBefore {
                        clock: self.clock,
                        until: connect_until,
                    },
                    Call::Release { .. } => Reuse::Never,
                };
                let sending = self.grant_client.call(request, reuse, &WithoutId);
                timeout(call.timeout(), sending).await.unwrap_or_else(|_| {
                    let detail = "the target did not respond in time";
                    Err(Failure::Broken(detail.to_owned()))
                })
            }
            None => Err(Failure::Unsent("the call is not a valid request")),
        };
        let response = interpret::<D>(&result);
        self.record_call(&call, &response, &result);
        let now = self.clock.now();
        lock(&self.tracker).settle(now, id, response);
        self.grants_due.notify_one();
    }

    /// Counts a call and logs it. Renewals that succeed are logged at debug level
    /// only, because each range is renewed about once a second.
    fn record_call(
        &self,
        call: &Call,
        response: &mesh::Response,
        result: &Result<Response<Bytes>, Failure>,
    ) {
        let (span, fence) = (call.span(), call.fence());
        let kind = match call {
            Call::Grant { .. } => "grant",
            Call::Release { .. } => "release",
        };
        let outcome = match response {
            mesh::Response::Done(_) => "done",
            mesh::Response::Outdated => "outdated",
            mesh::Response::Rejected => "rejected",
            mesh::Response::Unknown => "unknown",
        };
        let labels = GrantCallLabels {
            call: kind,
            outcome,
        };
        self.metrics.grant_calls.get_or_create(&labels).inc();
        let is_routine = matches!(call, Call::Grant { .. }) && outcome == "done";
        if is_routine {
            debug!(
                event = "range-granted",
                from = span.from,
                to = span.to,
                fence
            );
            return;
        }
        let detail = match result {
            Ok(response) => response.status().to_string(),
            Err(failure) => format!("{failure:?}"),
        };
        info!(
            event = "range-call",
            call = kind,
            from = span.from,
            to = span.to,
            fence,
            outcome,
            detail
        );
    }
}

/// Matches responses to calls, which have no id that the target would repeat.
struct WithoutId;

impl Match for WithoutId {
    fn id(&self) -> &'static str {
        ""
    }

    /// A refusal is accepted only where it cannot be a copy of an earlier one, which
    /// would let a range count as free although the target holds it. A copy of an
    /// earlier success is accepted: the grant then counts as answered, although the
    /// target may refuse it or still apply it late.
    fn accepts(&self, head: &Parts, is_first: bool) -> bool {
        is_first || head.status.is_success()
    }
}

/// Builds the HTTP request of a call. Returns `None` if a header is invalid.
fn build_request<D: Dialect>(
    call: &Call,
    target: &str,
    address: &str,
) -> Option<Request<Full<Bytes>>> {
    let (path, body) = D::encode_call(call);
    Request::builder()
        .method(Method::POST)
        .uri(path)
        .header(HOST, address)
        .header(CONTENT_TYPE, "application/json")
        .header(D::TARGET, target)
        .body(Full::new(Bytes::from(body)))
        .ok()
}

/// Returns what the result of a call says about its effect.
fn interpret<D: Dialect>(result: &Result<Response<Bytes>, Failure>) -> mesh::Response {
    let response = match result {
        Ok(response) => response,
        Err(Failure::Unsent(_)) => return mesh::Response::Rejected,
        Err(Failure::Broken(_) | Failure::Foreign(_)) => return mesh::Response::Unknown,
    };
    let handover = response.headers().get(D::HANDOVER);
    match response.status() {
        status if status.is_success() => {
            let text = handover.and_then(|value| value.to_str().ok());
            mesh::Response::Done(Name::from(text.unwrap_or_default()))
        }
        StatusCode::CONFLICT => mesh::Response::Outdated,
        StatusCode::BAD_REQUEST | StatusCode::MISDIRECTED_REQUEST => mesh::Response::Rejected,
        _ if response.headers().contains_key(D::NOT_RUN) => mesh::Response::Rejected,
        _ => mesh::Response::Unknown,
    }
}
