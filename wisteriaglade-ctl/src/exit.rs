//! Exit codes of the process.

use std::process::ExitCode;

/// The result of a command as an exit code.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// The command succeeded: code 0.
    Done,
    /// The command was refused or failed, or its outcome is unknown: code 1.
    Refused,
    /// The arguments are wrong: code 2.
    Usage,
}

impl Exit {
    /// The exit code of the process.
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
