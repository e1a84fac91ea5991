//! Why a frame, datagram or handshake failed.

use std::{fmt, io};

/// The result of this package.
pub type Result<T> = std::result::Result<T, Error>;

/// A failure of one connection or datagram.
#[derive(Debug)]
pub struct Error {
    kind: Kind,
    source: Option<io::Error>,
}

/// What kind of failure an [`Error`] is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[non_exhaustive]
pub enum Kind {
    /// The socket failed.
    Io,
    /// The peer closed the connection between two frames.
    Closed,
    /// The peer announced a frame over the limit, with its length in bytes.
    TooLong(usize),
    /// The bytes do not decode as the expected message.
    Malformed,
    /// The peer speaks another protocol version.
    Version(u8),
    /// The peer does not hold the cluster key.
    Unauthenticated,
    /// The cluster key is shorter than the minimum, in bytes.
    WeakKey(usize),
    /// The message to send is over the limit, with its length in bytes.
    Oversize(usize),
}

impl Error {
    pub(crate) const fn new(kind: Kind) -> Self {
        Self { kind, source: None }
    }

    /// The kind of this failure.
    #[must_use]
    pub const fn kind(&self) -> Kind {
        self.kind
    }
}

impl From<io::Error> for Error {
    fn from(source: io::Error) -> Self {
        Self {
            kind: Kind::Io,
            source: Some(source),
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (&self.kind, &self.source) {
            (Kind::Io, Some(source)) => write!(f, "socket error: {source}"),
            (Kind::Io, None) => f.write_str("socket error"),
            (Kind::Closed, _) => f.write_str("connection closed by the peer"),
            (Kind::TooLong(length), _) => {
                write!(
                    f,
                    "peer announced a frame of {length} bytes, over the limit"
                )
            }
            (Kind::Malformed, _) => f.write_str("malformed message"),
            (Kind::Version(version), _) => write!(
                f,
                "peer speaks protocol version {version}, this process speaks {}",
                crate::VERSION
            ),
            (Kind::Unauthenticated, _) => f.write_str("peer does not hold the cluster key"),
            (Kind::WeakKey(length), _) => write!(
                f,
                "cluster key of {length} bytes is shorter than {} bytes",
                crate::Key::MINIMUM
            ),
            (Kind::Oversize(length), _) => {
                write!(f, "message of {length} bytes is over the limit")
            }
        }
    }
}

impl std::error::Error for Error {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        self.source.as_ref().map(|source| source as _)
    }
}
