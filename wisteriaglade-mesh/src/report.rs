//! What a host tells the leader.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use wisteriaglade_types::Name;

use crate::{Owner, Span};

/// What a host tells the leader of itself and its target.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The host.
    pub host: Name,
    /// When the process started, in Unix milliseconds; a later one replaces an
    /// earlier one.
    pub session: u64,
    /// Where the process takes requests of other hosts.
    pub address: SocketAddr,
    /// The data centre.
    pub data_centre: Name,
    /// Whether the process is about to end.
    pub leaving: bool,
    /// The target, once it has announced itself.
    pub target: Option<TargetReport>,
}

/// What a host knows of its target.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TargetReport {
    /// The target's id and start.
    pub owner: Owner,
    /// Its pool.
    pub pool: Name,
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// What is known of it.
    pub condition: Condition,
    /// What it has released, with the fencing token of the grant and what the
    /// next holder gets.
    pub released: Vec<(Span, u64, Name)>,
    /// The mean time of a request in milliseconds; 0 before any was measured.
    pub mean: u32,
    /// Requests in ten seconds for each part of its keys that had any.
    pub heat: Vec<(Span, u32)>,
}

/// What is known of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Condition {
    /// It takes work.
    Ready,
    /// It finishes its work and then ends.
    Draining,
    /// It has not been heard of; it may run, and is granted nothing.
    Silent,
    /// It has ended.
    Gone,
}
