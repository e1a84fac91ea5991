use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// The HTTP response of the target, as it is recorded and replayed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// The HTTP status code.
    pub status: u16,
    /// Names and values of the response headers, in the order of the response. Empty
    /// when the header block was too large to record.
    pub headers: Vec<(Arc<str>, Arc<[u8]>)>,
    /// The response body. `None` when the body or the header block was too large to
    /// record.
    pub body: Option<Arc<[u8]>>,
}

impl Answer {
    /// The largest body that is recorded, in bytes.
    pub const MAX_BODY_BYTES: usize = 16 * 1024;
    /// The largest header block that is recorded, in bytes. Each field counts its
    /// name, its value and [`Answer::FIELD_OVERHEAD_BYTES`].
    pub const MAX_HEADER_BYTES: usize = 4 * 1024;
    /// The memory counted for one header field in addition to its name and value, in
    /// bytes: two fat pointers of 16 bytes and two pairs of reference counts of
    /// 16 bytes.
    pub const FIELD_OVERHEAD_BYTES: usize = 64;
    /// The memory that a holder reserves for the response of a started request, in
    /// bytes.
    pub const RESERVED_BYTES: usize = Self::MAX_BODY_BYTES + Self::MAX_HEADER_BYTES;

    /// The memory counted for headers and body, in bytes.
    #[must_use]
    pub fn size(&self) -> usize {
        self.header_size() + self.body.as_ref().map_or(0, |body| body.len())
    }

    /// Removes every part that is too large to record.
    ///
    /// A body larger than [`Answer::MAX_BODY_BYTES`] becomes `None`. A header block larger than
    /// [`Answer::MAX_HEADER_BYTES`] is removed together with the body, because a body without
    /// its headers cannot be interpreted.
    #[must_use]
    pub fn clip(mut self) -> Self {
        if self.header_size() > Self::MAX_HEADER_BYTES {
            self.headers = Vec::new();
            self.body = None;
        }
        if self
            .body
            .as_ref()
            .is_some_and(|body| body.len() > Self::MAX_BODY_BYTES)
        {
            self.body = None;
        }
        self
    }

    fn header_size(&self) -> usize {
        let field = |(name, value): &(Arc<str>, Arc<[u8]>)| {
            name.len() + value.len() + Self::FIELD_OVERHEAD_BYTES
        };
        self.headers.iter().map(field).sum()
    }
}
