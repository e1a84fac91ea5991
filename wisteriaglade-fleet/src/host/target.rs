//! The HTTP client for the host's own target.
//!
//! It keeps a pool of idle connections. Its results tell whether a failed
//! request may have run, on which a repeat depends.

use std::{
    collections::VecDeque,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use bytes::{Bytes, BytesMut};
use http::{Request, Response, response::Parts};
use http_body_util::{BodyExt as _, Full};
use hyper::{
    body::Incoming,
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use tokio::{
    net::TcpStream,
    sync::{Semaphore, SemaphorePermit},
    task::JoinHandle,
    time::{Instant, timeout},
};
use tracing::debug;
use wisteriaglade_wire::Clock;
use xxhash_rust::xxh3::xxh3_64;

use crate::lock;

#[cfg(test)]
mod tests;

/// How long it may take to connect to the target, which runs on the same
/// host.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);

/// The longest time for which a connection may be idle to be used for a request
/// that may run only once. The target may have closed an older one, and it would
/// be unknown whether the request ran.
const ONCE_IDLE_TIMEOUT: Duration = Duration::from_secs(2);

/// The part of the idle time that the target states in `Keep-Alive` for which a
/// connection is used again. The target counts from an earlier moment.
const KEEP_ALIVE_RATIO: f64 = 0.8;

/// How long a connection may be idle before it is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(6);

/// How long a connection remembers the id of a request after its response. A
/// request that was refused or whose outcome was lost is sent again within less.
const ID_RETENTION: Duration = Duration::from_secs(20);

/// The highest number of idle connections.
const MAX_IDLE_CONNECTIONS: usize = 32;

/// The largest body of a response, in bytes.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// The most bytes of bodies that are being read at the same time. It leaves half
/// of the memory of the smallest hosts to the rest of the process.
const MAX_BUFFERED_BYTES: usize = 64 * 1024 * 1024;

/// Why a request got no response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Failure {
    /// The request was not sent, so the target has not run it.
    Unsent(&'static str),
    /// The request was sent, and the target may have run it.
    Broken(String),
    /// The request was sent, and a response came back that may be that to another
    /// request. The target may have run it. Holds the number of responses that the
    /// connection had delivered before.
    Foreign(u32),
}

/// Which idle connections a request may use.
#[derive(Debug, Clone, Copy)]
pub(super) enum Reuse {
    /// Any, for a request that may run again if the target has closed it.
    Any,
    /// One that was used recently, for a request that may run only once.
    Recent,
    /// Any; and a new one is used only if it is open before the time `until`. A
    /// later one may lead to a process that has replaced the target.
    OpenBefore {
        /// Tells the time, also after the host was suspended.
        clock: Clock,
        until: Duration,
    },
    /// None, and the new connection is closed after the response: for a request
    /// whose response cannot be told from that of another.
    Never,
}

impl Reuse {
    /// Whether a connection that is opened now may be used.
    fn may_open(self) -> bool {
        match self {
            Self::OpenBefore { clock, until } => clock.now() < until,
            Self::Any | Self::Recent | Self::Never => true,
        }
    }

    /// Whether a connection may be used for another request.
    fn may_keep(self) -> bool {
        !matches!(self, Self::Never)
    }
}

/// How a response is matched to its request.
///
/// A target may send a copy of an earlier response late, when the connection is in
/// use again. The copy has the id of its own request, so an id tells the two apart
/// unless both requests have the same one, as two attempts of a request do.
pub(super) trait Match {
    /// The id of the request, which no two attempts on one connection share. Empty
    /// if responses carry no id.
    fn id(&self) -> &str;

    /// Whether a response belongs to the request. `is_first` tells that the
    /// connection has delivered no response before, so that it cannot be a copy.
    fn accepts(&self, head: &Parts, is_first: bool) -> bool;
}

/// An HTTP/1 connection to the target.
#[derive(Debug)]
struct Connection {
    sender: SendRequest<Full<Bytes>>,
    /// The task that reads and writes the connection.
    driver: JoinHandle<()>,
    /// When its last response was complete, or when it was opened.
    last_used: Instant,
    /// How long it may be idle to be used again.
    max_idle: Duration,
    /// The number of responses that it has delivered.
    responses: u32,
    /// Hashes of the ids of its requests, oldest first, and when the response to
    /// each was complete.
    ids: VecDeque<(Instant, u64)>,
}

impl Connection {
    /// Whether a request with this id was sent on the connection. A late response
    /// to it could not be told from the response to another attempt.
    fn has_carried(&self, id: &str) -> bool {
        let hash = xxh3_64(id.as_bytes());
        !id.is_empty() && self.ids.iter().any(|(_, known)| *known == hash)
    }

    /// Records that a response is complete, with the id of its request.
    fn record_response(&mut self, id: &str) {
        let now = Instant::now();
        self.last_used = now;
        self.responses = self.responses.saturating_add(1);
        while let Some((at, _)) = self.ids.front()
            && now.duration_since(*at) > ID_RETENTION
        {
            self.ids.pop_front();
        }
        if !id.is_empty() {
            self.ids.push_back((now, xxh3_64(id.as_bytes())));
        }
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        // Closes the connection, which tells the target that the request was
        // cancelled.
        self.driver.abort();
    }
}

/// Returns the time after which the target closes an idle connection, if the response
/// states it.
fn keep_alive_timeout(head: &Parts) -> Option<Duration> {
    let value = head.headers.get("keep-alive")?.to_str().ok()?;
    let mut parameters = value.split(',').filter_map(|part| part.split_once('='));
    let (_, seconds) = parameters.find(|(name, _)| name.trim().eq_ignore_ascii_case("timeout"))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}

/// The HTTP client for the target, with its idle connections.
#[derive(Debug)]
pub(super) struct Client {
    address: SocketAddr,
    idle: Mutex<Vec<Connection>>,
    /// Referenced by each open connection that may be used again.
    open: Arc<()>,
    /// Has a permit for each byte that may be buffered.
    buffer: Semaphore,
}

impl Client {
    pub(super) fn new(address: SocketAddr) -> Self {
        Self {
            address,
            idle: Mutex::default(),
            open: Arc::default(),
            buffer: Semaphore::new(MAX_BUFFERED_BYTES),
        }
    }

    /// Sends a request and reads the whole response. Dropping the future closes
    /// the connection.
    ///
    /// `reuse` tells which idle connections may be used, and `matching` which
    /// response belongs to the request.
    ///
    /// # Errors
    ///
    /// Returns [`Failure::Unsent`] if the request has not run, and another
    /// failure if it may have run.
    pub(super) async fn call(
        &self,
        request: Request<Full<Bytes>>,
        reuse: Reuse,
        matching: &impl Match,
    ) -> Result<Response<Bytes>, Failure> {
        let mut request = request;
        if let Some(mut connection) = self.take_idle(reuse, matching.id()) {
            match connection.sender.try_send_request(request).await {
                Ok(response) => {
                    return self
                        .read_response(connection, response, reuse, matching)
                        .await;
                }
                Err(mut error) => match error.take_message() {
                    // The connection was closed before the request was written.
                    Some(unsent) => request = unsent,
                    None => return Err(Failure::Broken(error.into_error().to_string())),
                },
            }
        }
        if !reuse.may_open() {
            return Err(Failure::Unsent("no connection to the target is idle"));
        }
        let mut connection = self.connect(reuse).await?;
        if !reuse.may_open() {
            return Err(Failure::Unsent("the connection was opened too late"));
        }
        match connection.sender.try_send_request(request).await {
            Ok(response) => {
                self.read_response(connection, response, reuse, matching)
                    .await
            }
            Err(mut error) => match error.take_message() {
                Some(_) => Err(Failure::Unsent(
                    "the connection was closed before the request was written",
                )),
                None => Err(Failure::Broken(error.into_error().to_string())),
            },
        }
    }

    /// Whether a connection to the target is open that may be used again.
    pub(super) fn is_connected(&self) -> bool {
        Arc::strong_count(&self.open) > 1
    }

    /// Closes connections that have been idle too long, before the target closes
    /// them.
    pub(super) fn close_stale(&self) {
        lock(&self.idle)
            .retain(|idle| idle.last_used.elapsed() < idle.max_idle && !idle.sender.is_closed());
    }

    /// Takes an idle connection that is fit for the request, the last used first.
    fn take_idle(&self, reuse: Reuse, id: &str) -> Option<Connection> {
        let limit = match reuse {
            Reuse::Never => return None,
            Reuse::Recent => ONCE_IDLE_TIMEOUT,
            Reuse::Any | Reuse::OpenBefore { .. } => IDLE_TIMEOUT,
        };
        let mut idle = lock(&self.idle);
        let position = idle.iter().rposition(|connection| {
            connection.last_used.elapsed() < limit.min(connection.max_idle)
                && connection.sender.is_ready()
                && !connection.has_carried(id)
        })?;
        Some(idle.remove(position))
    }

    async fn connect(&self, reuse: Reuse) -> Result<Connection, Failure> {
        let stream = match timeout(CONNECT_TIMEOUT, TcpStream::connect(self.address)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(_)) => return Err(Failure::Unsent("the target cannot be connected to")),
            Err(_) => return Err(Failure::Unsent("the connection to the target timed out")),
        };
        if let Err(error) = stream.set_nodelay(true) {
            debug!(event = "nodelay-refused", error = %error);
        }
        let Ok((sender, driver)) = http1::handshake(TokioIo::new(stream)).await else {
            return Err(Failure::Unsent(
                "the connection to the target could not be set up",
            ));
        };
        let open = reuse.may_keep().then(|| Arc::clone(&self.open));
        let driver = tokio::spawn(async move {
            if let Err(error) = driver.await {
                debug!(event = "target-connection-broken", error = %error);
            }
            drop(open);
        });
        Ok(Connection {
            sender,
            driver,
            last_used: Instant::now(),
            max_idle: IDLE_TIMEOUT,
            responses: 0,
            ids: VecDeque::new(),
        })
    }

    /// Reads the body of a response and keeps the connection for another request
    /// unless the target closes it or the response is not the request's own.
    async fn read_response(
        &self,
        mut connection: Connection,
        response: Response<Incoming>,
        reuse: Reuse,
        matching: &impl Match,
    ) -> Result<Response<Bytes>, Failure> {
        let (head, body) = response.into_parts();
        if !matching.accepts(&head, connection.responses == 0) {
            return Err(Failure::Foreign(connection.responses));
        }
        let body = self.read_body(body).await?;
        let closes = head
            .headers
            .get(http::header::CONNECTION)
            .is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close"));
        if !closes && reuse.may_keep() {
            if let Some(timeout) = keep_alive_timeout(&head) {
                connection.max_idle = timeout.mul_f64(KEEP_ALIVE_RATIO).min(IDLE_TIMEOUT);
            }
            connection.record_response(matching.id());
            let mut idle = lock(&self.idle);
            if idle.len() < MAX_IDLE_CONNECTIONS {
                idle.push(connection);
            }
        }
        Ok(Response::from_parts(head, body))
    }

    /// Reads a whole body of at most [`MAX_BODY_BYTES`], if there is room for it
    /// beside the bodies of other responses.
    async fn read_body(&self, mut body: Incoming) -> Result<Bytes, Failure> {
        let mut content = BytesMut::new();
        let mut reserved: Option<SemaphorePermit<'_>> = None;
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|error| Failure::Broken(error.to_string()))?;
            let Ok(piece) = frame.into_data() else {
                continue;
            };
            let too_large = || Failure::Broken("the response is too large".to_owned());
            if content.len() + piece.len() > MAX_BODY_BYTES {
                return Err(too_large());
            }
            let size = u32::try_from(piece.len()).map_err(|_| too_large())?;
            let permit = self
                .buffer
                .try_acquire_many(size)
                .map_err(|_| too_large())?;
            match &mut reserved {
                Some(reserved) => reserved.merge(permit),
                None => reserved = Some(permit),
            }
            content.extend_from_slice(&piece);
        }
        Ok(content.freeze())
    }
}
