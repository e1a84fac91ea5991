//! The inputs of the router.

use wisteriaglade_types::Request;

use crate::{Arrival, Capacity, Finish, Report};

/// An event that the driver passes to [`Router::step`](crate::Router::step).
#[derive(Debug, Clone)]
pub enum Event {
    /// A request arrived at the node and asks for admission.
    Arrive(Arrival),
    /// A dispatched request ended.
    Finish {
        /// The request that ended.
        request: Request,
        /// How it ended.
        result: Finish,
    },
    /// The caller of a request disconnected, or the driver withdraws the
    /// request, for example because its shard moves away. The request is
    /// refused if it waits and cancelled if it runs.
    Depart {
        /// The request to withdraw.
        request: Request,
    },
    /// The target reported its load.
    Report(Report),
    /// The target announced its capacity, or with `None`, has left.
    ///
    /// An announcement of an unchanged capacity has no effect, unless the
    /// target is suspect. When the target has left, all waiting requests are
    /// refused; the driver ends the running ones and reports each with
    /// [`Event::Finish`].
    Target(Option<Capacity>),
    /// The target named this limit in a response, in requests per second from all
    /// nodes together, or with `None`, no limit.
    RateLimit(Option<f64>),
    /// The target drains. Requests are still dispatched during a grace period
    /// ([`Config::drain_grace`](crate::Config::drain_grace)). Afterwards they
    /// are refused until the target has left and is announced again.
    Drain,
    /// No other event occurred until the time that
    /// [`Router::wake`](crate::Router::wake) returned.
    Tick,
}
