//! Intervals and bounds of time.

use std::time::Duration;

use serde::Deserialize;

/// Intervals and bounds of time, each written with a unit.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Timing {
    /// Between two renewals of the lease. At 150 ms and five replicas a node
    /// spends about 4.3 KB/s on renewals, below the 5 KB/s for control.
    #[serde(with = "humantime_serde")]
    pub renew: Duration,
    /// How long a lease lasts from the send time of its renewal.
    #[serde(with = "humantime_serde")]
    pub lease: Duration,
    /// Silence after which the control leader fences a node.
    #[serde(with = "humantime_serde")]
    pub suspect: Duration,
    /// How far the state of a node may lag before it refuses to serve.
    #[serde(with = "humantime_serde")]
    pub staleness: Duration,
    /// How long a control replica acknowledges renewals without having heard
    /// from a control leader.
    #[serde(with = "humantime_serde")]
    pub contact: Duration,
    /// The wait for a new connection to another process.
    #[serde(with = "humantime_serde")]
    pub connect: Duration,
    /// The wait for the first acknowledgement of a forwarded request.
    #[serde(with = "humantime_serde")]
    pub accept: Duration,
    /// Silence after which a connection counts as dead.
    #[serde(with = "humantime_serde")]
    pub silence: Duration,
    /// The longest time that a graceful shutdown waits for requests in flight.
    #[serde(with = "humantime_serde")]
    pub shutdown: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            renew: Duration::from_millis(150),
            lease: Duration::from_millis(400),
            suspect: Duration::from_millis(350),
            staleness: Duration::from_secs(2),
            contact: Duration::from_secs(3),
            connect: Duration::from_millis(250),
            accept: Duration::from_millis(250),
            silence: Duration::from_secs(1),
            shutdown: Duration::from_mins(1),
        }
    }
}

impl Timing {
    /// Checks the values against each other. The error names the field.
    pub(crate) fn check(&self) -> Result<(), (&'static str, String)> {
        let least = Duration::from_millis(10);
        let fields = [
            ("renew", self.renew),
            ("lease", self.lease),
            ("suspect", self.suspect),
            ("staleness", self.staleness),
            ("contact", self.contact),
            ("connect", self.connect),
            ("accept", self.accept),
            ("silence", self.silence),
            ("shutdown", self.shutdown),
        ];
        for (field, value) in fields {
            if value < least {
                return Err((field, "expected at least 10ms".to_owned()));
            }
        }
        // One lost renewal must not end a lease or fence a node.
        if self.lease <= self.renew * 2 {
            return Err((
                "lease",
                format!(
                    "expected more than twice timing.renew, which is {}",
                    humantime::format_duration(self.renew)
                ),
            ));
        }
        if self.suspect <= self.renew * 2 {
            return Err((
                "suspect",
                format!(
                    "expected more than twice timing.renew, which is {}",
                    humantime::format_duration(self.renew)
                ),
            ));
        }
        if self.staleness <= self.renew * 2 {
            return Err((
                "staleness",
                "expected more than twice timing.renew".to_owned(),
            ));
        }
        Ok(())
    }
}
