//! Limits of sizes and counts.

use bytesize::ByteSize;
use serde::Deserialize;

/// Limits of sizes and counts.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limit {
    /// The largest size of all headers of a request together.
    pub headers: ByteSize,
    /// The largest number of headers of a request.
    pub header_count: usize,
    /// The largest body of a request.
    pub body: ByteSize,
    /// The largest request body that is kept in memory, so that the request
    /// can be sent again on a retry.
    pub replay: ByteSize,
    /// The largest response body that is recorded for an at-most-once request.
    pub answer: ByteSize,
    /// The largest number of open connections from callers.
    pub connections: usize,
    /// The memory for records of at-most-once requests that this node holds
    /// for other nodes.
    pub records: ByteSize,
    /// The largest number of requests that wait for admission at this node.
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
    /// Checks the values. The error holds the name of the field and what is
    /// allowed.
    pub(crate) fn check(&self) -> Result<(), (&'static str, String)> {
        // hyper requires a read buffer of at least 8 KiB.
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
