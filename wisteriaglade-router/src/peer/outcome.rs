//! How a forwarded request ended for the ingress node.

/// The outcome of one attempt to forward a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The node returned a response.
    Answered,
    /// The node refused the request. It is alive.
    Refused,
    /// The connection stayed silent.
    Silent,
    /// The connection could not be opened or broke.
    Failed,
}
