//! The outcome of a forwarded request, as seen by the ingress node.

/// The outcome of one attempt to forward a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The node returned a response.
    Answered,
    /// The node refused the request, so the node itself works.
    Refused,
    /// The connection was silent: nothing arrived on it in time.
    Silent,
    /// The connection could not be opened, or it broke.
    Failed,
}
