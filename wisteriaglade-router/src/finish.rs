//! How dispatched work ended.

use std::time::Duration;

/// The end of a dispatched request, as the driver saw it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Finish {
    /// The target returned a response.
    Served,
    /// The target refused the request before it started the work.
    Shed {
        /// How long the target asked to be spared, if it said so.
        retry_after: Option<Duration>,
    },
    /// The connection failed or the target returned no usable response.
    Failed,
    /// The driver cancelled the request.
    Cancelled,
}
