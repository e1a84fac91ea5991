//! Counters of forwarded requests.

/// The number of requests that were forwarded to one node, by outcome.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Requests with [`Outcome::Answered`](crate::peer::Outcome::Answered).
    pub answered: u64,
    /// Requests with [`Outcome::Refused`](crate::peer::Outcome::Refused).
    pub refused: u64,
    /// Requests with [`Outcome::Silent`](crate::peer::Outcome::Silent).
    pub silent: u64,
    /// Requests with [`Outcome::Failed`](crate::peer::Outcome::Failed).
    pub failed: u64,
}
