//! Proposals in flight about nodes and keys, which are not repeated at every
//! tick.

use std::{collections::BTreeMap, time::Duration};

use wisteriaglade_types::{Hash, Name, Node};

/// The subject of a proposal. Two proposals with the same subject are not in
/// flight at the same time.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Subject {
    Fence(Node),
    Remove(Node),
    Dedicate(Name, Hash),
    Merge(Name, Hash),
}

/// The proposals about nodes and keys in flight, with the times at which they
/// were made.
#[derive(Debug, Default)]
pub(crate) struct InFlight {
    proposed_at: BTreeMap<Subject, Duration>,
}

impl InFlight {
    /// Drops proposals that are due to be repeated.
    pub(crate) fn expire(&mut self, now: Duration, resend_after: Duration) {
        self.proposed_at
            .retain(|_, proposed_at| now.saturating_sub(*proposed_at) < resend_after);
    }

    /// Records a proposal at the time `now`. Returns false when one with the
    /// same subject is already in flight.
    pub(crate) fn insert(&mut self, now: Duration, subject: Subject) -> bool {
        let vacant = !self.proposed_at.contains_key(&subject);
        if vacant {
            self.proposed_at.insert(subject, now);
        }
        vacant
    }
}
