//! The errors of storage operations.

use std::{fmt, io};

/// The result of a storage operation.
pub type Result<T> = std::result::Result<T, Error>;

/// The kinds of storage errors.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Kind {
    /// Another process holds the lock of the data directory.
    Locked,
    /// The directory has another format version, or none although it contains
    /// files of a replica.
    Format,
    /// A file is damaged or missing, or contradicts another one.
    Corrupt,
    /// The operating system reported an error.
    Io,
    /// An earlier change failed, so all further ones are refused.
    Failed,
    /// A change does not fit the log or exceeds the size of a record, which is
    /// an error of the caller.
    InvalidChange,
}

/// The error of a storage operation.
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

    /// Returns the kind of the error.
    #[must_use]
    pub fn kind(&self) -> Kind {
        self.kind
    }

    /// Returns the name of the affected file without its directory.
    #[must_use]
    pub fn file(&self) -> &str {
        &self.file
    }

    /// Returns the position of a corrupt record in its file, in bytes. It is
    /// `None` unless the kind is [`Kind::Corrupt`].
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
