//! The lease of a node and its knowledge of how recent its state is.

use std::{
    collections::{BTreeSet, VecDeque},
    time::Duration,
};

use wisteriaglade_types::Index;

/// Renewal rounds that are remembered. At 150 ms a round this is 9 s, longer
/// than any answer that still matters.
const ROUNDS: usize = 64;

/// The time within which a committed entry arrives over a subscription that
/// works.
const LATE: Duration = Duration::from_millis(60);

/// One lease for all shards of a node, renewed with a majority of replicas.
///
/// All times are on the node's own clock and count from the send time of a
/// renewal, so that delays on the way can only shorten the lease.
#[derive(Debug)]
pub(crate) struct Lease {
    quorum: usize,
    length: Duration,
    staleness: Duration,
    sequence: u64,
    rounds: VecDeque<Round>,
    until: Option<Duration>,
    required: VecDeque<(Duration, Index)>,
    current: Option<Duration>,
    /// The oldest commit index that is named by a replica and not applied
    /// here, since when, and by which replica.
    missing: Option<Missing>,
}

#[derive(Debug, Clone, Copy)]
struct Missing {
    index: Index,
    since: Duration,
    replica: u64,
}

#[derive(Debug)]
struct Round {
    sequence: u64,
    sent: Duration,
    replicas: BTreeSet<u64>,
    commit: Index,
    counted: bool,
}

impl Lease {
    /// A lease that is not held yet, among `replicas` control replicas.
    pub(crate) fn new(replicas: usize, length: Duration, staleness: Duration) -> Self {
        Self {
            quorum: replicas / 2 + 1,
            length,
            staleness,
            sequence: 0,
            rounds: VecDeque::new(),
            until: None,
            required: VecDeque::new(),
            current: None,
            missing: None,
        }
    }

    /// Starts a renewal round and returns its sequence number.
    pub(crate) fn renew(&mut self, now: Duration) -> u64 {
        self.sequence += 1;
        if self.rounds.len() == ROUNDS {
            self.rounds.pop_front();
        }
        self.rounds.push_back(Round {
            sequence: self.sequence,
            sent: now,
            replicas: BTreeSet::new(),
            commit: Index::default(),
            counted: false,
        });
        self.sequence
    }

    /// Notes which commit index a replica named, to see whether the
    /// subscription has fallen behind.
    pub(crate) fn heard(&mut self, now: Duration, replica: u64, commit: Index, applied: Index) {
        if self.missing.is_some_and(|missing| missing.index <= applied) {
            self.missing = None;
        }
        if commit > applied && self.missing.is_none() {
            self.missing = Some(Missing {
                index: commit,
                since: now,
                replica,
            });
        }
    }

    /// The replica that named an index which has not arrived here for a while.
    pub(crate) fn ahead(&self, now: Duration, applied: Index) -> Option<u64> {
        self.missing
            .filter(|missing| missing.index > applied && now >= missing.since + LATE)
            .map(|missing| missing.replica)
    }

    /// Takes an acknowledgement of a replica that names its commit index.
    pub(crate) fn acknowledge(&mut self, replica: u64, sequence: u64, commit: Index) {
        let quorum = self.quorum;
        let Some(round) = self.rounds.iter_mut().find(|r| r.sequence == sequence) else {
            return;
        };
        if round.counted {
            return;
        }
        round.replicas.insert(replica);
        round.commit = round.commit.max(commit);
        if round.replicas.len() < quorum {
            return;
        }
        round.counted = true;
        let (sent, commit) = (round.sent, round.commit);
        let until = sent + self.length;
        self.until = Some(self.until.map_or(until, |old| old.max(until)));
        // Rounds may complete out of order; a later one already says more.
        if self.required.back().is_none_or(|&(last, _)| last < sent) {
            self.required.push_back((sent, commit));
        }
    }

    /// Notes how far the control log has been applied here.
    pub(crate) fn applied(&mut self, index: Index) {
        while let Some(&(sent, required)) = self.required.front() {
            if required > index {
                break;
            }
            self.current = Some(sent);
            self.required.pop_front();
        }
    }

    /// Gives up the lease, for a node that has been fenced.
    pub(crate) fn clear(&mut self) {
        self.rounds.clear();
        self.required.clear();
        self.until = None;
        self.current = None;
    }

    /// Whether the lease is held at `now`.
    pub(crate) fn held(&self, now: Duration) -> bool {
        self.until.is_some_and(|until| now < until)
    }

    /// Whether the state here is recent enough to serve by.
    pub(crate) fn current(&self, now: Duration) -> bool {
        self.current
            .is_some_and(|current| now < current + self.staleness)
    }
}

#[cfg(test)]
mod tests;
