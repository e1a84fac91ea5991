//! A small target and a cluster on loopback, shared by the examples.

#![allow(dead_code, reason = "each example uses a part of it")]

pub mod client;
pub mod cluster;
pub mod target;
