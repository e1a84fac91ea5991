use std::{fmt, sync::Arc};

use serde::{Deserialize, Serialize};
use wisteriaglade_types::{Hash, Name};

/// Identifies the work of a request that runs at most once.
///
/// Two requests with equal keys ask for the same work: one is a resend of the other.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key {
    /// The pool that the request is routed to.
    pub pool: Name,
    /// The hash of the key by which the request is routed. It determines the shard.
    pub hash: Hash,
    /// The idempotency key that the caller chose. The user of this package limits its
    /// length, for example to 256 bytes: it counts towards the memory of holders, and a
    /// record has to fit into a [page](crate::holder::MAX_PAGE_BYTES).
    pub id: Arc<str>,
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}", self.pool, self.hash, self.id)
    }
}
