//! Replicated records that keep a request from running twice.

pub mod holder;
pub mod owner;

mod answer;
mod cover;
mod fingerprint;
mod key;
mod record;
mod state;

pub use crate::{
    answer::Answer, cover::Cover, fingerprint::Fingerprint, key::Key, record::Record, state::State,
};
