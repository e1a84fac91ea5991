//! The execution outcome that a caller is told about its request.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Whether a request was executed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The request was not executed and will not be.
    NotRun,
    /// The request was executed to its end.
    Done,
    /// The request may have been executed.
    Unknown,
}

impl Outcome {
    /// Returns the value of the `wg-outcome` header.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Done => "done",
            Self::Unknown => "unknown",
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
