//! What targets say of themselves in the headers of their responses: how many
//! requests they take, and that they are leaving.
//!
//! The owner's node keeps to it, as it is the only way to its target. A node that
//! passes responses on remembers the limits, and sends them along with the requests
//! that it forwards. A process that has replaced the one beside a target learns the
//! limit from there.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Mutex, MutexGuard},
    time::Duration,
};

use http::{HeaderMap, HeaderValue};
use tracing::{info, warn};
use wisteriaglade_router::Event;

use crate::{context::Context, header as names, lock};

/// How long the limit of another node's target is remembered after its last
/// response. Another target may have started at its address by then.
const RETENTION: Duration = Duration::from_secs(15);

/// One in this many malformed limits is logged.
const MALFORMED_LOG_INTERVAL: u64 = 64;

/// The limits of targets.
#[derive(Debug, Default)]
pub(crate) struct Notices {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    /// The limits that targets have named in responses which this node passed on, in
    /// requests per second, and when.
    limits: HashMap<SocketAddr, (f64, Duration)>,
    /// What this node knows of its own target.
    own: Own,
}

/// What a node knows of the limit of its own target.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
enum Own {
    /// The target has not responded since it was announced.
    #[default]
    Unheard,
    /// The same, and another node has passed on this limit.
    Told(f64),
    /// The limit of the last response, if it named one.
    Heard(Option<f64>),
}

impl Notices {
    fn inner(&self) -> MutexGuard<'_, Inner> {
        lock(&self.inner)
    }

    /// Forgets the limit of the own target, since another one was announced.
    pub(crate) fn forget_own(&self) {
        self.inner().own = Own::Unheard;
    }
}

impl Context {
    /// Takes what the own target says in the headers of a response. A malformed limit
    /// changes nothing.
    pub(crate) fn hear_target(&self, headers: &HeaderMap) {
        match decode_limit(headers) {
            Ok(limit) => self.hear_limit(limit),
            Err(value) => {
                let earlier = self.metrics.malformed_limits.inc();
                if earlier.is_multiple_of(MALFORMED_LOG_INTERVAL) {
                    warn!(event = "limit-malformed", value, earlier);
                }
            }
        }
        let is_leaving = headers
            .get(names::LEAVING)
            .is_some_and(|value| value.as_bytes().trim_ascii() == b"1");
        if is_leaving && !self.is_target_draining() {
            info!(event = "target-leaving", source = "response");
            self.drain_target();
        }
    }

    fn hear_limit(&self, limit: Option<f64>) {
        let mut inner = self.notices.inner();
        let heard = Own::Heard(limit);
        let known = std::mem::replace(&mut inner.own, heard);
        drop(inner);
        if known == heard || (known == Own::Unheard && limit.is_none()) {
            return;
        }
        if known.limit().is_some() != limit.is_some() {
            info!(event = "target-limit", limit, source = "response");
        }
        self.admission.event(Event::RateLimit(limit));
    }

    /// Takes the limit of the own target that another node has sent along with a
    /// request, and removes it from the headers. Has no effect once the target has
    /// responded.
    pub(crate) fn learn_limit(&self, headers: &mut HeaderMap) {
        let limit = decode_limit(headers).ok().flatten();
        headers.remove(names::LIMIT);
        let Some(limit) = limit else {
            return;
        };
        let mut inner = self.notices.inner();
        let is_new = match inner.own {
            Own::Unheard => true,
            Own::Told(known) => limit < known,
            Own::Heard(_) => false,
        };
        if is_new {
            inner.own = Own::Told(limit);
            drop(inner);
            info!(event = "target-limit", limit, source = "other-node");
            self.admission.event(Event::RateLimit(Some(limit)));
        }
    }

    /// Remembers the limit that a target names in a response which this node passes
    /// on.
    pub(crate) fn record_limit(&self, target: SocketAddr, headers: &HeaderMap) {
        // A recorded response says nothing of the present.
        if headers.contains_key(names::REPLAYED) {
            return;
        }
        let now = self.clock.now();
        let mut inner = self.notices.inner();
        match decode_limit(headers) {
            Ok(Some(limit)) => {
                inner
                    .limits
                    .retain(|_, (_, at)| now.saturating_sub(*at) < RETENTION);
                inner.limits.insert(target, (limit, now));
            }
            Ok(None) => {
                inner.limits.remove(&target);
            }
            Err(_) => {}
        }
    }

    /// Adds the limit of a target to the headers of a request for it, if this node has
    /// passed it on lately.
    pub(crate) fn add_limit(&self, target: SocketAddr, headers: &mut HeaderMap) {
        let now = self.clock.now();
        let known = self.notices.inner().limits.get(&target).copied();
        let limit = known.filter(|(_, at)| now.saturating_sub(*at) < RETENTION);
        if let Some((limit, _)) = limit
            && let Ok(value) = HeaderValue::from_str(&limit.to_string())
        {
            headers.insert(names::LIMIT, value);
        }
    }
}

impl Own {
    fn limit(self) -> Option<f64> {
        match self {
            Self::Unheard => None,
            Self::Told(limit) => Some(limit),
            Self::Heard(limit) => limit,
        }
    }
}

/// Decodes the limit of a target, in requests per second. Returns the value if it is
/// not a decimal number of at least 0.
fn decode_limit(headers: &HeaderMap) -> Result<Option<f64>, String> {
    let Some(value) = headers.get(names::LIMIT) else {
        return Ok(None);
    };
    let text = value.to_str().unwrap_or_default();
    let limit = text.trim().parse::<f64>().ok();
    limit
        .filter(|limit| limit.is_finite() && *limit >= 0.0)
        .map(Some)
        .ok_or_else(|| text.to_owned())
}

#[cfg(test)]
mod tests;
