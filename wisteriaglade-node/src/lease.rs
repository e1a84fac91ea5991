//! The lease of a node, and how recent its copy of the control state is.
//!
//! The process records its renewals and the acknowledgements of the control
//! replicas here, and checks the lease before it dispatches work.

use std::{
    collections::{BTreeSet, VecDeque},
    time::Duration,
};

use wisteriaglade_types::Index;

/// The number of renewal rounds that are kept. At 150 ms a round they cover
/// more than 9 s, and an acknowledgement that arrives later has no effect on a
/// lease.
const MAX_ROUNDS: usize = 64;

/// The time after which a committed entry should have arrived over a working
/// subscription.
const ARRIVAL_TIMEOUT: Duration = Duration::from_millis(60);

/// One lease for all shards of a node, which a majority of the control
/// replicas has to renew.
///
/// All times are on the node's own clock and count from the time at which a
/// renewal was sent, so that network delays can only shorten the lease.
#[derive(Debug)]
pub(crate) struct Lease {
    quorum: usize,
    length: Duration,
    staleness: Duration,
    sequence: u64,
    rounds: VecDeque<Round>,
    /// When the lease ends, or `None` before a majority has acknowledged a
    /// renewal.
    expires_at: Option<Duration>,
    /// For each counted round, its send time and the commit index that must be
    /// applied before the state is as recent as that.
    required_commits: VecDeque<(Duration, Index)>,
    /// The send time of the latest round whose commit index is applied.
    current: Option<Duration>,
    /// The oldest commit index that a replica reported and that is not applied
    /// here.
    missing: Option<Missing>,
}

/// A commit index that has not arrived yet, with the time and the replica that
/// reported it first.
#[derive(Debug, Clone, Copy)]
struct Missing {
    index: Index,
    since: Duration,
    replica: u64,
}

/// A renewal that was sent to all replicas, and the replicas that have
/// acknowledged it.
#[derive(Debug)]
struct Round {
    sequence: u64,
    sent: Duration,
    replicas: BTreeSet<u64>,
    /// The highest commit index among the acknowledgements.
    commit: Index,
    /// Whether a majority has acknowledged it.
    has_majority: bool,
}

impl Lease {
    /// Creates a lease that is not held yet, to be renewed by a majority of
    /// `replicas`.
    pub(crate) fn new(replicas: usize, length: Duration, staleness: Duration) -> Self {
        Self {
            quorum: replicas / 2 + 1,
            length,
            staleness,
            sequence: 0,
            rounds: VecDeque::new(),
            expires_at: None,
            required_commits: VecDeque::new(),
            current: None,
            missing: None,
        }
    }

    /// Starts a renewal round and returns its sequence number.
    pub(crate) fn renew(&mut self, now: Duration) -> u64 {
        self.sequence += 1;
        if self.rounds.len() == MAX_ROUNDS {
            self.rounds.pop_front();
        }
        self.rounds.push_back(Round {
            sequence: self.sequence,
            sent: now,
            replicas: BTreeSet::new(),
            commit: Index::default(),
            has_majority: false,
        });
        self.sequence
    }

    /// Records the commit index that a replica reported with an
    /// acknowledgement, to detect a subscription that has fallen behind.
    pub(crate) fn record_reported_commit(
        &mut self,
        now: Duration,
        replica: u64,
        commit: Index,
        applied: Index,
    ) {
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

    /// Returns a replica that reported a commit index which should have
    /// arrived here by now but has not.
    pub(crate) fn replica_ahead(&self, now: Duration, applied: Index) -> Option<u64> {
        self.missing
            .filter(|missing| missing.index > applied && now >= missing.since + ARRIVAL_TIMEOUT)
            .map(|missing| missing.replica)
    }

    /// Records the acknowledgement of a round by a replica with its commit
    /// index. A majority of the same round renews the lease.
    pub(crate) fn acknowledge(&mut self, replica: u64, sequence: u64, commit: Index) {
        let quorum = self.quorum;
        let Some(round) = self.rounds.iter_mut().find(|r| r.sequence == sequence) else {
            return;
        };
        if round.has_majority {
            return;
        }
        round.replicas.insert(replica);
        round.commit = round.commit.max(commit);
        if round.replicas.len() < quorum {
            return;
        }
        round.has_majority = true;
        let (sent, commit) = (round.sent, round.commit);
        let expires_at = sent + self.length;
        self.expires_at = Some(
            self.expires_at
                .map_or(expires_at, |old| old.max(expires_at)),
        );
        // Rounds can be completed out of order. A later round already requires
        // at least as much.
        if self
            .required_commits
            .back()
            .is_none_or(|&(last, _)| last < sent)
        {
            self.required_commits.push_back((sent, commit));
        }
    }

    /// Records the index up to which the control log is applied here.
    pub(crate) fn applied(&mut self, index: Index) {
        while let Some(&(sent, required)) = self.required_commits.front() {
            if required > index {
                break;
            }
            self.current = Some(sent);
            self.required_commits.pop_front();
        }
    }

    /// Drops the lease of a node that has been fenced, and ignores
    /// acknowledgements of its earlier rounds.
    pub(crate) fn clear(&mut self) {
        self.rounds.clear();
        self.required_commits.clear();
        self.expires_at = None;
        self.current = None;
    }

    /// Whether the lease is held at `now`.
    pub(crate) fn held(&self, now: Duration) -> bool {
        self.expires_at.is_some_and(|expires_at| now < expires_at)
    }

    /// Whether the state was at most the staleness limit old at `now`, so that
    /// requests may be routed by it.
    pub(crate) fn current(&self, now: Duration) -> bool {
        self.current
            .is_some_and(|current| now < current + self.staleness)
    }
}

#[cfg(test)]
mod tests;
