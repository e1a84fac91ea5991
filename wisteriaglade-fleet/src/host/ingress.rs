//! The callers' interface.

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
    admission::RESTART,
    exchange::{Ending, Exchange, Verdict},
};
use crate::{
    Dialect,
    frame::Content,
    metrics::Ended,
    read,
    server::{self, Service, Unread},
};

/// One in this many requests that went well is logged, chosen by its id so
/// that every process keeps the same ones.
const SAMPLE: u64 = 64;

/// When to come back to a host that knows no plan yet.
const STARTING: Duration = Duration::from_millis(300);

/// How long a request without a time limit of its own may take.
const UNLIMITED: Duration = Duration::from_mins(10);

/// Headers that concern one connection only.
const HOP: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "expect",
];

/// Answers the callers of this host.
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

    async fn serve(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let host = &self.host;
        let received = host.clock.now();
        let text = |name: &str| {
            let value = request.headers().get(name);
            value.and_then(|value| value.to_str().ok())
        };
        let id = Name::from(text(D::REQUEST_ID).unwrap_or_default());
        let patience = text(D::DEADLINE)
            .and_then(|value| value.trim().parse::<f64>().ok())
            .filter(|millis| millis.is_finite() && *millis >= 0.0)
            .map_or(UNLIMITED, |millis| {
                Duration::from_secs_f64(millis.min(600_000.0) / 1000.0)
            });
        let key = text(D::KEY).and_then(|value| value.trim().parse::<u16>().ok());
        let (rule, limit) = {
            let view = read(&host.view);
            let Some(plan) = &view.plan else {
                drop(view);
                info!(event = "refused", request = %id, reason = "no-plan");
                return unavailable(STARTING);
            };
            let authority = text(HOST.as_str()).or_else(|| request.uri().host());
            let path = request.uri().path();
            let rule = view.table.find(authority.unwrap_or_default(), path);
            (rule.map(Arc::clone), plan.limits.max_body_bytes)
        };
        let Some(rule) = rule else {
            debug!(event = "refused", request = %id, reason = "no-rule");
            return status(StatusCode::NOT_FOUND);
        };
        let (head, body) = request.into_parts();
        let body = match server::body(body, limit).await {
            Ok(body) => body,
            Err(Unread::TooLong) => return status(StatusCode::PAYLOAD_TOO_LARGE),
            Err(Unread::Broken) => return status(StatusCode::BAD_REQUEST),
        };
        let exchange = Exchange {
            id,
            received,
            deadline: received + patience.min(rule.timeout),
            leaves: received + patience,
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
                headers: forwarded::<D>(&head.headers, &host.beside.pool),
                body,
            },
        };
        let ending = host.exchange::<D>(&exchange).await;
        self.conclude(&exchange, ending, head.method == http::Method::HEAD)
    }

    /// The response to the caller, with a log line.
    fn conclude(
        &self,
        exchange: &Exchange,
        ending: Ending,
        is_head: bool,
    ) -> Response<Full<Bytes>> {
        let host = &self.host;
        let now = host.clock.now();
        let took = now.saturating_sub(exchange.received);
        let rule = &exchange.rule;
        host.metrics.latency.observe(took.as_secs_f64());
        let Ending {
            verdict,
            target,
            offers,
        } = ending;
        let outcome = verdict.outcome();
        let label = Ended {
            rule: rule.name.to_string(),
            outcome,
        };
        host.metrics.requests.get_or_create(&label).inc();
        let is_late = took > rule.objective;
        let is_sampled = xxhash_rust::xxh3::xxh3_64(exchange.id.as_bytes()).is_multiple_of(SAMPLE);
        if outcome != "answer" || is_late || is_sampled {
            info!(
                event = "request",
                request = %exchange.id,
                rule = %rule.name,
                outcome,
                detail = %verdict.detail(),
                target = target.as_deref().unwrap_or("none"),
                offers,
                took_ms = took.as_millis(),
                left_ms = exchange.leaves.saturating_sub(now).as_millis(),
                plan = read(&host.view).version()
            );
        }
        let mut response = match verdict {
            Verdict::Answer(answer) => {
                let mut response = Response::new(Full::new(answer.body));
                *response.status_mut() =
                    StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
                for (name, value) in &answer.headers {
                    let skip = HOP.contains(&name.as_str())
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
            Verdict::Rejected { retry, .. } => unavailable(retry),
            Verdict::Failed(_) => status(StatusCode::BAD_GATEWAY),
            Verdict::TimedOut => status(StatusCode::GATEWAY_TIMEOUT),
        };
        if host.is_leaving() {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, close);
        }
        response
    }
}

impl<D: Dialect> Service for Ingress<D> {
    async fn answer(&self, _: SocketAddr, request: Request<Incoming>) -> Response<Full<Bytes>> {
        if self.host.is_closed() {
            let id = request.headers().get(D::REQUEST_ID);
            info!(event = "refused", request = ?id, reason = "closed");
            let mut response = unavailable(RESTART);
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, close);
            return response;
        }
        let _open = Open::new(&self.host);
        self.serve(request).await
    }
}

/// Counts a request that has no answer yet.
struct Open<'a>(&'a Host);

impl<'a> Open<'a> {
    fn new(host: &'a Host) -> Self {
        host.callers.fetch_add(1, Ordering::Relaxed);
        Self(host)
    }
}

impl Drop for Open<'_> {
    fn drop(&mut self) {
        self.0.callers.fetch_sub(1, Ordering::Relaxed);
    }
}

/// The headers that go to the target.
fn forwarded<D: Dialect>(headers: &HeaderMap, pool: &Name) -> Vec<(String, Bytes)> {
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
            !HOP.contains(&name)
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

fn status(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}

/// A request that has not run and will not; the caller may come back.
fn unavailable(retry: Duration) -> Response<Full<Bytes>> {
    let mut response = status(StatusCode::SERVICE_UNAVAILABLE);
    let seconds = format!("{:.3}", retry.as_secs_f64());
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        response.headers_mut().insert(RETRY_AFTER, value);
    }
    response
}
