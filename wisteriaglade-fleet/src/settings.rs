//! Settings of a process. The dialect's package reads them; they do not change
//! while the process runs.

use std::{net::SocketAddr, path::PathBuf, time::Duration};

use wisteriaglade_types::Name;

/// Settings of a process.
///
/// `wisteriaglade --platform --check` prints them with [`Debug`](std::fmt::Debug),
/// so operators see the names of the fields.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The name of the host on which the process runs; it identifies the process
    /// in reports and logs.
    pub host: Name,
    /// The data centre of the host.
    pub data_centre: Name,
    /// The address on which the process accepts links from other processes.
    pub link: SocketAddr,
    /// The address on which the process serves its metrics.
    pub metrics: SocketAddr,
    /// The address on which a control replica takes calls of operators, and the
    /// process beside a target takes calls of that target.
    pub control: SocketAddr,
    /// The link addresses of some control replicas as of the time when the
    /// settings were written.
    pub seeds: Vec<SocketAddr>,
    /// Whether the fleet starts for the first time. Control replicas that are
    /// named as seeds then form the first group.
    pub first_start: bool,
    /// The number of control replicas that the group should have.
    pub replicas: usize,
    /// The interval at which the target sends heartbeats.
    pub beat: Duration,
    /// How the hosts grant key ranges to their targets.
    pub grants: GrantChannel,
    /// The longest hold of key ranges that a target accepts in a grant.
    pub hold_max: Duration,
    /// How long a draining target may still be sent new requests.
    pub drain: Duration,
    /// The time between the request to end and the moment when the process is
    /// killed.
    pub grace: Duration,
    /// The retry budget of the fleet.
    pub repeats: Repeats,
    /// Settings that a control replica needs; not used beside a target.
    pub replica: Option<Replica>,
    /// Settings of the process beside a target; `None` makes the process a control
    /// replica.
    pub beside: Option<Beside>,
}

/// How a host grants key ranges to its target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GrantChannel {
    /// In the answers to the target's heartbeats.
    Heartbeat,
    /// By calls to the target, which answers no range in its heartbeats.
    Call,
}

/// The retry budget of the fleet.
#[derive(Debug, Clone, Copy)]
pub struct Repeats {
    /// The number of repeats that each request adds to the budget.
    pub ratio: f64,
    /// The number of additional repeats in each window, for the whole fleet.
    pub slack: f64,
    /// The length of the window for `slack`.
    pub window: Duration,
}

/// Settings of a control replica.
#[derive(Debug, Clone)]
pub struct Replica {
    /// The folder for the log, the snapshots and the replica's number.
    pub data: PathBuf,
}

/// Settings of the process beside a target.
#[derive(Debug, Clone)]
pub struct Beside {
    /// The address on which callers on this host send their requests.
    pub callers: SocketAddr,
    /// The address on which the platform polls whether callers may be sent here.
    pub ready: SocketAddr,
    /// The address on which the target takes requests.
    pub target: SocketAddr,
    /// The target's pool.
    pub pool: Name,
}
