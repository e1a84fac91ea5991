//! A request on its way through the router.

use std::time::Duration;

use http::{HeaderMap, Method, Uri};
use tokio_util::sync::CancellationToken;
use wisteriaglade_types::{Name, Request};

use crate::body::Body;

/// One attempt at a request, at the node that should own its key.
#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) request: Request,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Body,
    /// When the response must have been returned, on the process clock.
    pub(crate) deadline: Duration,
    pub(crate) caller: Name,
    /// Cancelled when nobody waits for the response any more.
    pub(crate) cancel: CancellationToken,
}
