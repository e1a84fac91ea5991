//! Exit codes.

use std::process::ExitCode;

/// How a command ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// The command did what was asked: code 0.
    Done,
    /// The command was refused, failed, or has an unknown outcome: code 1.
    Refused,
    /// The arguments are wrong: code 2.
    Usage,
}

impl Exit {
    /// The code that the process ends with.
    #[must_use]
    pub const fn code(self) -> u8 {
        match self {
            Self::Done => 0,
            Self::Refused => 1,
            Self::Usage => 2,
        }
    }
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit.code())
    }
}
