//! What a target says about its own load.

/// A load report. It can be late or wrong, so it never overrides what the
/// router observes itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Report {
    /// Requests that the target is working on.
    pub running: u32,
    /// Requests that wait inside the target.
    pub queued: u32,
    /// Whether the target considers itself healthy.
    pub healthy: bool,
}
