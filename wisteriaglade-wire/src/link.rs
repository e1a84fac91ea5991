//! An authenticated connection that carries frames, and its handshake.
//!
//! Each side sends the magic bytes, the protocol version and a random nonce. Then
//! each side sends a proof: a keyed hash over its role and both nonces. The nonces
//! are fresh, so a recorded proof is not valid on another connection.

use bytes::BytesMut;
use serde::{Serialize, de::DeserializeOwned};
use tokio::io::{
    AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, BufReader, ReadHalf, WriteHalf, split,
};

use crate::{
    VERSION,
    error::{Error, Kind, Result},
    frame::Frame,
    key::Key,
};

/// The first bytes of every connection, by which a client of another protocol is
/// recognised during the handshake.
const MAGIC: [u8; 3] = *b"wgl";

/// The length of a nonce, in bytes.
const NONCE_BYTES: usize = 16;

/// The length of a proof, in bytes. It is one BLAKE3 hash.
const PROOF_BYTES: usize = 32;

/// Both directions of an authenticated connection.
#[derive(Debug)]
pub struct Link<S> {
    reader: Reader<S>,
    writer: Writer<S>,
}

/// The receiving direction of a [`Link`].
#[derive(Debug)]
pub struct Reader<S> {
    stream: BufReader<ReadHalf<S>>,
    /// The body of the last frame, kept to reuse its memory.
    body: BytesMut,
    /// The size of all frames received so far, in bytes.
    received_bytes: u64,
}

/// The sending direction of a [`Link`].
#[derive(Debug)]
pub struct Writer<S> {
    stream: WriteHalf<S>,
}

impl<S: AsyncRead + AsyncWrite> Link<S> {
    /// Runs the handshake as the side that opened the connection.
    ///
    /// # Errors
    ///
    /// [`Kind::Version`], [`Kind::Unauthenticated`] or a socket failure.
    pub async fn connect(stream: S, key: &Key) -> Result<Self> {
        let mut link = Self::new(stream);
        let own: [u8; NONCE_BYTES] = rand::random();
        link.send_hello(own).await?;
        let other = link.recv_hello().await?;
        link.send_proof(key, b"connect", own, other).await?;
        link.verify_proof(key, b"accept", other, own).await?;
        Ok(link)
    }

    /// Runs the handshake as the side that accepted the connection.
    ///
    /// The accepting side sends its proof only after it has verified the other side's
    /// proof, so a peer without the key receives no proof.
    ///
    /// # Errors
    ///
    /// [`Kind::Version`], [`Kind::Unauthenticated`] or a socket failure.
    pub async fn accept(stream: S, key: &Key) -> Result<Self> {
        let mut link = Self::new(stream);
        let own: [u8; NONCE_BYTES] = rand::random();
        let other = link.recv_hello().await?;
        link.send_hello(own).await?;
        link.verify_proof(key, b"connect", other, own).await?;
        link.send_proof(key, b"accept", own, other).await?;
        Ok(link)
    }

    /// Sends one message.
    ///
    /// # Errors
    ///
    /// [`Kind::Oversize`] or a socket failure.
    pub async fn send<T: Serialize + Sync>(&mut self, message: &T) -> Result<()> {
        self.writer.send(message).await
    }

    /// Receives one message.
    ///
    /// # Errors
    ///
    /// [`Kind::Closed`], [`Kind::TooLong`], [`Kind::Malformed`] or a socket
    /// failure.
    pub async fn recv<T: DeserializeOwned>(&mut self) -> Result<T> {
        self.reader.recv().await
    }

    /// The size of all frames received so far, in bytes, with their length prefixes.
    #[must_use]
    pub const fn received_bytes(&self) -> u64 {
        self.reader.received_bytes
    }

    /// Splits the link into its two directions, which can then be used by different
    /// tasks.
    #[must_use]
    pub fn split(self) -> (Reader<S>, Writer<S>) {
        (self.reader, self.writer)
    }

    /// Joins the two directions of one link that [`Link::split`] separated.
    #[must_use]
    pub const fn join(reader: Reader<S>, writer: Writer<S>) -> Self {
        Self { reader, writer }
    }

