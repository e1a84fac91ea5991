//! What the host's own target says of itself in the headers of its responses.

use std::{collections::HashSet, sync::atomic::Ordering, time::Duration};

use http::HeaderMap;
use tracing::{info, warn};
use wisteriaglade_mesh::{Entry, Notice};
use wisteriaglade_types::Name;

use super::{Host, admission::DRAIN_ACCEPT_RATIO};
use crate::{Dialect, lock, read};

/// The interval of log lines while the target names a limit.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// One in this many malformed limits is logged.
const MALFORMED_LOG_INTERVAL: u64 = 64;

/// What the last log line about the target's limit said.
#[derive(Debug, Default)]
pub(super) struct LimitLog {
    at: Duration,
    /// The requests that had been sent to the target by then.
    sent: u64,
    /// Those of them that it had refused.
    refused: u64,
    /// Whether the target named a limit.
    limited: bool,
}

impl Host {
    /// Takes what the target says of itself in the headers of a response. A limit
    /// that cannot be decoded leaves the known one in force.
    pub(super) fn hear_target<D: Dialect>(&self, headers: &HeaderMap) {
        let rate_limit = match D::decode_rate_limit(headers) {
            Ok(rate_limit) => rate_limit,
            Err(error) => {
                let earlier = self.metrics.malformed_limits.inc();
                if earlier.is_multiple_of(MALFORMED_LOG_INTERVAL) {
                    warn!(event = "limit-malformed", reason = %error, earlier);
                }
                let known = lock(&self.tracker).notice();
                known.and_then(|notice| notice.rate_limit)
            }
        };
        let leaving = D::is_leaving(headers);
        let notice = Notice {
            rate_limit,
            leaving,
        };
        if lock(&self.tracker).apply_notice(self.clock.now(), notice) {
            self.report_now.notify_one();
        }
        self.update_notice();
    }

    /// Takes what the sender of an offer knows of the target.
    pub(super) fn learn_notice(&self, notice: Notice) {
        if notice == Notice::default() {
            return;
        }
        if lock(&self.tracker).learn_notice(self.clock.now(), notice) {
            self.report_now.notify_one();
        }
        self.update_notice();
    }

    /// Whether a target may be sent requests: it has not said that it is leaving, or
    /// only a moment ago, which leaves time for its keys to move.
    pub(super) fn may_offer(&self, now: Duration, entry: &Entry) -> bool {
        let leaving_for = lock(&self.notices).leaving_for(now, &entry.owner);
        leaving_for.is_none_or(|time| time <= self.leaving_limit())
    }

    /// Removes targets that are leaving, apart from those that said so only a moment
    /// ago if no other one is left.
    pub(super) fn remove_leaving(&self, now: Duration, entries: &mut Vec<&Entry>) {
        let notices = lock(&self.notices);
        if !notices.any_leaving() {
            return;
        }
        let leaving_for = |entry: &&Entry| notices.leaving_for(now, &entry.owner);
        if entries.iter().any(|entry| leaving_for(entry).is_none()) {
            entries.retain(|entry| leaving_for(entry).is_none());
            return;
        }
        let limit = self.leaving_limit();
        entries.retain(|entry| leaving_for(entry).is_none_or(|time| time <= limit));
    }

    /// How long a target may be sent requests after it has said that it is leaving.
    fn leaving_limit(&self) -> Duration {
        self.settings.drain.mul_f64(DRAIN_ACCEPT_RATIO)
    }

    /// Whether the keys of a target that is leaving can get another holder soon: a
    /// control leader is known, and the pool has a target that stays.
    pub(super) fn has_successor(&self, pool: &Name) -> bool {
        let view = read(&self.view);
        let notices = lock(&self.notices);
        let mut targets = view.targets(pool).iter();
        self.has_leader.load(Ordering::Relaxed)
            && targets.any(|entry| entry.ready && !notices.of(&entry.owner).leaving)
    }

    /// Forgets what targets have said that no longer run.
    pub(super) fn forget_notices(&self, now: Duration) {
        let view = read(&self.view);
        let listed: HashSet<_> = view.all_targets().map(|entry| &entry.owner).collect();
        lock(&self.notices).retain(now, |owner| listed.contains(owner));
    }

    /// Passes what is known of the target to the queue and to the gauges.
    pub(super) fn update_notice(&self) {
        let notice = lock(&self.tracker).notice();
        self.admission.set_notice(self.clock.now(), notice);
        self.metrics.set_notice(notice.unwrap_or_default());
    }

    /// Logs the limit of the target and the requests that it got, once a second
    /// while it names one and once when the limit has ended.
    pub(super) fn log_limit(&self, now: Duration) {
        let notice = lock(&self.tracker).notice();
        let rate_limit = notice.and_then(|notice| notice.rate_limit);
        let mut last = lock(&self.limit_log);
        if now.saturating_sub(last.at) < LOG_INTERVAL {
            return;
        }
        let sent = self.metrics.target_requests.get();
        let refused = self.metrics.target_refusals.get();
        if rate_limit.is_some() || last.limited {
            info!(
                event = "target-limit",
                limit = rate_limit.map_or_else(|| "none".to_owned(), |rate| rate.to_string()),
                after_ms = now.saturating_sub(last.at).as_millis(),
                sent = sent - last.sent,
                refused = refused - last.refused
            );
        }
        *last = LimitLog {
            at: now,
            sent,
            refused,
            limited: rate_limit.is_some(),
        };
    }
}
