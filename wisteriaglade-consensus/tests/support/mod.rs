//! Support code that the test files share.

#![allow(dead_code, reason = "each test file uses a part")]

pub mod disk;
pub mod history;
pub mod network;
pub mod node;
pub mod replica;
