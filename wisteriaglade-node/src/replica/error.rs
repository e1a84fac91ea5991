//! Errors at the start of a replica.

use std::fmt;

/// An error that prevents a replica from starting.
#[derive(Debug)]
pub(crate) enum Error {
    /// The data directory cannot be used.
    Storage(wisteriaglade_consensus::storage::Error),
    /// The snapshot in the data directory cannot be decoded.
    Snapshot(String),
    /// The thread cannot be started.
    Thread(std::io::Error),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Storage(error) => error.fmt(f),
            Self::Snapshot(detail) => write!(f, "snapshot: {detail}"),
            Self::Thread(error) => write!(f, "cannot start a thread: {error}"),
        }
    }
}

impl std::error::Error for Error {}
