//! Identifiers and outcomes shared by the packages of the router.
//!
//! This crate does no I/O and uses neither a clock nor randomness. Every
//! identifier is a newtype, so that the compiler rejects a [`Node`] where a
//! [`Shard`] is expected. All types can be serialized with serde.
//!
//! # Usage
//!
//! - [`Node`], [`Epoch`], [`Shard`], [`Index`], [`Term`] and [`Version`] wrap
//!   the numbers of the control plane.
//! - [`Hash`](struct@Hash) maps the key of a request to a shard.
//! - [`Name`] is a string that is cheap to clone.
//! - [`Request`] identifies a request, and [`Outcome`] tells whether it ran.
//!
//! # Examples
//!
//! Finding the shard of a key:
//!
//! ```
//! use wisteriaglade_types::{Hash, Shard};
//!
//! let hash = Hash::of("design-17");
//! assert_eq!(hash.shard(256), Hash::of("design-17").shard(256));
//! assert!(hash.shard(256) < Shard::new(256));
//! ```

mod hash;
mod id;
mod name;
mod outcome;
mod request;

pub use crate::{
    hash::Hash,
    id::{Epoch, Index, Node, Shard, Term, Version},
    name::Name,
    outcome::Outcome,
    request::Request,
};
