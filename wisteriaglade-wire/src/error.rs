//! Errors of frames, datagrams, handshakes and cluster keys.

use std::{fmt, io};

/// The result of the functions of this package.
pub type Result<T> = std::result::Result<T, Error>;

/// The failure of one connection, one datagram, or the cluster key.
#[derive(Debug)]
pub struct Error {
    kind: Kind,
    source: Option<io::Error>,
}

/// The cause of an [`Error`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[non_exhaustive]
pub enum Kind {
    /// Reading from or writing to the socket failed, or the connection ended within
    /// the body of a frame.
    Io,
    /// The peer closed the connection before the body of a frame or during the
    /// handshake.
    Closed,
    /// The peer announced a frame over the limit. Holds the length of its body in
    /// bytes.
    TooLong(usize),
    /// The bytes are not the expected message, or a message cannot be encoded.
    Malformed,
    /// The peer uses another protocol version, which this variant holds.
    Version(u8),
    /// The peer did not prove that it holds the cluster key.
    Unauthenticated,
    /// The secret of the cluster key is too short. Holds its length in bytes.
    WeakKey(usize),
    /// The message to send is over the limit. Holds its encoded length in bytes.
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
                crate::Key::MIN_SECRET_BYTES
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
