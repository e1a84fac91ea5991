//! Errors of the storage.

use std::{fmt, io};

/// The result of a storage operation.
pub type Result<T> = std::result::Result<T, Error>;

/// What went wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Kind {
    /// Another process holds the lock of the data directory.
    Locked,
    /// The directory was written by another version, or by something else.
    Format,
    /// A file holds data that was not written this way.
    Corrupt,
    /// The operating system refused an operation.
    Io,
    /// An earlier write or sync failed, so nothing more is accepted.
    Failed,
    /// A change does not fit the log, which is a fault of the caller.
    Order,
}

/// An error of the storage.
#[derive(Debug)]
pub struct Error {
    kind: Kind,
    file: String,
    offset: Option<u64>,
    detail: String,
    source: Option<io::Error>,
}

impl Error {
    pub(super) fn new(kind: Kind, file: &str, detail: impl Into<String>) -> Self {
        Self {
            kind,
            file: file.to_owned(),
            offset: None,
            detail: detail.into(),
            source: None,
        }
    }

    pub(super) fn corrupt(file: &str, offset: u64, detail: impl Into<String>) -> Self {
        Self {
            offset: Some(offset),
            ..Self::new(Kind::Corrupt, file, detail)
        }
    }

    pub(super) fn io(file: &str, action: &str, source: io::Error) -> Self {
        let detail = format!("cannot {action}: {source}");
        Self {
            source: Some(source),
            ..Self::new(Kind::Io, file, detail)
        }
    }

    /// What went wrong.
    #[must_use]
    pub fn kind(&self) -> Kind {
        self.kind
    }

    /// The file concerned, without its directory.
    #[must_use]
    pub fn file(&self) -> &str {
        &self.file
    }

    /// The position of a corrupt record in the file, in bytes.
    #[must_use]
    pub fn offset(&self) -> Option<u64> {
        self.offset
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.offset {
            Some(offset) => write!(
                f,
                "{} is corrupt at offset {offset}: {}",
                self.file, self.detail
            ),
            None => write!(f, "{}: {}", self.file, self.detail),
        }
    }
}

impl std::error::Error for Error {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        self.source.as_ref().map(|source| source as _)
    }
}
