//! The outcomes of requests that have ended, for repeated offers.

use std::{
    collections::{BTreeSet, HashMap},
    time::Duration,
};

use super::admission::OfferId;
use crate::frame::Outcome;

#[cfg(test)]
mod tests;

/// How long the outcome of a request is kept after the request has ended and after
/// its deadline. A sender that lost its connection may offer a request again until
/// the deadline, and its clock counts from another moment.
const RETENTION: Duration = Duration::from_secs(20);

/// The outcomes of requests that a sender may still offer again.
#[derive(Debug, Default)]
pub(super) struct Outcomes {
    /// The outcome of each request; `None` if it was cancelled or its answer was
    /// not kept.
    known: HashMap<OfferId, Option<Outcome>>,
    /// The requests in `known` by the time until which they are kept.
    expiries: BTreeSet<(Duration, OfferId)>,
}

impl Outcomes {
    /// Stores how a request with this deadline has ended at `now`, and drops the
    /// outcomes that need not be kept any longer.
    pub(super) fn insert(
        &mut self,
        now: Duration,
        offer_id: OfferId,
        deadline: Duration,
        outcome: Option<Outcome>,
    ) {
        while let Some((until, expired)) = self.expiries.first().copied()
            && until < now
        {
            self.expiries.pop_first();
            self.known.remove(&expired);
        }
        self.known.insert(offer_id, outcome);
        self.expiries
            .insert((now.max(deadline) + RETENTION, offer_id));
    }

    /// Returns the outcome of a request that has ended.
    pub(super) fn get(&self, offer_id: &OfferId) -> Option<&Option<Outcome>> {
        self.known.get(offer_id)
    }
}
