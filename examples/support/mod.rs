//! An HTTP client, a sample target and an in-process cluster on loopback, shared
//! by the examples and the integration tests.

#![allow(dead_code, reason = "each example uses a part of it")]

pub mod addresses;
pub mod client;
pub mod cluster;
pub mod target;
