//! A router for servers that each hold sole ownership of their keys.
//!
//! This package holds the two binaries, `wisteriaglade` and `wisteriactl`, and
//! re-exports the libraries that implement them. Each library can also be used
//! without the others that are built on it.
//!
//! # Usage
//!
//! Programs start with `node` for a stand-alone router, or with `fleet` and
//! `platform` for a process of a fleet.
//!
//! # Examples
//!
//! Validating the settings of a fleet's process:
//!
//! ```
//! use wisteriaglade::platform::settings;
//!
//! let error = settings::read("node=sidecar-a-1").unwrap_err();
//! assert_eq!(error.to_string(), "listen.control is missing");
//! ```

pub use {
    wisteriaglade_consensus as consensus, wisteriaglade_control as control,
    wisteriaglade_ctl as ctl, wisteriaglade_fleet as fleet, wisteriaglade_mesh as mesh,
    wisteriaglade_node as node, wisteriaglade_once as once, wisteriaglade_platform as platform,
    wisteriaglade_router as router, wisteriaglade_rules as rules, wisteriaglade_types as types,
    wisteriaglade_wire as wire,
};
