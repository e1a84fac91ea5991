//! Detection of a standing queue.

use std::time::Duration;

/// A queue counts as standing when its oldest request has used this fraction
/// of its time, for [`INTERVAL`].
const FRACTION: u32 = 4;

/// A burst that drains within this time is no standing queue; the value is
/// the interval of `CoDel` (Nichols and Jacobson, 2012).
const INTERVAL: Duration = Duration::from_millis(100);

/// Whether the queue has been standing. While it is, serving the oldest
/// request first would bring each answer close to its deadline, and any
/// misjudged service time would make all of them late.
#[derive(Debug, Default)]
pub(crate) struct Standing {
    since: Option<Duration>,
}

impl Standing {
    /// Looks at the oldest waiting request: its arrival and the last useful
    /// moment of its dispatch.
    pub(crate) fn update(&mut self, now: Duration, oldest: Option<(Duration, Duration)>) {
        let old = oldest.is_some_and(|(arrived, latest)| {
            now.saturating_sub(arrived) * FRACTION > latest.saturating_sub(arrived)
        });
        self.since = if old { self.since.or(Some(now)) } else { None };
    }

    pub(crate) fn get(&self, now: Duration) -> bool {
        self.since.is_some_and(|at| now >= at + INTERVAL)
    }
}
