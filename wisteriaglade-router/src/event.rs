//! Inputs of the reducer.

use wisteriaglade_types::Request;

use crate::{Arrival, Capacity, Finish, Report};

/// An input of [`Router::step`](crate::Router::step).
#[derive(Debug, Clone)]
pub enum Event {
    /// A request asks for admission.
    Arrive(Arrival),
    /// A dispatched request ended.
    Finish {
        /// The request.
        request: Request,
        /// How it ended.
        result: Finish,
    },
    /// The caller of a request disconnected.
    Depart {
        /// The request.
        request: Request,
    },
    /// The target reported its load.
    Report(Report),
    /// The target announced itself, or is gone. A repeated announcement of the
    /// same capacity changes nothing. When the target is gone, waiting work is
    /// refused; the driver ends the running work.
    Target(Option<Capacity>),
    /// The target is leaving. Work is dispatched for a short grace period
    /// ([`Config::grace`](crate::Config::grace)) and refused afterwards, until
    /// the target is gone and announces itself anew.
    Drain,
    /// Time has passed; see [`Router::wake`](crate::Router::wake).
    Tick,
}
