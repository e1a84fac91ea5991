//! Identifiers and outcomes shared by the packages of the router.
//!
//! The package has no I/O, clock or randomness. Every identifier is a newtype,
//! so that a node cannot be passed where a shard is expected.
//!
//! # Usage
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
