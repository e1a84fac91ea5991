//! A request that asks for admission.

use std::time::Duration;

use wisteriaglade_types::{Hash, Name, Request};

use crate::Length;

/// A request that reached the node beside its target.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// The identity of the request. A second arrival with the identity of a
    /// request that still waits or runs is ignored.
    pub request: Request,
    /// The member whose share the request uses.
    pub member: Name,
    /// The caller inside the member.
    pub caller: Name,
    /// The line of the rule that matched.
    pub route: u32,
    /// The hash of the request's key.
    pub key: Hash,
    /// The weight of the member. Zero counts as one.
    pub weight: u32,
    /// What the rule says about the length of the work.
    pub length: Length,
    /// When the response must have been returned, on the clock of `now`.
    pub deadline: Duration,
}
