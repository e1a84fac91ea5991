//! Which scheduling a router uses.

/// The scheduling of a router.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Policy {
    /// Fair queueing, an adaptive limit, a separate limit for long work and
    /// early refusals.
    #[default]
    Adaptive,
    /// First in first out with a fixed limit equal to the announced slots and
    /// no refusal except a full queue or a passed deadline. It does not watch
    /// the target and keeps no connections warm. It exists to compare
    /// measurements against.
    Baseline,
}
