use std::time::Duration;

/// The times that the owner's side works with.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Config {
    /// How long an outcome is kept. It must not be below the retention of the
    /// holders: the default is 24 h and 10 min, so that the holders are first to
    /// forget a record and no start meets a leftover of it.
    pub retention: Duration,
    /// How long the withdrawal of a start is kept. Default: 60 s.
    pub tombstone: Duration,
    /// After this time without a reply a call is repeated. Default: 200 ms.
    pub resend: Duration,
    /// How long a refusal waits for the withdrawal of its start to be held by a
    /// majority. Default: 250 ms.
    pub grace: Duration,
    /// How long an outcome may take to be held by a majority before the caller is
    /// told that it is unknown. Default: 1 s.
    pub record: Duration,
    /// After this time without a change of holders, a proposal is repeated.
    /// Default: 1 s.
    pub propose: Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            retention: Duration::from_hours(24) + Duration::from_mins(10),
            tombstone: Duration::from_mins(1),
            resend: Duration::from_millis(200),
            grace: Duration::from_millis(250),
            record: Duration::from_secs(1),
            propose: Duration::from_secs(1),
        }
    }
}
