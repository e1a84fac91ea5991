//! What a process of the fleet is told when it starts.

use std::{net::SocketAddr, path::PathBuf, time::Duration};

use wisteriaglade_types::Name;

/// What a process of the fleet is told when it starts.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The host.
    pub host: Name,
    /// The data centre.
    pub data_centre: Name,
    /// Where the other processes of the fleet reach this one.
    pub link: SocketAddr,
    /// Where metrics are served.
    pub metrics: SocketAddr,
    /// Where operators, or the target of this host, call.
    pub control: SocketAddr,
    /// Where some control replicas took links when the settings were written.
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole fleet starts for the first time.
    pub first_start: bool,
    /// Control replicas that the fleet should have.
    pub replicas: usize,
    /// The interval of a target's heartbeats.
    pub beat: Duration,
    /// The longest hold that a target accepts.
    pub hold_max: Duration,
    /// How long a target that leaves may still get new work.
    pub drain: Duration,
    /// How long a process has to end after it was asked to.
    pub grace: Duration,
    /// The budget for sending requests again.
    pub repeats: Repeats,
    /// What a control replica needs besides.
    pub replica: Option<Replica>,
    /// What the process beside a target needs besides.
    pub beside: Option<Beside>,
}

/// The fleet's budget for sending requests again.
#[derive(Debug, Clone, Copy)]
pub struct Repeats {
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats on top in a window, for the whole fleet.
    pub slack: f64,
    /// The length of the window.
    pub window: Duration,
}

/// What a control replica needs.
#[derive(Debug, Clone)]
pub struct Replica {
    /// The folder for its files.
    pub data: PathBuf,
}

/// What the process beside a target needs.
#[derive(Debug, Clone)]
pub struct Beside {
    /// Where callers of this host send their requests.
    pub callers: SocketAddr,
    /// Where the platform asks whether callers may be sent here.
    pub ready: SocketAddr,
    /// Where the target takes requests.
    pub target: SocketAddr,
    /// The target's pool.
    pub pool: Name,
}
