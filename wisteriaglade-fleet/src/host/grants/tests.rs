//! Tests of how responses to calls are matched.

use std::net::SocketAddr;

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::Full;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpListener,
};

use super::WithoutId;
use crate::host::target::{Client, Failure, Reuse};

const REFUSAL: &str = "HTTP/1.1 409 Conflict\r\ncontent-length: 0\r\n\r\n";
const SUCCESS: &str = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";

/// Starts a target that answers the requests of each connection with these texts
/// in turn, and returns its address.
async fn start_target(answers: &'static [&'static str]) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            tokio::spawn(async move {
                let mut buffer = [0; 1024];
                for answer in answers {
                    if stream.read(&mut buffer).await.unwrap_or(0) == 0 {
                        return;
                    }
                    stream.write_all(answer.as_bytes()).await.unwrap();
                }
            });
        }
    });
    address
}

fn grant() -> Request<Full<Bytes>> {
    Request::post("/grant").body(Full::default()).unwrap()
}

/// Guards against a range that counts as free while its target holds it: the copy
/// of an earlier refusal comes before the response to a grant that took effect.
#[tokio::test]
async fn a_second_copy_of_a_refusal_is_no_refusal_of_the_next_grant() {
    let client = Client::new(start_target(&[REFUSAL, REFUSAL]).await);

    let first = client.call(grant(), Reuse::Any, &WithoutId).await;
    let second = client.call(grant(), Reuse::Any, &WithoutId).await;
    let third = client.call(grant(), Reuse::Any, &WithoutId).await;

    assert_eq!(first.unwrap().status(), StatusCode::CONFLICT);
    assert_eq!(second.unwrap_err(), Failure::Foreign(1));
    // The connection was closed, so that the next call learns of a true refusal.
    assert_eq!(third.unwrap().status(), StatusCode::CONFLICT);
}

/// Guards against a new connection for each renewal.
#[tokio::test]
async fn renewals_that_succeed_share_a_connection() {
    let client = Client::new(start_target(&[SUCCESS, SUCCESS, REFUSAL]).await);

    for _ in 0..2 {
        let response = client.call(grant(), Reuse::Any, &WithoutId).await;
        assert_eq!(response.unwrap().status(), StatusCode::OK);
    }
    let third = client.call(grant(), Reuse::Any, &WithoutId).await;

    assert_eq!(third.unwrap_err(), Failure::Foreign(2));
}
