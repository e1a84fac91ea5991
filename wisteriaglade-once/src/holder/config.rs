use std::time::Duration;

/// The limits of a holder.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Config {
    /// How long a record is kept after its start was written. Default: 24 h.
    pub retention: Duration,
    /// The most memory that records may use, in bytes. Default: 24 MB.
    pub memory: usize,
    /// How long the tombstone of a withdrawn start is kept. It only has to outlive delayed
    /// copies of the start. It is shorter than the retention, so that an overload with
    /// many withdrawn starts does not fill the memory. Default: 60 s.
    pub tombstone: Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            retention: Duration::from_hours(24),
            memory: 24_000_000,
            tombstone: Duration::from_mins(1),
        }
    }
}
