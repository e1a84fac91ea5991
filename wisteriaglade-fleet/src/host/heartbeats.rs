//! The control listener of a host, which its target calls.
//!
//! The target sends heartbeats, which the response answers with a grant of key
//! ranges, and announces when it leaves.

use std::{marker::PhantomData, net::SocketAddr, sync::Arc};

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use tracing::{info, warn};
use wisteriaglade_types::Name;

use super::Host;
use crate::{
    Dialect,
    dialect::Call,
    lock, read,
    server::{self, Service},
    settings::Beside,
};

/// The largest body of a heartbeat in bytes, enough for a few hundred key
/// ranges.
const MAX_BODY_BYTES: usize = 256 * 1024;

/// The HTTP service that answers the heartbeats and leave messages of the
/// target.
#[derive(Debug)]
pub(super) struct Heartbeats<D> {
    host: Arc<Host>,
    dialect: PhantomData<D>,
}

impl<D> Clone for Heartbeats<D> {
    fn clone(&self) -> Self {
        Self {
            host: Arc::clone(&self.host),
            dialect: PhantomData,
        }
    }
}

impl<D: Dialect> Heartbeats<D> {
    pub(super) fn new(host: Arc<Host>) -> Self {
        Self {
            host,
            dialect: PhantomData,
        }
    }

    /// Builds an error response in the format of the dialect.
    fn error_response(status: StatusCode, detail: &str) -> Response<Full<Bytes>> {
        server::json(status, D::encode_error(detail))
    }

    /// Handles a heartbeat; the response holds the grant. A heartbeat with the
    /// address or the pool of another target is answered with 400, one that is
    /// outdated with 409.
    fn handle_heartbeat(&self, target: &Name, body: &[u8]) -> Response<Full<Bytes>> {
        let host = &self.host;
        let heartbeat = match D::decode_heartbeat(target, body) {
            Ok(heartbeat) => heartbeat,
            Err(error) => {
                info!(event = "beat-refused", target = %target, reason = %error);
                return Self::error_response(StatusCode::BAD_REQUEST, &error.to_string());
            }
        };
        let Beside {
            target: address,
            pool,
            ..
        } = &host.sidecar;
        if heartbeat.address != *address || heartbeat.pool != *pool {
            warn!(event = "beat-foreign", target = %target, address = %heartbeat.address, pool = %heartbeat.pool);
            return Self::error_response(
                StatusCode::BAD_REQUEST,
                "the address or the service is not that of this host's target",
            );
        }
        let now = host.clock.now();
        let accepted = lock(&host.tracker).apply_heartbeat(now, &heartbeat);
        let Some((grant, report_now)) = accepted else {
            return Self::error_response(StatusCode::CONFLICT, "a newer heartbeat is known");
        };
        host.admission.resize(heartbeat.slots);
        host.update_notice();
        host.reject_lost_keys::<D>(now);
        host.grants_due.notify_one();
        if report_now {
            let view = read(&host.view);
            lock(&host.tracker).update_keyspaces(view.directory_index, &view.keyspaces);
            drop(view);
            host.report_now.notify_one();
        }
        if let Some(grant) = &grant
            && grant.omitted > 0
        {
            warn!(event = "grant-cut", target = %target, ranges = grant.ranges.len(), omitted = grant.omitted);
        }
        server::json(StatusCode::OK, D::encode_grant(grant.as_ref()))
    }

    /// Handles the announcement that the target leaves.
    fn handle_leave(&self, target: &Name, body: &[u8]) -> Response<Full<Bytes>> {
        let born = match D::decode_leave(body) {
            Ok(born) => born,
            Err(error) => {
                info!(event = "leave-refused", target = %target, reason = %error);
                return Self::error_response(StatusCode::BAD_REQUEST, &error.to_string());
            }
        };
        let now = self.host.clock.now();
        if lock(&self.host.tracker).apply_leave(now, target, born) {
            self.host.report_now.notify_one();
        }
        server::json(StatusCode::OK, b"{}".to_vec())
    }
}

impl<D: Dialect> Service for Heartbeats<D> {
    async fn answer(&self, _: SocketAddr, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let call = D::call(request.method(), request.uri());
        if !matches!(call, Some(Call::Heartbeat(_) | Call::Leave(_))) {
            return Self::error_response(StatusCode::NOT_FOUND, "no such call");
        }
        let Ok(body) = server::read_body(request.into_body(), MAX_BODY_BYTES).await else {
            return Self::error_response(StatusCode::BAD_REQUEST, "the body is incomplete");
        };
        match &call {
            Some(Call::Heartbeat(target)) => self.handle_heartbeat(target, &body),
            Some(Call::Leave(target)) => self.handle_leave(target, &body),
            _ => Self::error_response(StatusCode::NOT_FOUND, "no such call"),
        }
    }
}
