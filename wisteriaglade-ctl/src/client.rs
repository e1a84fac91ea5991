//! The HTTP client for the admin addresses of nodes, with failover between them.

use std::{fmt::Display, time::Duration};

use bytes::Bytes;
use http::{
    HeaderValue, Request,
    header::{AUTHORIZATION, CONTENT_TYPE, HOST},
};
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::{
    net::TcpStream,
    time::{Instant, timeout_at},
};

use crate::{
    args::Options,
    call::{Call, Response},
    error::{Error, Result},
};

/// The largest response body, in bytes. The status of 3,600 nodes is far smaller.
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;

/// Sends each request to the given nodes in turn until one responds.
#[derive(Debug)]
pub(crate) struct Client {
    nodes: Vec<String>,
    token: Option<HeaderValue>,
    timeout: Duration,
}

/// No node gave a usable response.
#[derive(Debug)]
pub(crate) struct Failure {
    /// Whether a node may have received and executed the request.
    pub(crate) sent: bool,
    /// The reason at each node, preceded by its address.
    pub(crate) reasons: Vec<String>,
}

/// The reason why one node gave no response.
#[derive(Debug)]
enum AttemptError {
    /// The request was not sent, because it could not be built or no connection could
    /// be made.
    NotSent(String),
    /// The request may have been sent, but no complete response arrived.
    ResponseLost(String),
}

impl Client {
    pub(crate) fn new(options: &Options) -> Result<Self> {
        Ok(Self {
            nodes: options.nodes.clone(),
            token: read_token(options)?,
            timeout: options.timeout,
        })
    }

    /// The time limit for one node.
    pub(crate) const fn timeout(&self) -> Duration {
        self.timeout
    }

    /// Sends a request to the nodes in turn. The next node is tried if one does not
    /// respond, or responds with a server error. This is safe because every request
    /// of the operator API is idempotent.
    pub(crate) async fn call(&self, call: &Call) -> std::result::Result<Response, Failure> {
        let mut failure = Failure {
            sent: false,
            reasons: Vec::new(),
        };
        for node in &self.nodes {
            let reason = match self.attempt(node, call).await {
                Ok(mut response) if call.no_failover || !response.status.is_server_error() => {
                    if failure.sent {
                        response.earlier_failures = failure.reasons;
                    }
                    return Ok(response);
                }
                Ok(response) => {
                    failure.sent = true;
                    response.explanation()
                }
                Err(AttemptError::ResponseLost(reason)) => {
                    failure.sent = true;
                    reason
                }
                Err(AttemptError::NotSent(reason)) => reason,
            };
            failure.reasons.push(format!("{node}: {reason}"));
        }
        Err(failure)
    }

    /// Sends a request to one node on a new connection, within the time limit.
    async fn attempt(
        &self,
        node: &str,
        call: &Call,
    ) -> std::result::Result<Response, AttemptError> {
        let deadline = Instant::now() + self.timeout;
        let request = self.request(node, call).map_err(not_sent)?;
        let stream = timeout_at(deadline, TcpStream::connect(node))
            .await
            .map_err(|_| AttemptError::NotSent(self.timeout_reason("connection")))?
            .map_err(not_sent)?;
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(not_sent)?;
        // The task ends when the connection closes or the runtime is shut down.
        tokio::spawn(connection);
        let exchange = async {
            let response = sender.send_request(request).await.map_err(response_lost)?;
            let status = response.status();
            let body = Limited::new(response.into_body(), MAX_BODY_BYTES)
                .collect()
                .await
                .map_err(response_lost)?;
            Ok(Response::new(status, &body.to_bytes()))
        };
        timeout_at(deadline, exchange)
            .await
            .map_err(|_| AttemptError::ResponseLost(self.timeout_reason("answer")))?
    }

    fn request(&self, node: &str, call: &Call) -> http::Result<Request<Full<Bytes>>> {
        let mut request = Request::builder()
            .method(call.method.clone())
            .uri(&call.path)
            .header(HOST, node);
        if let Some(token) = self.token.as_ref().filter(|_| call.change) {
            request = request.header(AUTHORIZATION, token);
        }
        if call.body.is_some() {
            request = request.header(CONTENT_TYPE, "application/json");
        }
        request.body(Full::new(call.body.clone().unwrap_or_default()))
    }

    /// The reason for a connection or response that exceeded the time limit.
    fn timeout_reason(&self, what: &str) -> String {
        let timeout = humantime::format_duration(self.timeout);
        format!("no {what} within {timeout}")
    }
}

/// Reads the token file, if one is given, into a bearer token header.
fn read_token(options: &Options) -> Result<Option<HeaderValue>> {
    let Some(file) = &options.token_file else {
        return Ok(None);
    };
    let text = std::fs::read_to_string(file)
        .map_err(|error| Error::failed(format!("{}: {error}", file.display())))?;
    let text = text.trim();
    let value = HeaderValue::try_from(format!("Bearer {text}"));
    match value {
        Ok(mut value) if !text.is_empty() => {
            value.set_sensitive(true);
            Ok(Some(value))
        }
        _ => Err(Error::failed(format!(
            "{}: expected one line with a token",
            file.display()
        ))),
    }
}

fn not_sent(error: impl Display) -> AttemptError {
    AttemptError::NotSent(error.to_string())
}

fn response_lost(error: impl Display) -> AttemptError {
    AttemptError::ResponseLost(error.to_string())
}
