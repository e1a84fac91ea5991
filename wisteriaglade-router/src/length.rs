//! The length of the work, as stated by a rule.

/// The length of the work that a rule states for its requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Length {
    /// All requests are short work.
    Short,
    /// All requests are long work, which takes many times as long as short
    /// work.
    Long,
    /// The router learns the length from the service times of the route and
    /// key.
    Learned,
}
