use std::time::Duration;

use wisteriaglade_types::Request;

use crate::{Fingerprint, Key};

/// A request that neither runs nor has had a final effect: it waits until the shard is
/// ready, or as a resend for the outcome of the first request with its key.
#[derive(Debug, Clone)]
pub(super) struct Pending {
    pub(super) key: Key,
    pub(super) fingerprint: Fingerprint,
    pub(super) request: Request,
    pub(super) deadline: Duration,
}
