//! Authenticated connections and datagrams between the processes of the router.
//!
//! Messages are any serde types, encoded with postcard; this package does not depend
//! on their content. It has three parts.
//!
//! - [`Frame`] encodes one message with a length prefix and decodes it within a
//!   length limit.
//! - [`Link`] is an authenticated connection that sends and receives frames.
//!   [`Link::connect`] and [`Link::accept`] exchange nonces, and both sides prove
//!   that they hold the cluster key before the first frame.
//! - [`Datagram`] encodes one message for UDP with a version and an authentication
//!   tag.
//!
//! For any protocol over TCP it has [`Listener`], which can be closed without losing
//! a connection, and [`Lingering`], a stream that is closed without a reset.
//!
//! It also has [`Clock`], a monotonic clock that includes suspensions of the host,
//! and [`lock()`], [`read`] and [`write`](fn@write), which ignore lock poisoning.
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
//! The body of a frame has at most [`Frame::MAX_BODY_BYTES`] bytes. A peer that announces a
//! longer frame, sends bytes that do not decode, or uses another protocol version
//! causes an [`Error`] on its own connection only.

mod clock;
mod datagram;
mod error;
mod frame;
mod key;
mod lingering;
mod link;
mod listener;
mod lock;

pub use crate::{
    clock::Clock,
    datagram::Datagram,
    error::{Error, Kind, Result},
    frame::Frame,
    key::Key,
    lingering::Lingering,
    link::{Link, Reader, Writer},
    listener::Listener,
    lock::{lock, read, write},
};

/// The version of the protocol between processes.
///
/// A peer with another version is refused during the handshake, and its datagrams
/// are refused too.
pub const VERSION: u8 = 1;
