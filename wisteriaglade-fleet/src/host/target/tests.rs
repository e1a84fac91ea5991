//! Tests of which connection a request uses, and when it is closed.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Request, response::Parts};
use http_body_util::Full;
use rstest::rstest;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpListener,
    time::{sleep, timeout},
};

use super::{Client, Match, Reuse};

/// The time after which a call without a response is dropped.
const CALL_TIME: Duration = Duration::from_millis(100);

/// The bound for the target to see that its connection was closed.
const CLOSE_BOUND: Duration = Duration::from_millis(500);

/// Accepts every response to a request with this id.
struct Attempt<'a>(&'a str);

impl Match for Attempt<'_> {
    fn id(&self) -> &str {
        self.0
    }

    fn accepts(&self, _: &Parts, _: bool) -> bool {
        true
    }
}

/// Starts a target that answers each request with the number of its connection,
/// from 1, and returns its address.
async fn start_target() -> SocketAddr {
    start_target_with("").await
}

/// Starts such a target whose answers carry a further header line.
async fn start_target_with(header: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        for number in 1..10 {
            let (mut stream, _) = listener.accept().await.unwrap();
            tokio::spawn(async move {
                let answer =
                    format!("HTTP/1.1 200 OK\r\n{header}content-length: 1\r\n\r\n{number}");
                let mut buffer = [0; 1024];
                while stream.read(&mut buffer).await.unwrap_or(0) > 0 {
                    stream.write_all(answer.as_bytes()).await.unwrap();
                }
            });
        }
    });
    address
}

/// Sends a request and returns the number of the connection that it used.
async fn send(client: &Client, id: &str) -> String {
    let request = Request::get("/").body(Full::<Bytes>::default()).unwrap();
    let response = client.call(request, Reuse::Any, &Attempt(id)).await;
    String::from_utf8(response.unwrap().into_body().to_vec()).unwrap()
}

/// Guards against a late response to one attempt of a request that is taken for that
/// to another, also after other requests have used the connection.
#[tokio::test]
async fn attempts_of_a_request_use_different_connections() {
    let client = Client::new(start_target().await);

    let mut connections = Vec::new();
    for id in ["a", "b", "a", "c", "a", "b"] {
        connections.push(send(&client, id).await);
    }

    assert_eq!(connections, ["1", "1", "2", "2", "3", "3"]);
}

/// Guards against a request on a connection that the target is about to close, as it
/// says in its answers: whether the request ran would be unknown.
#[rstest]
#[case::stated("keep-alive: timeout=1\r\n", "2")]
#[case::among_others("keep-alive: max=9, timeout=1\r\n", "2")]
#[case::longer("keep-alive: timeout=30\r\n", "1")]
#[case::malformed("keep-alive: timeout=soon\r\n", "1")]
#[tokio::test]
async fn a_connection_is_used_within_the_idle_time_of_the_target(
    #[case] header: &'static str,
    #[case] second: &str,
) {
    let client = Client::new(start_target_with(header).await);

    let first = send(&client, "a").await;
    sleep(Duration::from_millis(850)).await;

    assert_eq!(first, "1");
    assert_eq!(send(&client, "b").await, second);
}

/// Guards against a new connection for each request without an id.
#[tokio::test]
async fn requests_without_an_id_share_a_connection() {
    let client = Client::new(start_target().await);

    let connections = [send(&client, "").await, send(&client, "").await];

    assert_eq!(connections, ["1", "1"]);
}

/// Guards against a target that goes on working for a caller who has left: a call
/// that is dropped closes its connection.
#[tokio::test]
async fn a_dropped_call_closes_its_connection() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let client = Client::new(listener.local_addr().unwrap());
    let mut buffer = [0; 1024];

    let (target, call) = tokio::join!(
        async {
            let (mut stream, _) = listener.accept().await.unwrap();
            assert!(stream.read(&mut buffer).await.unwrap() > 0);
            // The end of the connection; a reset is one, too.
            let end = timeout(CLOSE_BOUND, stream.read(&mut buffer)).await;
            end.map(|end| end.unwrap_or(0))
        },
        timeout(CALL_TIME, send(&client, "a")),
    );

    assert!(call.is_err());
    assert_eq!(target, Ok(0));
}
