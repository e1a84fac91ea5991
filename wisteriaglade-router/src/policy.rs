//! The scheduling policies.

/// The scheduling policy of a router.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Policy {
    /// Fair queueing, an adaptive concurrency limit, a separate limit for long
    /// work, and refusal on arrival of requests that cannot meet their
    /// deadline.
    #[default]
    Adaptive,
    /// First in, first out, with a fixed concurrency limit equal to the
    /// announced slots.
    ///
    /// A request is refused only if the queue is full, its deadline has passed,
    /// its caller disconnects, or the target is draining or absent. There are
    /// no health checks and no connections opened ahead of demand. This policy
    /// is a reference for comparisons.
    Baseline,
}
