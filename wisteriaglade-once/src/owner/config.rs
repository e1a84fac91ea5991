use std::time::Duration;

/// The timeouts and retention times of an owner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Config {
    /// How long the owner keeps its copy of a record. It must not be shorter than the
    /// retention of the holders, so that they remove a record first and no new start meets
    /// an old record at a holder. Default: 24 h and 10 min.
    pub retention: Duration,
    /// How long the tombstone of a withdrawn start is kept. Default: 60 s.
    pub tombstone: Duration,
    /// The time without a reply after which a message to a holder is repeated. Default:
    /// 200 ms.
    pub call_timeout: Duration,
    /// The longest time that a refusal is delayed until a majority has the withdrawal of
    /// the start. Default: 250 ms.
    pub abort_timeout: Duration,
    /// The longest time until a majority has the outcome of a request. After it the caller
    /// gets [`Effect::Unknown`](super::Effect::Unknown). Default: 1 s.
    pub completion_timeout: Duration,
    /// The time after which a proposed change of holders is repeated if it hasn't taken
    /// effect, and after which a record is sent again to a holder that had no room for it.
    /// Default: 1 s.
    pub propose_interval: Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            retention: Duration::from_hours(24) + Duration::from_mins(10),
            tombstone: Duration::from_mins(1),
            call_timeout: Duration::from_millis(200),
            abort_timeout: Duration::from_millis(250),
            completion_timeout: Duration::from_secs(1),
            propose_interval: Duration::from_secs(1),
        }
    }
}
