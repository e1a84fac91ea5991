//! Counters for one node.

/// The outcomes of the requests that were forwarded to one node.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Responses.
    pub answered: u64,
    /// Refusals.
    pub refused: u64,
    /// Silent connections.
    pub silent: u64,
    /// Failed connections.
    pub failed: u64,
}
