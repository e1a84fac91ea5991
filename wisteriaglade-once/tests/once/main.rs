//! Integration tests of the record protocol through the public interface.

mod control;
mod holder;
mod make;
mod network;
mod oracle;
mod steps;
mod world;
