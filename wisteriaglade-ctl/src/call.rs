//! The requests of the operator API and their responses.

use bytes::Bytes;
use http::{Method, StatusCode};
use serde_json::{Value, json};

use crate::table::escape_control;

/// One request to a node's admin address.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) method: Method,
    /// The path with its query.
    pub(crate) path: String,
    pub(crate) body: Option<Bytes>,
    /// Whether the request changes state and therefore carries the token.
    pub(crate) change: bool,
    /// Whether a response with a server error is returned as it is, instead of trying
    /// the next node.
    pub(crate) no_failover: bool,
}

impl Call {
    pub(crate) fn get(path: impl Into<String>) -> Self {
        Self {
            method: Method::GET,
            path: path.into(),
            body: None,
            change: false,
            no_failover: false,
        }
    }

    /// Asks a node for its own health. A server error is returned as it is, because
    /// the response of another node would describe that other node.
    pub(crate) fn health() -> Self {
        Self {
            no_failover: true,
            ..Self::get("/v1/health")
        }
    }

    /// Asks how a request with this method and path would be routed.
    pub(crate) fn explain(method: &str, path: &str) -> Self {
        let (method, path) = (percent_encode(method), percent_encode(path));
        Self::get(format!("/v1/explain?method={method}&path={path}"))
    }

    /// Replaces the rules, if `base` is still their version. A change with an `id`
    /// that was applied before is not applied again.
    pub(crate) fn apply(id: &str, base: u64, text: &str) -> Self {
        let body = json!({ "id": id, "base": base, "text": text });
        Self {
            method: Method::PUT,
            body: Some(body.to_string().into()),
            change: true,
            ..Self::get("/v1/rules")
        }
    }

    /// Marks a node. `action` is `drain` or `lost`.
    pub(crate) fn node(node: u64, action: &str) -> Self {
        Self {
            method: Method::POST,
            change: true,
            ..Self::get(format!("/v1/nodes/{node}/{action}"))
        }
    }
}

/// The response of a node.
#[derive(Debug)]
pub(crate) struct Response {
    pub(crate) status: StatusCode,
    /// The body: a string if it is not JSON, and null if it is empty.
    pub(crate) body: Value,
    /// The reasons why earlier attempts failed. Empty if no earlier attempt can have
    /// delivered the request to a node.
    pub(crate) earlier_failures: Vec<String>,
}

impl Response {
    pub(crate) fn new(status: StatusCode, body: &[u8]) -> Self {
        let body = if body.is_empty() {
            Value::Null
        } else {
            serde_json::from_slice(body)
                .unwrap_or_else(|_| String::from_utf8_lossy(body).into_owned().into())
        };
        Self {
            status,
            body,
            earlier_failures: Vec::new(),
        }
    }

    /// The field `version` of the body, if it is a number.
    pub(crate) fn version(&self) -> Option<u64> {
        self.body.get("version")?.as_u64()
    }

    /// The status and the message in the body, with control characters escaped.
    pub(crate) fn explanation(&self) -> String {
        let text = ["message", "detail", "reason"]
            .iter()
            .find_map(|name| self.body.get(name)?.as_str())
            .or_else(|| self.body.as_str());
        match text {
            Some(text) => format!("{}: {}", self.status, escape_control(text.trim_end())),
            None if self.body.is_null() => self.status.to_string(),
            None => format!("{}: {}", self.status, self.body),
        }
    }
}

/// Percent-encodes all but the unreserved characters of RFC 3986.
fn percent_encode(text: &str) -> String {
    use std::fmt::Write;

    let mut encoded = String::with_capacity(text.len());
    for byte in text.bytes() {
        if byte.is_ascii_alphanumeric() || b"-._~".contains(&byte) {
            encoded.push(byte.into());
        } else {
            // Writing to a string cannot fail.
            let _ = write!(encoded, "%{byte:02X}");
        }
    }
    encoded
}
