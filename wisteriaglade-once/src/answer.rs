use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// The recorded response of the target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The response headers, in their order.
    pub headers: Vec<(Arc<str>, Arc<[u8]>)>,
    /// The body, or `None` when it was too large to record.
    pub body: Option<Arc<[u8]>>,
}

impl Answer {
    /// The largest recorded body, in bytes.
    pub const BODY: usize = 16 * 1024;
    /// The largest recorded header block, in bytes, each field counted with
    /// [`Answer::FIELD`].
    pub const HEADERS: usize = 4 * 1024;
    /// The memory counted for one header field besides its name and value:
    /// two shared pointers of 16 bytes and two reference counts of 16 bytes.
    pub const FIELD: usize = 64;
    /// The room that a holder reserves for the answer of a started request.
    pub const RESERVE: usize = Self::BODY + Self::HEADERS;

    /// The memory of headers and body, in bytes.
    #[must_use]
    pub fn size(&self) -> usize {
        self.header_size() + self.body.as_ref().map_or(0, |body| body.len())
    }

    /// The answer with every part that is too large to record left out.
    ///
    /// A body above [`Answer::BODY`] becomes `None`. A header block above
    /// [`Answer::HEADERS`] is left out together with the body, because a body
    /// without its headers cannot be interpreted.
    #[must_use]
    pub fn clip(mut self) -> Self {
        if self.header_size() > Self::HEADERS {
            self.headers = Vec::new();
            self.body = None;
        }
        if self
            .body
            .as_ref()
            .is_some_and(|body| body.len() > Self::BODY)
        {
            self.body = None;
        }
        self
    }

    fn header_size(&self) -> usize {
        let field = |(name, value): &(Arc<str>, Arc<[u8]>)| name.len() + value.len() + Self::FIELD;
        self.headers.iter().map(field).sum()
    }
}
