//! Errors of commands.

use std::fmt;

use serde_json::{Map, Value};

use crate::Exit;

pub(crate) type Result<T> = std::result::Result<T, Error>;

/// The kind of an [`Error`], printed as `outcome` in JSON.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Kind {
    /// The arguments are wrong.
    Usage,
    /// The file or the request was refused. Nothing was changed.
    Refused,
    /// There was no usable response, or a local operation failed. This command
    /// changed nothing.
    Failed,
    /// The change was sent, but its outcome is unknown. It may have been applied.
    Unknown,
}

impl Kind {
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::Usage => "usage",
            Self::Refused => "refused",
            Self::Failed => "failed",
            Self::Unknown => "unknown",
        }
    }
}

/// A command failed. `details` are further fields of its JSON form.
#[derive(Debug)]
pub(crate) struct Error {
    kind: Kind,
    message: String,
    details: Map<String, Value>,
}

impl Error {
    pub(crate) fn new(kind: Kind, message: impl Into<String>) -> Self {
        Self {
            kind,
            message: message.into(),
            details: Map::new(),
        }
    }

    pub(crate) fn usage(message: impl Into<String>) -> Self {
        Self::new(Kind::Usage, message)
    }

    pub(crate) fn refused(message: impl Into<String>) -> Self {
        Self::new(Kind::Refused, message)
    }

    pub(crate) fn failed(message: impl Into<String>) -> Self {
        Self::new(Kind::Failed, message)
    }

    /// Adds a field to the JSON form of the error.
    pub(crate) fn with(mut self, name: &str, value: impl Into<Value>) -> Self {
        self.details.insert(name.into(), value.into());
        self
    }

    pub(crate) const fn kind(&self) -> Kind {
        self.kind
    }

    pub(crate) const fn details(&self) -> &Map<String, Value> {
        &self.details
    }

    pub(crate) const fn exit(&self) -> Exit {
        match self.kind {
            Kind::Usage => Exit::Usage,
            Kind::Refused | Kind::Failed | Kind::Unknown => Exit::Refused,
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.message)
    }
}
