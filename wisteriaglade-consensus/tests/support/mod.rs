//! Shared by the test files.

pub mod disk;
