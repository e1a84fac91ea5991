//! Tests of which connection a request uses.

use std::net::SocketAddr;

use bytes::Bytes;
use http::{Request, response::Parts};
use http_body_util::Full;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpListener,
};

use super::{Client, Match, Reuse};

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
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        for number in 1..10 {
            let (mut stream, _) = listener.accept().await.unwrap();
            tokio::spawn(async move {
                let answer = format!("HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\n{number}");
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

/// Guards against a new connection for each request without an id.
#[tokio::test]
async fn requests_without_an_id_share_a_connection() {
    let client = Client::new(start_target().await);

    let connections = [send(&client, "").await, send(&client, "").await];

    assert_eq!(connections, ["1", "1"]);
}
