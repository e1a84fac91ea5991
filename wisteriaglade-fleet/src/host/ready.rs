//! The readiness check of a host.

use std::{net::SocketAddr, sync::Arc};

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;

use super::Host;
use crate::{read, server::Service};

/// The HTTP service of the readiness check: 200 if callers may be routed to
/// this host, else 503. A host is ready once it has a plan and knows a target,
/// until it is asked to stop.
#[derive(Debug, Clone)]
pub(super) struct Ready {
    host: Arc<Host>,
}

impl Ready {
    pub(super) fn new(host: Arc<Host>) -> Self {
        Self { host }
    }
}

impl Service for Ready {
    async fn answer(&self, _: SocketAddr, _: Request<Incoming>) -> Response<Full<Bytes>> {
        let is_ready = read(&self.host.view).is_ready() && !self.host.is_shutting_down();
        let mut response = Response::new(Full::default());
        if !is_ready {
            *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        }
        response
    }
}
