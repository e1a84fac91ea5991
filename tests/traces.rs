//! Spans as a collector gets them.

mod support;

use std::{
    convert::Infallible,
    sync::{Arc, Mutex},
    time::Duration,
};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use support::{
    client::Client,
    cluster::{Cluster, Options},
    wait_for,
};
use tokio::net::TcpListener;

/// The bodies that arrived at the collector.
type Received = Arc<Mutex<Vec<Bytes>>>;

/// Starts a stand-in for a collector (OTLP over HTTP) and returns its URL.
async fn collector(received: Received) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let received = Arc::clone(&received);
            let service = service_fn(move |request: Request<Incoming>| {
                let received = Arc::clone(&received);
                async move {
                    let body = request.into_body().collect().await.unwrap().to_bytes();
                    received.lock().unwrap().push(body);
                    Ok::<_, Infallible>(Response::new(Full::<Bytes>::default()))
                }
            });
            tokio::spawn(async move {
                // The exporter ends the connection when its process ends.
                let _ = http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), service)
                    .await;
            });
        }
    });
    format!("http://{address}/v1/traces")
}

/// Guards against an exporter that does not run and against a hop without a
/// span in the trace of its caller.
#[tokio::test(flavor = "multi_thread")]
async fn each_hop_of_a_request_is_a_span_of_the_callers_trace() {
    const TRACE: &str = "4bf92f3577b34da6a3ce929d0e0e4736";
    let received = Received::default();
    let url = collector(Arc::clone(&received)).await;
    let cluster = Cluster::start(Options {
        hosts: 3,
        extra_settings: Box::leak(format!("traces: {url}\n").into_boxed_str()),
        ..Options::default()
    })
    .await;
    let key = cluster.keys_of(1, 1).await.remove(0);
    let parent = format!("00-{TRACE}-00f067aa0ba902b7-01");

    let path = format!("/bookings/{key}");
    let headers = [("traceparent", parent.as_str())];
    let client = Client::new();
    let read = client.send(cluster.hosts[0].caller, "GET", &path, &headers, "");
    assert_eq!(read.await.unwrap().status, 200);

    let id: Vec<u8> = (0..16)
        .map(|at| u8::from_str_radix(&TRACE[2 * at..2 * at + 2], 16).unwrap())
        .collect();
    // Spans are found by the bytes of their names next to the trace's id.
    let missing = || async {
        let all = received.lock().unwrap().concat();
        let spans: Vec<&[u8]> = all
            .windows(160)
            .filter(|part| part.starts_with(&id))
            .collect();
        let has = |name: &&str| {
            let name = name.as_bytes();
            spans
                .iter()
                .any(|span| span.windows(name.len()).any(|part| part == name))
        };
        let missing: Vec<&str> = ["ingress", "forward", "owner", "target"]
            .into_iter()
            .filter(|name| !has(name))
            .collect();
        if missing.is_empty() {
            Ok(())
        } else {
            Err(format!("{missing:?}"))
        }
    };
    wait_for(Duration::from_secs(10), "a span of each hop", missing).await;
}
