//! The HTTP listener for the callers on this host.
//!
//! It reads a request, finds the rule for it, hands it to
//! [`Host::exchange`] and turns the result into the response.

use std::{
    marker::PhantomData,
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use bytes::Bytes;
use http::{
    HeaderMap, HeaderName, HeaderValue, Request, Response, StatusCode,
    header::{CONNECTION, CONTENT_LENGTH, HOST, RETRY_AFTER},
};
use http_body_util::Full;
use hyper::body::Incoming;
use tracing::{debug, info};
use wisteriaglade_types::Name;

use super::{
    Host,
    admission::RESTART_RETRY_AFTER,
    exchange::{Exchange, Resolution, Summary},
};
use crate::{
    Dialect,
    frame::Content,
    metrics::RequestLabels,
    read,
    server::{self, BodyError, Service},
};

/// One in this many successful requests is logged. A hash of the request id
/// decides, so that all processes log the same requests.
const SAMPLE_DIVISOR: u64 = 64;

/// The Retry-After of a host that has not received a plan yet.
const STARTING_RETRY_AFTER: Duration = Duration::from_millis(300);

/// The time limit of a request without a deadline header.
const DEFAULT_TIMEOUT: Duration = Duration::from_mins(10);

/// Hop-by-hop headers, which apply to one connection and are not forwarded.
const HOP_BY_HOP: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "expect",
];

/// The HTTP service for the callers on this host.
#[derive(Debug)]
pub(super) struct Ingress<D> {
    host: Arc<Host>,
    dialect: PhantomData<D>,
}

impl<D> Clone for Ingress<D> {
    fn clone(&self) -> Self {
        Self {
            host: Arc::clone(&self.host),
            dialect: PhantomData,
        }
    }
}

impl<D: Dialect> Ingress<D> {
    pub(super) fn new(host: Arc<Host>) -> Self {
        Self {
            host,
            dialect: PhantomData,
        }
    }

    /// Handles a request: finds its rule, reads its body and gets the result.
    ///
    /// Responds with 503 while there is no plan, 404 if no rule matches, 413 to
    /// a body over the limit of the plan and 400 to an incomplete one.
    async fn serve(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let host = &self.host;
        let received = host.clock.now();
        let header = |name: &str| {
            let value = request.headers().get(name);
            value.and_then(|value| value.to_str().ok())
        };
        let id = Name::from(header(D::REQUEST_ID).unwrap_or_default());
        let caller_timeout = header(D::DEADLINE)
            .and_then(|value| value.trim().parse::<f64>().ok())
            .filter(|millis| millis.is_finite() && *millis >= 0.0)
            .map_or(DEFAULT_TIMEOUT, |millis| {
                Duration::from_secs_f64(millis.min(600_000.0) / 1000.0)
            });
        let key = header(D::KEY).and_then(|value| value.trim().parse::<u16>().ok());
        let (rule, limit) = {
            let view = read(&host.view);
            let Some(plan) = &view.plan else {
                drop(view);
                info!(event = "refused", request = %id, reason = "no-plan");
                return unavailable(STARTING_RETRY_AFTER);
            };
            let authority = header(HOST.as_str()).or_else(|| request.uri().host());
            let path = request.uri().path();
            let rule = view.rule_table.find(authority.unwrap_or_default(), path);
            (rule.map(Arc::clone), plan.limits.max_body_bytes)
        };
        let Some(rule) = rule else {
            debug!(event = "refused", request = %id, reason = "no-rule");
            return empty_response(StatusCode::NOT_FOUND);
        };
        let (head, body) = request.into_parts();
        let body = match server::read_body(body, limit).await {
            Ok(body) => body,
            Err(BodyError::TooLarge) => return empty_response(StatusCode::PAYLOAD_TOO_LARGE),
            Err(BodyError::Incomplete) => return empty_response(StatusCode::BAD_REQUEST),
        };
        let exchange = Exchange {
            id,
            received,
            deadline: received + caller_timeout.min(rule.timeout),
            caller_deadline: received + caller_timeout,
            kind: xxhash_rust::xxh3::xxh3_64(rule.name.as_bytes()),
            rule,
            key,
            content: Content {
                method: head.method.as_str().to_owned(),
                target: head
                    .uri
                    .path_and_query()
                    .map_or("/", |path| path.as_str())
                    .to_owned(),
                headers: forwarded_headers::<D>(&head.headers, &host.sidecar.pool),
                body,
            },
        };
        let summary = host.exchange::<D>(&exchange).await;
        self.respond(&exchange, summary, head.method == http::Method::HEAD)
    }

