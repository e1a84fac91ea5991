//! Encoding and authentication of one message in a UDP datagram.

use serde::{Serialize, de::DeserializeOwned};

use crate::{
    VERSION,
    error::{Error, Kind, Result},
    frame::Frame,
    key::Key,
};

/// The encoding of one message in a UDP datagram.
///
/// A datagram is the version byte, the message in postcard, and a tag of 16 bytes
/// that authenticates both with the cluster key. The message is not encrypted.
#[derive(Debug)]
pub struct Datagram;

impl Datagram {
    /// The longest datagram, in bytes. A datagram of this length fits one Ethernet
    /// frame.
    pub const MAX_BYTES: usize = 1_400;

    /// The length of the tag, in bytes. It is half of a BLAKE3 hash.
    const TAG_BYTES: usize = 16;

    /// Encodes a message and appends the tag.
    ///
    /// # Errors
    ///
    /// [`Kind::Oversize`] when the datagram is over [`Datagram::MAX_BYTES`], and
    /// [`Kind::Malformed`] when the type cannot be encoded.
    pub fn seal<T: Serialize>(key: &Key, message: &T) -> Result<Vec<u8>> {
        let mut bytes =
            postcard::to_extend(message, vec![VERSION]).map_err(|_| Error::new(Kind::Malformed))?;
        let tag = key.tag(&[&bytes]);
        bytes.extend_from_slice(&tag.as_bytes()[..Self::TAG_BYTES]);
        if bytes.len() > Self::MAX_BYTES {
            return Err(Error::new(Kind::Oversize(bytes.len())));
        }
        Ok(bytes)
    }

    /// Checks the tag and decodes the message.
    ///
    /// # Errors
    ///
    /// [`Kind::Version`] when the version is another one,
    /// [`Kind::Unauthenticated`] when the tag is wrong, and [`Kind::Malformed`] when
    /// the datagram is too short or is not one message of the type.
    pub fn open<T: DeserializeOwned>(key: &Key, bytes: &[u8]) -> Result<T> {
        let Some(split) = bytes.len().checked_sub(Self::TAG_BYTES).filter(|&n| n > 0) else {
            return Err(Error::new(Kind::Malformed));
        };
        let (sealed, tag) = bytes.split_at(split);
        if sealed[0] != VERSION {
            return Err(Error::new(Kind::Version(sealed[0])));
        }
        let expected = key.tag(&[sealed]);
        // Pads both tags to a full hash, because comparing hashes takes constant time.
        let widen = |half: &[u8]| {
            let mut full = [0; 32];
            full[..Self::TAG_BYTES].copy_from_slice(half);
            blake3::Hash::from_bytes(full)
        };
        if widen(tag) != widen(&expected.as_bytes()[..Self::TAG_BYTES]) {
            return Err(Error::new(Kind::Unauthenticated));
        }
        Frame::decode(&sealed[1..])
    }
}
