//! The interface between the fleet and the protocol of its platform.
//!
//! Callers, targets and operators use the header names, calls and message formats
//! of the platform. An implementation of [`Dialect`] supplies them; the processes
//! of the fleet use only the types defined here and in `wisteriaglade-mesh`.

use std::{fmt, net::SocketAddr, time::Duration};

use http::{HeaderMap, Method, Uri};
use wisteriaglade_mesh::{Call as RangeCall, Grant, Plan, Span};
use wisteriaglade_types::Name;

/// The header names, calls and message formats of one platform.
///
/// An implementation only converts; it makes no decisions.
pub trait Dialect: Copy + Send + Sync + 'static {
    /// The header with the id that the caller gave to a request.
    const REQUEST_ID: &'static str;
    /// The header with the time in milliseconds that the caller will wait.
    const DEADLINE: &'static str;
    /// The header with the key of a request, from 0 to 65535.
    const KEY: &'static str;
    /// The header with the name of the pool whose target made a request.
    const CALLER: &'static str;
    /// The header with the id of the only target that may run a request.
    const TARGET: &'static str;
    /// The header that marks a response to a request that was not run.
    const NOT_RUN: &'static str;
    /// The header of the response to a release with the text that is handed to
    /// the next holder.
    const HANDOVER: &'static str;
    /// The header with the base of a plan, which is the version that the operator
    /// has changed.
    const BASE: &'static str;

    /// Recognizes a call on the control address. Returns `None` for an unknown one.
    fn call(method: &Method, uri: &Uri) -> Option<Call>;

    /// Decodes the rate limit that a target names in the headers of a response: the
    /// requests per second that it takes from all hosts together. `None` if it
    /// names none.
    ///
    /// # Errors
    ///
    /// When the value is not a decimal number of at least 0.
    fn decode_rate_limit(headers: &HeaderMap) -> Result<Option<f64>>;

    /// Whether a target says in the headers of a response that it is leaving.
    fn is_leaving(headers: &HeaderMap) -> bool;

    /// Decodes a heartbeat of the target with the given id.
    ///
    /// # Errors
    ///
    /// When the body is not a heartbeat.
    fn decode_heartbeat(target: &str, body: &[u8]) -> Result<Heartbeat>;

    /// Decodes the body of a leave call: the target's start time in Unix
    /// milliseconds, if the body names it.
    ///
    /// # Errors
    ///
    /// When the body is malformed.
    fn decode_leave(body: &[u8]) -> Result<Option<u64>>;

    /// Encodes the answer to a heartbeat. Without a grant it extends no hold.
    fn encode_grant(grant: Option<&Grant>) -> Vec<u8>;

    /// Encodes a call that grants key ranges to a target or takes them back: the
    /// path of the request and its body.
    fn encode_call(call: &RangeCall) -> (&'static str, Vec<u8>);

    /// Decodes a plan without checking it against the rules for plans.
    ///
    /// # Errors
    ///
    /// When the body is not a plan.
    fn decode_plan(body: &[u8]) -> Result<Plan>;

    /// Encodes the body of the response to a call that failed.
    fn encode_error(detail: &str) -> Vec<u8>;
}

/// The result of decoding a message.
pub type Result<T> = std::result::Result<T, Error>;

/// An error of decoding a message. Its text is sent back to the sender.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Error(String);

impl Error {
    /// Creates an error with a description of the fault.
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

/// A call on the control address.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Call {
    /// A heartbeat of the target with this id.
    Heartbeat(Name),
    /// The target with this id is about to end.
    Leave(Name),
    /// An operator sends a plan.
    PutPlan,
    /// An operator asks for the plan in force.
    GetPlan,
}

/// A heartbeat: what a target reports about itself.
#[derive(Debug, Clone, PartialEq)]
pub struct Heartbeat {
    /// The target's id, which it keeps after a restart.
    pub target: Name,
    /// When the target's process started, in Unix milliseconds of its clock. It
    /// tells apart the processes that have run under one id.
    pub born: u64,
    /// The target's pool.
    pub pool: Name,
    /// The address on which the target takes requests.
    pub address: SocketAddr,
    /// The number of requests that the target runs concurrently.
    pub slots: u32,
    /// Whether the target finishes its work and then ends.
    pub draining: bool,
    /// The rest of the cold start, during which the target is slow.
    pub cold_start: Duration,
    /// Rises with each heartbeat of one process of the target.
    pub seq: u64,
    /// The ranges that the target holds or still works on, with the fencing token
    /// of each grant.
    pub holds: Vec<(Span, u64)>,
    /// The ranges that the target has released, with the text that is handed to
    /// the next holder.
    pub released: Vec<(Span, Name)>,
}
