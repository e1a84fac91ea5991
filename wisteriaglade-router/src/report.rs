//! The load reports of a target.

/// A target's report of its own load. Reports can be late or wrong, so the
/// router uses them only while they agree with its own observations.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Report {
    /// The number of requests that the target is working on.
    pub running: u32,
    /// The number of requests that queue inside the target.
    pub queued: u32,
    /// Whether the target considers itself healthy.
    pub healthy: bool,
}
