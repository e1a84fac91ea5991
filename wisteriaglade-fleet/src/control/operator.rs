//! The operators' interface.

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

/// The largest plan: thousands of rules.
const BODY_MAX: usize = 4 * 1024 * 1024;

/// How long an operator waits for the log. Operators ask another replica after
/// a second.
const PATIENCE: Duration = Duration::from_millis(900);

/// The operators' interface of a control replica.
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

    /// Sends the caller to the leader, or asks it to try again.
    fn elsewhere(&self, request: &Request<Incoming>) -> Response<Full<Bytes>> {
        let board = self.handle.board();
        let control = board.leader_control().filter(|_| !board.is_leading());
        drop(board);
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
        server::json(status, D::error(detail))
    }

    async fn get(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        if !self.handle.board().is_leading() {
            return self.elsewhere(&request);
        }
        // A leader that is confirmed after the request arrived has applied
        // everything that was acknowledged before.
        let confirmed = timeout(PATIENCE, self.handle.confirm()).await;
        if confirmed != Ok(true) {
            return Self::fail(StatusCode::SERVICE_UNAVAILABLE, "leadership not confirmed");
        }
        let board = self.handle.board();
        let version = board.state().plan().version;
        let text = board.state().plan_text().clone();
        drop(board);
        if version == 0 {
            return Self::fail(StatusCode::SERVICE_UNAVAILABLE, "no plan is in force yet");
        }
        server::json(StatusCode::OK, text.to_vec())
    }

    async fn put(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        if !self.handle.board().is_leading() {
            return self.elsewhere(&request);
        }
        let base = request
            .headers()
            .get(D::BASE)
            .and_then(|value| value.to_str().ok())
            .map(|value| value.trim().trim_matches('"').parse::<u64>());
        let text = match server::body(request.into_body(), BODY_MAX).await {
            Ok(text) => text,
            Err(server::Unread::TooLong) => {
                return Self::fail(StatusCode::PAYLOAD_TOO_LARGE, "the plan is too large");
            }
            Err(server::Unread::Broken) => {
                return Self::fail(StatusCode::BAD_REQUEST, "the body is incomplete");
            }
        };
        let plan = match D::plan(&text) {
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
        let proposed = timeout(PATIENCE, self.handle.propose(command)).await;
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
            Some(Call::Get) => self.get(request).await,
            Some(Call::Put) => self.put(request).await,
            Some(Call::Beat(_) | Call::Leave(_)) => Self::fail(
                StatusCode::SERVICE_UNAVAILABLE,
                "targets call the process beside them",
            ),
            None => Self::fail(StatusCode::NOT_FOUND, "no such call"),
        }
    }
}
