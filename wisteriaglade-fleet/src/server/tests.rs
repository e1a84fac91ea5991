//! Tests of the connections of a server that are idle.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpStream},
    time::{sleep, timeout},
};
use tokio_util::sync::CancellationToken;

use super::{Service, listen};

/// How long a connection may be idle in these tests.
const IDLE_TIMEOUT: Duration = Duration::from_secs(1);

/// A service that works on each request for some time.
#[derive(Debug, Clone, Copy)]
struct Worker {
    work: Duration,
    idle_timeout: Duration,
}

impl Service for Worker {
    async fn answer(&self, _: SocketAddr, _: Request<Incoming>) -> Response<Full<Bytes>> {
        sleep(self.work).await;
        Response::new(Full::new(Bytes::from_static(b"done")))
    }

    fn idle_timeout(&self) -> Option<Duration> {
        Some(self.idle_timeout)
    }
}

/// A service that takes `work` for a request.
fn worker(work: Duration) -> Worker {
    Worker {
        work,
        idle_timeout: IDLE_TIMEOUT,
    }
}

/// Starts a server and connects to it.
async fn connect(worker: Worker, stop: &CancellationToken) -> TcpStream {
    let free = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = free.local_addr().unwrap();
    drop(free);
    listen(address, worker, stop.clone()).unwrap();
    TcpStream::connect(address).await.unwrap()
}

/// Sends a request and returns whether its whole answer came.
async fn ask(stream: &mut TcpStream) -> bool {
    let request = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n";
    let mut answer = Vec::new();
    if stream.write_all(request).await.is_err() {
        return false;
    }
    while !answer.ends_with(b"done") {
        if !matches!(stream.read_buf(&mut answer).await, Ok(1..)) {
            return false;
        }
    }
    true
}

/// Whether the server closes the connection within a time.
async fn is_closed_within(stream: &mut TcpStream, time: Duration) -> bool {
    let mut byte = [0];
    matches!(timeout(time, stream.read(&mut byte)).await, Ok(Ok(0)))
}

// Guards against connections of callers that are left open and use up the descriptors
// of the process: with or without an earlier request.
#[tokio::test(flavor = "multi_thread")]
async fn an_idle_connection_is_closed() {
    let stop = CancellationToken::new();
    let mut unused = connect(worker(Duration::ZERO), &stop).await;
    let mut used = connect(worker(Duration::ZERO), &stop).await;
    assert!(ask(&mut used).await);

    assert!(is_closed_within(&mut unused, 3 * IDLE_TIMEOUT).await);
    assert!(is_closed_within(&mut used, 3 * IDLE_TIMEOUT).await);
}

// Guards against a connection that is closed although it is in use: requests that come
// within four fifths of the timeout, and one that takes longer than it.
#[tokio::test(flavor = "multi_thread")]
async fn a_connection_in_use_stays_open() {
    let stop = CancellationToken::new();
    let mut short = connect(worker(Duration::ZERO), &stop).await;

    for _ in 0..3 {
        assert!(ask(&mut short).await, "a short request");
        sleep(IDLE_TIMEOUT * 4 / 5).await;
    }
    let mut long = connect(worker(3 * IDLE_TIMEOUT), &stop).await;
    assert!(ask(&mut long).await, "a long request");
}

// Guards against connections that break because the plan has an idle timeout that the
// clock cannot add up.
#[tokio::test(flavor = "multi_thread")]
async fn a_huge_idle_timeout_is_none() {
    let stop = CancellationToken::new();
    let endless = Worker {
        idle_timeout: Duration::MAX,
        ..worker(Duration::ZERO)
    };
    let mut stream = connect(endless, &stop).await;

    assert!(ask(&mut stream).await);
    assert!(!is_closed_within(&mut stream, IDLE_TIMEOUT).await);
    assert!(ask(&mut stream).await);
}
