//! The error of decoding a snapshot.

use std::fmt;

/// A `Result` with the [`Error`] of this package.
pub type Result<T> = std::result::Result<T, Error>;

/// An error of decoding a snapshot with
/// [`State::decode`](crate::State::decode).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Error(Kind);

/// The kinds of [`Error`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[non_exhaustive]
pub enum Kind {
    /// The snapshot has a format version that this build does not support.
    Format,
    /// The bytes are not a snapshot, or their parts contradict each other.
    Malformed,
}

impl Error {
    pub(crate) const fn new(kind: Kind) -> Self {
        Self(kind)
    }

    /// Returns the kind of the error.
    #[must_use]
    pub const fn kind(self) -> Kind {
        self.0
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self.0 {
            Kind::Format => "the snapshot has an unknown format version",
            Kind::Malformed => "the snapshot is malformed",
        })
    }
}

impl std::error::Error for Error {}
