//! Intervals and timeouts.

use std::time::Duration;

use serde::Deserialize;

/// Intervals and timeouts, each written with a unit.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Timing {
    /// The interval between two renewals of the lease. At 150 ms and five
    /// replicas a node uses about 4.3 KB/s for renewals, below the limit of 5
    /// KB/s for control traffic.
    #[serde(with = "humantime_serde")]
    pub renew: Duration,
    /// How long a lease lasts, from the time at which its renewal was sent.
    #[serde(with = "humantime_serde")]
    pub lease: Duration,
    /// The time without a renewal after which the control leader fences a
    /// node.
    #[serde(with = "humantime_serde")]
    pub suspect: Duration,
    /// The largest age of a node's control state. A node whose state is older
    /// refuses requests.
    #[serde(with = "humantime_serde")]
    pub staleness: Duration,
    /// The longest time without contact to a control leader in which a control
    /// replica acknowledges renewals.
    #[serde(with = "humantime_serde")]
    pub contact: Duration,
    /// The timeout for opening a connection to another process.
    #[serde(with = "humantime_serde")]
    pub connect: Duration,
    /// The timeout for the first acknowledgement of a forwarded request.
    #[serde(with = "humantime_serde")]
    pub accept: Duration,
    /// The time without a message after which a connection is considered dead.
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
    /// Checks the values against each other. The error holds the name of the
    /// field and what is allowed.
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
        // The loss of one renewal must neither end a lease nor fence a node.
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
