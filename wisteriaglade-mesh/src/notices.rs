//! What targets have said of themselves in answers that a host passed on.

use std::{collections::HashMap, time::Duration};

use crate::{Notice, Owner};

/// How long a notice is kept of a target that is no longer listed. A target that
/// leaves may run on for many seconds, and the list may come from a leader that does
/// not know it yet.
const RETENTION: Duration = Duration::from_mins(2);

/// The last notice of a target.
#[derive(Debug, Clone, Copy, Default)]
struct Heard {
    notice: Notice,
    /// When it was heard.
    at: Duration,
    /// When the target first said that it is leaving.
    leaving_since: Option<Duration>,
}

/// The notices of the targets that a host has passed answers on from.
///
/// They belong to one run of a target: a later run starts without any. A target that
/// has said that it is leaving stays so until its end.
#[derive(Debug, Default)]
pub struct Notices {
    targets: HashMap<Owner, Heard>,
}

impl Notices {
    /// Records a notice of a target that was heard at `now`.
    pub fn record(&mut self, now: Duration, owner: &Owner, notice: Notice) {
        if notice == Notice::default() && !self.targets.contains_key(owner) {
            return;
        }
        let heard = self.targets.entry(owner.clone()).or_default();
        heard.at = now;
        heard.notice.rate_limit = notice.rate_limit;
        if notice.leaving {
            heard.notice.leaving = true;
            heard.leaving_since.get_or_insert(now);
        }
    }

    /// Returns what a target last said of itself.
    #[must_use]
    pub fn of(&self, owner: &Owner) -> Notice {
        self.targets
            .get(owner)
            .map_or_else(Notice::default, |heard| heard.notice)
    }

    /// Whether any target is known to be leaving.
    #[must_use]
    pub fn any_leaving(&self) -> bool {
        let mut targets = self.targets.values();
        targets.any(|heard| heard.leaving_since.is_some())
    }

    /// Returns how long a target has been known to be leaving; `None` if it has not
    /// said so.
    #[must_use]
    pub fn leaving_for(&self, now: Duration, owner: &Owner) -> Option<Duration> {
        let since = self.targets.get(owner)?.leaving_since?;
        Some(now.saturating_sub(since))
    }

    /// Forgets targets that are not listed and were last heard long ago.
    pub fn retain(&mut self, now: Duration, is_listed: impl Fn(&Owner) -> bool) {
        self.targets
            .retain(|owner, heard| is_listed(owner) || now.saturating_sub(heard.at) < RETENTION);
    }
}
