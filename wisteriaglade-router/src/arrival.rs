//! The arrival of a request.

use std::time::Duration;

use wisteriaglade_types::{Hash, Name, Request};

use crate::Length;

/// A request that arrived at the node beside its target and asks for admission.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// The id of the request. A second arrival with the id of a request that
    /// still waits or runs is ignored.
    pub request: Request,
    /// The member to which the busy time of the request is charged.
    pub member: Name,
    /// The caller inside the member. Callers share the member's busy time
    /// equally.
    pub caller: Name,
    /// The line number of the matching rule, which identifies the rule in the
    /// learned lengths.
    pub route: u32,
    /// The hash of the request's key.
    pub key: Hash,
    /// The weight of the member in fair queueing. Zero counts as one.
    pub weight: u32,
    /// The length of the work, as stated by the rule.
    pub length: Length,
    /// The time at which the response must have been returned, on the clock of
    /// the `now` argument of [`Router::step`](crate::Router::step).
    pub deadline: Duration,
}
