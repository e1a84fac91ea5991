//! What a target says of itself in its answers.

use serde::{Deserialize, Serialize};

/// What a target says of itself in its answers.
///
/// The default is that of a target that says nothing.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Notice {
    /// The requests per second that the target takes from all hosts together;
    /// `None` if it names no limit.
    pub rate_limit: Option<f64>,
    /// Whether the target finishes its work and then ends.
    pub leaving: bool,
}
