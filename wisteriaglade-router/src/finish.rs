//! The end of a dispatched request.

use std::time::Duration;

/// How a dispatched request ended, as seen by the driver.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Finish {
    /// The target returned a response.
    Served,
    /// The target refused the request without starting to work on it.
    Shed {
        /// How long the target asked not to receive requests, if it said so.
        retry_after: Option<Duration>,
    },
    /// The connection failed or the response was not valid.
    Failed,
    /// The driver cancelled the request.
    Cancelled,
}
