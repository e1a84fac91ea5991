//! The connection for a request to a node.

/// The kind of connection that the next request to a node must use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Connection {
    /// A pooled connection, or a new one if the pool has none.
    Pooled,
    /// A new connection; the pooled ones must not be used.
    New,
    /// No connection: the request must be refused with `not-run`. Several
    /// attempts in a row had no answer and the next trial is not due.
    Unavailable,
}
