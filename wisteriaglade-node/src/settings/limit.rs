//! Bounds of sizes and counts.

use bytesize::ByteSize;
use serde::Deserialize;

/// Bounds of sizes and counts.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limit {
    /// All headers of a request together.
    pub headers: ByteSize,
    /// The number of headers of a request.
    pub header_count: usize,
    /// The body of a request.
    pub body: ByteSize,
    /// A request body up to this size is kept in memory, so that the request
    /// can be sent again.
    pub replay: ByteSize,
    /// A response body up to this size is recorded for at-most-once requests.
    pub answer: ByteSize,
    /// Open connections from callers.
    pub connections: usize,
    /// Memory for records of at-most-once requests that this node holds for
    /// others.
    pub records: ByteSize,
    /// Requests that wait at the owner's node.
    pub queue: usize,
}

impl Default for Limit {
    fn default() -> Self {
        Self {
            headers: ByteSize::kib(16),
            header_count: 100,
            body: ByteSize::mib(64),
            replay: ByteSize::kib(64),
            answer: ByteSize::kib(16),
            connections: 4_096,
            records: ByteSize::mib(24),
            queue: 1_024,
        }
    }
}

impl Limit {
    /// Checks the values against each other. The error names the field.
    pub(crate) fn check(&self) -> Result<(), (&'static str, String)> {
        // hyper needs a read buffer of at least 8 KiB.
        if self.headers < ByteSize::kib(8) {
            return Err(("headers", "expected at least 8KiB".to_owned()));
        }
        if self.header_count == 0 || self.connections == 0 || self.queue == 0 {
            return Err(("header_count", "counts must be at least 1".to_owned()));
        }
        if self.replay > ByteSize::mib(1) {
            return Err(("replay", "expected at most 1MiB".to_owned()));
        }
        if self.answer > ByteSize::kib(256) {
            return Err(("answer", "expected at most 256KiB".to_owned()));
        }
        Ok(())
    }
}
