//! Integration tests of the record protocol through the public interface.

mod control;
mod fixtures;
mod holder;
mod network;
mod oracle;
mod simulation;
mod takeover;
