//! Proposals about nodes and keys that are in flight.

use std::{collections::BTreeMap, time::Duration};

use wisteriaglade_types::{Hash, Name, Node};

/// What a proposal is about.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Subject {
    Fence(Node),
    Remove(Node),
    Single(Name, Hash),
    Merge(Name, Hash),
}

/// The proposals in flight with the times at which they were made.
#[derive(Debug, Default)]
pub(crate) struct Sent {
    at: BTreeMap<Subject, Duration>,
}

impl Sent {
    /// Forgets proposals that may be repeated.
    pub(crate) fn expire(&mut self, now: Duration, resend: Duration) {
        self.at.retain(|_, at| now.saturating_sub(*at) < resend);
    }

    /// Notes a proposal. Returns whether it is not in flight yet.
    pub(crate) fn note(&mut self, now: Duration, subject: Subject) -> bool {
        let vacant = !self.at.contains_key(&subject);
        if vacant {
            self.at.insert(subject, now);
        }
        vacant
    }
}
