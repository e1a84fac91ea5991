//! One attempt at a request, as `ingress` or `peer` hands it to `forward` or
//! `work`.

use std::time::Duration;

use http::{HeaderMap, Method, Uri};
use tokio_util::sync::CancellationToken;
use wisteriaglade_types::{Name, Request};

use crate::body::Body;

/// One attempt to run a request on the node that should own its key.
#[derive(Debug)]
pub(crate) struct Job {
    /// The id of this attempt.
    pub(crate) request: Request,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Body,
    /// Latest time of the response, on the process clock.
    pub(crate) deadline: Duration,
    /// The caller's name, for fairness among the callers of a member.
    pub(crate) caller: Name,
    /// Cancelled when the caller or the forwarding node disconnects.
    pub(crate) cancel: CancellationToken,
}