    /// A link on which no handshake has been done yet.
    fn new(stream: S) -> Self {
        let (read, write) = split(stream);
        Self {
            reader: Reader {
                stream: BufReader::new(read),
                body: BytesMut::new(),
                received_bytes: 0,
            },
            writer: Writer { stream: write },
        }
    }

    /// Sends the magic bytes, the protocol version and this side's nonce.
    async fn send_hello(&mut self, nonce: [u8; NONCE_BYTES]) -> Result<()> {
        let mut bytes = Vec::with_capacity(MAGIC.len() + 1 + NONCE_BYTES);
        bytes.extend_from_slice(&MAGIC);
        bytes.push(VERSION);
        bytes.extend_from_slice(&nonce);
        self.writer.stream.write_all(&bytes).await?;
        Ok(())
    }

    /// Receives and checks the other side's magic bytes and protocol version, and
    /// returns its nonce.
    async fn recv_hello(&mut self) -> Result<[u8; NONCE_BYTES]> {
        let mut bytes = [0; MAGIC.len() + 1 + NONCE_BYTES];
        self.reader.read_exact(&mut bytes).await?;
        if bytes[..MAGIC.len()] != MAGIC {
            return Err(Error::new(Kind::Malformed));
        }
        if bytes[MAGIC.len()] != VERSION {
            return Err(Error::new(Kind::Version(bytes[MAGIC.len()])));
        }
        let mut nonce = [0; NONCE_BYTES];
        nonce.copy_from_slice(&bytes[MAGIC.len() + 1..]);
        Ok(nonce)
    }

    /// Sends this side's proof. `role` is this side's role, so that a proof cannot be
    /// sent back to its sender.
    async fn send_proof(
        &mut self,
        key: &Key,
        role: &[u8],
        own: [u8; NONCE_BYTES],
        other: [u8; NONCE_BYTES],
    ) -> Result<()> {
        let proof = key.tag(&[role, &own, &other]);
        self.writer.stream.write_all(proof.as_bytes()).await?;
        Ok(())
    }

    /// Receives the other side's proof and checks it. `role` is the other side's role.
    async fn verify_proof(
        &mut self,
        key: &Key,
        role: &[u8],
        other: [u8; NONCE_BYTES],
        own: [u8; NONCE_BYTES],
    ) -> Result<()> {
        let mut bytes = [0; PROOF_BYTES];
        self.reader.read_exact(&mut bytes).await?;
        if blake3::Hash::from_bytes(bytes) == key.tag(&[role, &other, &own]) {
            Ok(())
        } else {
            Err(Error::new(Kind::Unauthenticated))
        }
    }
}

impl<S: AsyncRead> Reader<S> {
    /// Receives one message.
    ///
    /// This method is not cancel safe: if the future is dropped, a part of a frame may
    /// have been read, and the link must be closed.
    ///
    /// # Errors
    ///
    /// As [`Link::recv`].
    pub async fn recv<T: DeserializeOwned>(&mut self) -> Result<T> {
        let mut prefix = [0; Frame::PREFIX_BYTES];
        self.read_exact(&mut prefix).await?;
        let length = Frame::body_length(prefix)?;
        self.body.resize(length, 0);
        self.stream.read_exact(&mut self.body).await?;
        self.received_bytes += (Frame::PREFIX_BYTES + length) as u64;
        Frame::decode(&self.body)
    }

    /// Fills `bytes`. The end of the stream is [`Kind::Closed`].
    async fn read_exact(&mut self, bytes: &mut [u8]) -> Result<()> {
        match self.stream.read_exact(bytes).await {
            Ok(_) => Ok(()),
            Err(error) if error.kind() == std::io::ErrorKind::UnexpectedEof => {
                Err(Error::new(Kind::Closed))
            }
            Err(error) => Err(error.into()),
        }
    }
}

impl<S: AsyncWrite> Writer<S> {
    /// Sends one message.
    ///
    /// # Errors
    ///
    /// As [`Link::send`].
    pub async fn send<T: Serialize + Sync>(&mut self, message: &T) -> Result<()> {
        let frame = Frame::encode(message)?;
        self.stream.write_all(&frame).await?;
        self.stream.flush().await?;
        Ok(())
    }
}
