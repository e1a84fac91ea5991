//! A router for servers that each hold sole ownership of their keys.
//!
//! This package is thin: it holds the two binaries and re-exports the layered
//! packages that do the work, each of which can be used alone.

pub use {
    wisteriaglade_consensus as consensus, wisteriaglade_control as control,
    wisteriaglade_ctl as ctl, wisteriaglade_fleet as fleet, wisteriaglade_mesh as mesh,
    wisteriaglade_node as node, wisteriaglade_once as once, wisteriaglade_platform as platform,
    wisteriaglade_router as router, wisteriaglade_rules as rules, wisteriaglade_types as types,
    wisteriaglade_wire as wire,
};