    /// Builds the response to the caller, counts the request and logs it if it
    /// failed, was late or is in the sample.
    fn respond(
        &self,
        exchange: &Exchange,
        summary: Summary,
        is_head: bool,
    ) -> Response<Full<Bytes>> {
        let host = &self.host;
        let now = host.clock.now();
        let took = now.saturating_sub(exchange.received);
        let rule = &exchange.rule;
        host.metrics.latency.observe(took.as_secs_f64());
        let Summary {
            resolution,
            target,
            notice,
            offers,
        } = summary;
        let outcome = resolution.label();
        let label = RequestLabels {
            rule: rule.name.to_string(),
            outcome,
        };
        host.metrics.requests.get_or_create(&label).inc();
        let is_late = took > rule.objective;
        let is_sampled =
            xxhash_rust::xxh3::xxh3_64(exchange.id.as_bytes()).is_multiple_of(SAMPLE_DIVISOR);
        if outcome != "answer" || is_late || is_sampled {
            info!(
                event = "request",
                request = %exchange.id,
                rule = %rule.name,
                outcome,
                detail = %resolution.detail(),
                target = target.as_deref().unwrap_or("none"),
                target_limit = notice.rate_limit,
                target_leaving = notice.leaving,
                offers,
                took_ms = took.as_millis(),
                left_ms = exchange.caller_deadline.saturating_sub(now).as_millis(),
                plan = read(&host.view).plan_version()
            );
        }
        let mut response = match resolution {
            Resolution::Answer(answer) => {
                let mut response = Response::new(Full::new(answer.body));
                *response.status_mut() =
                    StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
                for (name, value) in &answer.headers {
                    let skip = HOP_BY_HOP.contains(&name.as_str())
                        || (name == CONTENT_LENGTH.as_str() && !is_head);
                    if skip {
                        continue;
                    }
                    if let (Ok(name), Ok(value)) = (
                        HeaderName::from_bytes(name.as_bytes()),
                        HeaderValue::from_bytes(value),
                    ) {
                        response.headers_mut().append(name, value);
                    }
                }
                response
            }
            Resolution::Rejected { retry, .. } => unavailable(retry),
            Resolution::Failed(_) => empty_response(StatusCode::BAD_GATEWAY),
            Resolution::TimedOut => empty_response(StatusCode::GATEWAY_TIMEOUT),
        };
        if host.is_shutting_down() {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, close);
        }
        response
    }
}

impl<D: Dialect> Service for Ingress<D> {
    /// The time in the plan; without a plan there is none.
    fn idle_timeout(&self) -> Option<Duration> {
        let view = read(&self.host.view);
        let timeout = view.plan.as_ref().map(|plan| plan.limits.idle_timeout);
        timeout.filter(|timeout| !timeout.is_zero())
    }

    async fn answer(&self, _: SocketAddr, request: Request<Incoming>) -> Response<Full<Bytes>> {
        if self.host.is_closed() {
            let id = request.headers().get(D::REQUEST_ID);
            info!(event = "refused", request = ?id, reason = "closed");
            let mut response = unavailable(RESTART_RETRY_AFTER);
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, close);
            return response;
        }
        let _guard = OpenRequest::new(&self.host);
        self.serve(request).await
    }
}

/// Counts a request in [`Host::open_requests`] until it is dropped.
struct OpenRequest<'a>(&'a Host);

impl<'a> OpenRequest<'a> {
    fn new(host: &'a Host) -> Self {
        host.open_requests.fetch_add(1, Ordering::Relaxed);
        Self(host)
    }
}

impl Drop for OpenRequest<'_> {
    fn drop(&mut self) {
        self.0.open_requests.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Returns the headers that are forwarded to the target, with the pool of the
/// caller added.
///
/// Left out are hop-by-hop headers, those that `Connection` lists, the content
/// length and headers that the hosts set themselves.
fn forwarded_headers<D: Dialect>(headers: &HeaderMap, pool: &Name) -> Vec<(String, Bytes)> {
    let listed: Vec<String> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let set_here = [D::DEADLINE, D::TARGET, D::CALLER];
    let mut result: Vec<(String, Bytes)> = headers
        .iter()
        .filter(|(name, _)| {
            let name = name.as_str();
            !HOP_BY_HOP.contains(&name)
                && name != CONTENT_LENGTH.as_str()
                && !listed.iter().any(|other| other == name)
                && !set_here
                    .iter()
                    .any(|other| other.eq_ignore_ascii_case(name))
        })
        .map(|(name, value)| {
            let value = Bytes::copy_from_slice(value.as_bytes());
            (name.as_str().to_owned(), value)
        })
        .collect();
    let caller = Bytes::copy_from_slice(pool.as_bytes());
    result.push((D::CALLER.to_ascii_lowercase(), caller));
    result
}

/// Builds a response without a body.
fn empty_response(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}

/// Builds a response with status 503 for a request that has not run, with a
/// Retry-After in seconds to the millisecond.
fn unavailable(retry: Duration) -> Response<Full<Bytes>> {
    let mut response = empty_response(StatusCode::SERVICE_UNAVAILABLE);
    let seconds = format!("{:.3}", retry.as_secs_f64());
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        response.headers_mut().insert(RETRY_AFTER, value);
    }
    response
}
