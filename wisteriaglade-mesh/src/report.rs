//! The status report that each host sends to the leader.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use wisteriaglade_types::Name;

use crate::{Owner, Span};

/// The status of a host and its target.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The name of the host.
    pub host: Name,
    /// The start of the host process, in Unix milliseconds. Reports of a later
    /// run replace those of an earlier one.
    pub session: u64,
    /// The address where the host process accepts requests of other hosts.
    pub address: SocketAddr,
    /// The data centre of the host.
    pub data_centre: Name,
    /// Whether the host process is shutting down.
    pub leaving: bool,
    /// The status of the target; `None` until it has announced itself.
    pub target: Option<TargetReport>,
}

/// The status of a target, as its host knows it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TargetReport {
    /// The identity of the target and this run of it.
    pub owner: Owner,
    /// The pool that the target serves.
    pub pool: Name,
    /// The number of requests that it runs at the same time.
    pub slots: u32,
    /// Whether the target runs and accepts requests.
    pub condition: Condition,
    /// The keys that it has released, each with the fencing token of the grant
    /// and the handover text for the next holder.
    pub released: Vec<(Span, u64, Name)>,
    /// The mean execution time of a request in milliseconds; 0 if none was
    /// measured yet.
    pub mean_ms: u32,
    /// The requests per second that it takes, if it names a limit.
    pub rate_limit: Option<f64>,
    /// Spans of keys that had requests, each with its rate in requests per ten
    /// seconds.
    pub key_rates: Vec<(Span, u32)>,
}

/// Whether a target runs and accepts requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Condition {
    /// It accepts requests.
    Ready,
    /// It finishes its running requests, accepts no others and then ends.
    Draining,
    /// It has stopped sending heartbeats. It may still run, but is granted
    /// nothing.
    Silent,
    /// It is known to have ended.
    Gone,
}
