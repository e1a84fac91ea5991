//! The identifier of a request inside the system.

use std::fmt;

use serde::{Deserialize, Serialize};

/// A random 128-bit number, which the node that receives a request from its
/// caller gives to it. It is displayed as 32 hexadecimal digits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Request(u128);

impl Request {
    /// Wraps a number.
    #[must_use]
    pub const fn new(raw: u128) -> Self {
        Self(raw)
    }

    /// Returns the wrapped number.
    #[must_use]
    pub const fn get(self) -> u128 {
        self.0
    }
}

impl fmt::Display for Request {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}
