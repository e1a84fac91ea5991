//! The outputs of the router.

use std::time::Duration;

use wisteriaglade_types::Request;

use crate::{Class, Reason};

/// An action that [`Router::step`](crate::Router::step) asks the driver to
/// execute.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Send the request to the target.
    Dispatch {
        /// The request to send.
        request: Request,
        /// The class under which it was admitted.
        class: Class,
    },
    /// Answer the request with `not-run`. It was never dispatched.
    Refuse {
        /// The request to refuse.
        request: Request,
        /// Why it is refused.
        reason: Reason,
        /// The time after which a retry can succeed; `None` if it is unknown.
        retry_after: Option<Duration>,
    },
    /// Cancel a dispatched request at the target. Its slot stays occupied until
    /// the driver reports the end with [`Event::Finish`](crate::Event::Finish).
    Cancel {
        /// The request to cancel.
        request: Request,
        /// Why it is cancelled.
        reason: Reason,
    },
    /// Keep this number of connections to the target open, including the ones
    /// in use.
    Prewarm {
        /// The number of connections.
        connections: u32,
    },
    /// The target does not respond. The waiting requests are refused, and so
    /// are new ones, except for one trial request at a time.
    Suspect,
    /// The suspect target responds again or was announced again. There is no
    /// such effect if the suspect target has left instead.
    Recovered,
}
