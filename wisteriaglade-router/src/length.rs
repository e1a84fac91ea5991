//! What a rule says about the length of the work.

/// The length of the work of a rule.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Length {
    /// The work is short.
    Short,
    /// The work runs many times longer than short work.
    Long,
    /// The router learns the length by route and key.
    Learned,
}
