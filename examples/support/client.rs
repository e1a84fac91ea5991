//! An HTTP client that reads whole responses, and a raw upload over TCP.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::{
    client::legacy::{Client as Legacy, connect::HttpConnector},
    rt::TokioExecutor,
};

/// An HTTP/1.1 client with pooled connections. It never retries a request.
#[derive(Debug, Clone)]
pub struct Client {
    inner: Legacy<HttpConnector, Full<Bytes>>,
}

/// A response with its whole body.
#[derive(Debug, Clone)]
pub struct Answer {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
}

impl Answer {
    /// The `wg-outcome` header, empty when it is absent.
    pub fn outcome(&self) -> &str {
        self.header("wg-outcome")
    }

    /// A header as text, empty when it is absent.
    pub fn header(&self, name: &str) -> &str {
        self.headers
            .get(name)
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
    }

    /// The body as text; invalid UTF-8 is replaced.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// The body as JSON, or null when it is not valid JSON.
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }
}

/// Any error of an example or of a request.
pub type Error = Box<dyn std::error::Error + Send + Sync>;

impl Client {
    pub fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(Duration::from_secs(1)));
        Self {
            inner: Legacy::builder(TokioExecutor::new())
                .retry_canceled_requests(false)
                .build(connector),
        }
    }

    /// Sends a request and reads the whole response.
    pub async fn send(
        &self,
        address: SocketAddr,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> Result<Answer, Error> {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"));
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(Full::new(body.into()))?;
        let response = self.inner.request(request).await?;
        let (parts, body) = response.into_parts();
        Ok(Answer {
            status: parts.status,
            headers: parts.headers,
            body: body.collect().await?.to_bytes(),
        })
    }

    /// Sends a JSON document with a bearer token and reads the whole response.
    pub async fn json(
        &self,
        address: SocketAddr,
        method: &str,
        path: &str,
        token: &str,
        document: &serde_json::Value,
    ) -> Result<Answer, Error> {
        let bearer = format!("Bearer {token}");
        let headers = [
            ("content-type", "application/json"),
            ("authorization", bearer.as_str()),
        ];
        self.send(address, method, path, &headers, document.to_string())
            .await
    }
}

/// Posts `length` zero bytes, with a content-length or in chunks of 50,000 bytes,
/// and returns the raw response as text, status line and headers included.
pub async fn upload(
    address: SocketAddr,
    path: &str,
    key: &str,
    length: usize,
    chunked: bool,
) -> std::io::Result<String> {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let mut stream = tokio::net::TcpStream::connect(address).await?;
    let framing = if chunked {
        "transfer-encoding: chunked".to_owned()
    } else {
        format!("content-length: {length}")
    };
    let head = format!(
        "POST {path} HTTP/1.1\r\nhost: x\r\nidempotency-key: {key}\r\nconnection: close\r\n{framing}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await?;
    let body = vec![0; length];
    if chunked {
        for chunk in body.chunks(50_000) {
            let size = format!("{:x}\r\n", chunk.len());
            stream.write_all(size.as_bytes()).await?;
            stream.write_all(chunk).await?;
            stream.write_all(b"\r\n").await?;
        }
        stream.write_all(b"0\r\n\r\n").await?;
    } else {
        stream.write_all(&body).await?;
    }
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await?;
    Ok(answer)
}
