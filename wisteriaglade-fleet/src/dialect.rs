//! The words in which the outside world speaks to the fleet.

use std::{fmt, net::SocketAddr, time::Duration};

use http::{Method, Uri};
use wisteriaglade_mesh::{Grant, Plan, Span};
use wisteriaglade_types::Name;

/// The names and formats of one outside world.
///
/// An implementation translates and decides nothing.
pub trait Dialect: Copy + Send + Sync + 'static {
    /// The header with the id of a request.
    const REQUEST_ID: &'static str;
    /// The header with the milliseconds that the caller will wait.
    const DEADLINE: &'static str;
    /// The header with the key of a request.
    const KEY: &'static str;
    /// The header with the pool of the target beside which a request began.
    const CALLER: &'static str;
    /// The header with the id of the only target that may run a request.
    const TARGET: &'static str;
    /// The header that marks a response to a request that was not run.
    const NOT_RUN: &'static str;
    /// The header with the version that a plan builds on.
    const BASE: &'static str;

    /// What a call to the control address asks for.
    fn call(method: &Method, uri: &Uri) -> Option<Call>;

    /// Reads a heartbeat.
    ///
    /// # Errors
    ///
    /// When the body is not a heartbeat.
    fn beat(target: &str, body: &[u8]) -> Result<Beat>;

    /// Reads the start of a target from its farewell, if that names it.
    ///
    /// # Errors
    ///
    /// When the body cannot be read.
    fn born(body: &[u8]) -> Result<Option<u64>>;

    /// The answer to a heartbeat; no grant renews nothing.
    fn grant(grant: Option<&Grant>) -> Vec<u8>;

    /// Reads a plan.
    ///
    /// # Errors
    ///
    /// When the body is not a plan.
    fn plan(body: &[u8]) -> Result<Plan>;

    /// A body that says why a call failed.
    fn error(detail: &str) -> Vec<u8>;
}

/// The result of reading a message.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a message cannot be read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Error(String);

impl Error {
    /// An error with a reason for the sender.
    #[must_use]
    pub fn new(detail: impl Into<String>) -> Self {
        Self(detail.into())
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for Error {}

/// A call to the control address.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Call {
    /// A target tells its state.
    Beat(Name),
    /// A target is about to end.
    Leave(Name),
    /// An operator sends a plan.
    Put,
    /// An operator reads the plan.
    Get,
}

/// What a target says of itself.
#[derive(Debug, Clone, PartialEq)]
pub struct Beat {
    /// Its id.
    pub target: Name,
    /// When it started, in Unix milliseconds of its clock.
    pub born: u64,
    /// Its pool.
    pub pool: Name,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// Whether it is about to leave.
    pub draining: bool,
    /// How much longer it is slow after its start.
    pub cold: Duration,
    /// Rises with each heartbeat of one life.
    pub seq: u64,
    /// What it holds or still works on, with the fencing token.
    pub holds: Vec<(Span, u64)>,
    /// What it has released, with what the next holder gets.
    pub released: Vec<(Span, Name)>,
}
