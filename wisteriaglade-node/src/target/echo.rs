//! The id of a request that a target copies to its response.

use http::{HeaderMap, HeaderValue};

use super::{Error, Result};
use crate::header as names;

/// The id of a request in its response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Echo {
    Own,
    Other,
    Absent,
}

impl Echo {
    /// Compares the id in a response with that of the request.
    pub(super) fn of(response: &HeaderMap, id: Option<&HeaderValue>) -> Self {
        match response.get(names::REQUEST) {
            None => Self::Absent,
            Some(echoed) if Some(echoed) == id => Self::Own,
            Some(_) => Self::Other,
        }
    }

    /// Checks that a response with this id is that of the request. Without an id it
    /// is, unless the connection is `reusable`, so that an earlier response can come
    /// on it.
    pub(super) fn verify(self, reusable: bool) -> Result<()> {
        match self {
            Self::Own => Ok(()),
            Self::Absent if !reusable => Ok(()),
            Self::Absent => Err(Error::Foreign("a response without the id of a request")),
            Self::Other => Err(Error::Foreign("the response to another request")),
        }
    }
}
