//! The owner's side: decides which requests may run.

mod config;
mod effect;
mod event;
mod reason;

pub use self::{config::Config, effect::Effect, event::Event, reason::Reason};
