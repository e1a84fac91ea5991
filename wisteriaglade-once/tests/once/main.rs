//! Tests of the package through its public interface.

mod control;
mod holder;
mod make;
mod network;
mod oracle;
mod steps;
mod world;
