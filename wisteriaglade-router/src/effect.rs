//! Outputs of the reducer.

use std::time::Duration;

use wisteriaglade_types::Request;

use crate::{Class, Reason};

/// An output of [`Router::step`](crate::Router::step), for the driver to
/// execute.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Send the request to the target.
    Dispatch {
        /// The request.
        request: Request,
        /// The class under which it runs.
        class: Class,
    },
    /// Answer `not-run`. The request was never dispatched.
    Refuse {
        /// The request.
        request: Request,
        /// Why it was refused.
        reason: Reason,
        /// When a retry can succeed, if that is known.
        retry_after: Option<Duration>,
    },
    /// Cancel a dispatched request at the target. Its slot stays in use until
    /// the driver reports the end.
    Cancel {
        /// The request.
        request: Request,
        /// Why it is cancelled.
        reason: Reason,
    },
    /// Keep this many connections to the target open, busy ones included.
    Warm {
        /// The number of connections.
        connections: u32,
    },
    /// The target does not respond. Waiting work is refused, and so are new
    /// requests, except for one trial at a time.
    Suspect,
    /// The target responds again, or announced itself anew. It does not follow
    /// a suspicion that ended because the target is gone.
    Recovered,
}
