//! What a caller is told about its request.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Whether the work of a request ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The work did not run and will not run.
    NotRun,
    /// The work ran to its end.
    Done,
    /// The work may have run.
    Unknown,
}

impl Outcome {
    /// The value of the `wg-outcome` header.
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
