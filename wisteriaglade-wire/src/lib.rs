//! Frames, datagrams and the handshake between the processes of the router.
//!
//! The package knows nothing of the messages that it carries: they are any
//! serde types, encoded with postcard. It has three parts.
//!
//! - [`Frame`] encodes one message with a length prefix and decodes it within a
//!   length limit.
//! - [`Link`] is an authenticated connection that sends and receives frames. It
//!   is made by [`Link::connect`] or [`Link::accept`], which exchange nonces and
//!   prove the shared cluster key in both directions before the first frame.
//! - [`Datagram`] seals one message for UDP with a version and a tag.
//!
//! # Usage
//!
//! ```
//! use wisteriaglade_wire::{Datagram, Key};
//!
//! let key = Key::new("a cluster key of at least sixteen bytes")?;
//! let sealed = Datagram::seal(&key, &("renew", 7_u64))?;
//! let (word, number): (String, u64) = Datagram::open(&key, &sealed)?;
//! assert_eq!((word.as_str(), number), ("renew", 7));
//! # Ok::<(), wisteriaglade_wire::Error>(())
//! ```
//!
//! # Limits
//!
//! A frame carries at most [`Frame::LIMIT`] bytes. A peer that announces a
//! longer one, sends bytes that do not decode, or speaks another protocol
//! version gets an [`Error`] at its own connection; other connections are not
//! affected.

mod clock;
mod datagram;
mod error;
mod frame;
mod key;
mod link;
mod lock;

pub use crate::{
    clock::Clock,
    datagram::Datagram,
    error::{Error, Kind, Result},
    frame::Frame,
    key::Key,
    link::{Link, Reader, Writer},
    lock::{lock, read, write},
};

/// The version of the protocol between processes.
///
/// Peers of another version are refused during the handshake.
pub const VERSION: u8 = 1;
