//! The HTTP interface for operators: storing and reading the plan.

use std::{marker::PhantomData, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{HeaderValue, Request, Response, StatusCode, header};
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::time::timeout;
use tracing::info;
use wisteriaglade_mesh::{Command, Reply};

use super::{
    leader::Leader,
    replica::{Handle, Proposed},
};
use crate::{
    Dialect,
    dialect::Call,
    server::{self, Service},
};

/// The size in bytes of the largest plan that is accepted; it has room for
/// thousands of rules.
const MAX_PLAN_BYTES: usize = 4 * 1024 * 1024;

/// The time limit for a confirmation of leadership or a proposal. Operators try
/// another replica after a second without a response.
const CONSENSUS_TIMEOUT: Duration = Duration::from_millis(900);

/// Serves the operators' calls. Only the leader answers them; other replicas
/// redirect to it.
#[derive(Debug)]
pub(super) struct Operator<D> {
    handle: Handle,
    leader: Leader,
    dialect: PhantomData<D>,
}

impl<D> Clone for Operator<D> {
    fn clone(&self) -> Self {
        Self {
            handle: self.handle.clone(),
            leader: self.leader.clone(),
            dialect: PhantomData,
        }
    }
}

impl<D: Dialect> Operator<D> {
    pub(super) fn new(handle: Handle, leader: Leader) -> Self {
        Self {
            handle,
            leader,
            dialect: PhantomData,
        }
    }

    /// Redirects the operator to the leader, or responds with 503 when no other
    /// replica is known to lead.
    fn redirect(&self, request: &Request<Incoming>) -> Response<Full<Bytes>> {
        let status = self.handle.status();
        let control = status.leader_control().filter(|_| !status.is_leading());
        drop(status);
        let path = request
            .uri()
            .path_and_query()
            .map_or("/", |path| path.as_str());
        let location = control
            .and_then(|control| HeaderValue::from_str(&format!("http://{control}{path}")).ok());
        match location {
            Some(location) => {
                let mut response = Self::fail(StatusCode::TEMPORARY_REDIRECT, "not the leader");
                response.headers_mut().insert(header::LOCATION, location);
                response
            }
            None => Self::fail(StatusCode::SERVICE_UNAVAILABLE, "no leader"),
        }
    }

    fn fail(status: StatusCode, detail: &str) -> Response<Full<Bytes>> {
        server::json(status, D::encode_error(detail))
    }

    /// Responds with the text of the plan in force.
    async fn get(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        if !self.handle.status().is_leading() {
            return self.redirect(&request);
        }
        // Once its leadership is confirmed after the request arrived, the leader
        // has applied all commands that were acknowledged before the request, so
        // the read is linearizable.
        let confirmed = timeout(CONSENSUS_TIMEOUT, self.handle.confirm()).await;
        if confirmed != Ok(true) {
            return Self::fail(StatusCode::SERVICE_UNAVAILABLE, "leadership not confirmed");
        }
        let status = self.handle.status();
        let version = status.state().plan().version;
        let text = status.state().plan_text().clone();
        drop(status);
        if version == 0 {
            return Self::fail(StatusCode::SERVICE_UNAVAILABLE, "no plan is in force yet");
        }
        server::json(StatusCode::OK, text.to_vec())
    }

    /// Checks the plan and puts it in force through the control log.
    async fn put(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        if !self.handle.status().is_leading() {
            return self.redirect(&request);
        }
        let base = request
            .headers()
            .get(D::BASE)
            .and_then(|value| value.to_str().ok())
            .map(|value| value.trim().trim_matches('"').parse::<u64>());
        let text = match server::read_body(request.into_body(), MAX_PLAN_BYTES).await {
            Ok(text) => text,
            Err(server::BodyError::TooLarge) => {
                return Self::fail(StatusCode::PAYLOAD_TOO_LARGE, "the plan is too large");
            }
            Err(server::BodyError::Incomplete) => {
                return Self::fail(StatusCode::BAD_REQUEST, "the body is incomplete");
            }
        };
        let plan = match D::decode_plan(&text) {
            Ok(plan) => plan,
            Err(error) => {
                info!(event = "plan-refused", reason = %error, bytes = text.len());
                return Self::fail(StatusCode::BAD_REQUEST, &error.to_string());
            }
        };
        if let Err(fault) = plan.check() {
            info!(event = "plan-refused", version = plan.version, reason = %fault);
            return Self::fail(StatusCode::BAD_REQUEST, &fault.to_string());
        }
        let base = match base {
            Some(Ok(base)) => base,
            None => 0,
            Some(Err(_)) => {
                return Self::fail(StatusCode::BAD_REQUEST, "the base version is not a number");
            }
        };
        if !self.leader.is_complete() {
            return Self::fail(StatusCode::SERVICE_UNAVAILABLE, "the group is not complete");
        }
        let version = plan.version;
        let command = Command::Configure { base, plan, text };
        let proposed = timeout(CONSENSUS_TIMEOUT, self.handle.propose(command)).await;
        info!(event = "plan", version, base, result = ?proposed);
        match proposed {
            Ok(Proposed::Applied(Reply::Done)) => server::json(StatusCode::OK, b"{}".to_vec()),
            Ok(Proposed::Applied(Reply::Conflict { current })) => Self::fail(
                StatusCode::PRECONDITION_FAILED,
                &format!("version {current} is in force"),
            ),
            Ok(Proposed::Applied(Reply::StaleVersion { current })) => Self::fail(
                StatusCode::CONFLICT,
                &format!("the version is not above {current}"),
            ),
            Ok(Proposed::NotLeader | Proposed::Unknown) | Err(_) => {
                Self::fail(StatusCode::SERVICE_UNAVAILABLE, "the result is not known")
            }
        }
    }
}

impl<D: Dialect> Service for Operator<D> {
    async fn answer(&self, _: SocketAddr, request: Request<Incoming>) -> Response<Full<Bytes>> {
        match D::call(request.method(), request.uri()) {
            Some(Call::GetPlan) => self.get(request).await,
            Some(Call::PutPlan) => self.put(request).await,
            Some(Call::Heartbeat(_) | Call::Leave(_)) => Self::fail(
                StatusCode::SERVICE_UNAVAILABLE,
                "targets call the process beside them",
            ),
            None => Self::fail(StatusCode::NOT_FOUND, "no such call"),
        }
    }
}
