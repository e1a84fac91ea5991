use std::time::Duration;

use wisteriaglade_types::Request;

use crate::{Fingerprint, Key};

/// A request that has had no final effect and does not run.
#[derive(Debug, Clone)]
pub(super) struct Begin {
    pub(super) key: Key,
    pub(super) fingerprint: Fingerprint,
    pub(super) request: Request,
    pub(super) deadline: Duration,
}
