//! Encoding of one message with a length prefix.

use bytes::{BufMut, Bytes, BytesMut};
use serde::{Serialize, de::DeserializeOwned};

use crate::error::{Error, Kind, Result};

/// The encoding of one message on a stream.
///
/// A frame is a big-endian u32 with the length of the body in bytes, then the
/// body in postcard.
#[derive(Debug)]
pub struct Frame;

impl Frame {
    /// The longest body, in bytes: 1 MiB.
    pub const MAX_BODY_BYTES: usize = 1 << 20;

    /// The length of the length prefix, in bytes.
    pub const PREFIX_BYTES: usize = 4;

    /// Encodes a message with its length prefix.
    ///
    /// # Errors
    ///
    /// [`Kind::Oversize`] when the body is over [`Frame::MAX_BODY_BYTES`], and
    /// [`Kind::Malformed`] when the type cannot be encoded.
    #[allow(
        clippy::cast_possible_truncation,
        reason = "the length is below the limit, which fits a u32"
    )]
    pub fn encode<T: Serialize>(message: &T) -> Result<Bytes> {
        let mut buffer = BytesMut::with_capacity(256);
        buffer.put_u32(0);
        let writer =
            postcard::to_io(message, buffer.writer()).map_err(|_| Error::new(Kind::Malformed))?;
        let mut buffer = writer.into_inner();
        let length = buffer.len() - Self::PREFIX_BYTES;
        if length > Self::MAX_BODY_BYTES {
            return Err(Error::new(Kind::Oversize(length)));
        }
        buffer[..Self::PREFIX_BYTES].copy_from_slice(&(length as u32).to_be_bytes());
        Ok(buffer.freeze())
    }

    /// Decodes the length of the body from the prefix.
    ///
    /// # Errors
    ///
    /// [`Kind::TooLong`] when the length is over [`Frame::MAX_BODY_BYTES`].
    pub const fn body_length(prefix: [u8; Self::PREFIX_BYTES]) -> Result<usize> {
        let length = u32::from_be_bytes(prefix) as usize;
        if length > Self::MAX_BODY_BYTES {
            return Err(Error::new(Kind::TooLong(length)));
        }
        Ok(length)
    }

    /// Decodes a body. Bytes after the message are an error.
    ///
    /// # Errors
    ///
    /// [`Kind::Malformed`] when the bytes are not one message of the type.
    pub fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T> {
        match postcard::take_from_bytes(body) {
            Ok((message, [])) => Ok(message),
            _ => Err(Error::new(Kind::Malformed)),
        }
    }
}
