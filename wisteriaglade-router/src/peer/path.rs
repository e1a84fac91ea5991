//! How to reach a node.

/// The path for the next request to a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Path {
    /// Use a pooled connection.
    Pooled,
    /// Open a new connection and do not use the pooled ones.
    Fresh,
    /// Refuse with `not-run`: the node gave no answer several times, and the
    /// next trial is not due.
    Avoid,
}
