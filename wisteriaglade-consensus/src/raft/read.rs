//! Readers of a replica.

use std::time::Duration;

use wisteriaglade_types::{Index, Term};

use crate::{Entry, Raft, Replica, Role, Snapshot};

impl Raft {
    /// The role in the current term.
    #[must_use]
    pub fn role(&self) -> Role {
        self.role
    }

    /// The current term.
    #[must_use]
    pub fn term(&self) -> Term {
        self.vote.term
    }

    /// The leader of the current term, when it is known.
    #[must_use]
    pub fn leader(&self) -> Option<Replica> {
        self.leader
    }

    /// The last entry that is known to be committed.
    #[must_use]
    pub fn commit(&self) -> Index {
        self.commit
    }

    /// The last entry of the log, committed or not.
    #[must_use]
    pub fn last(&self) -> Index {
        self.log.last()
    }

    /// The group as of the last entry, committed or not, in ascending order.
    #[must_use]
    pub fn members(&self) -> &[Replica] {
        self.log.members()
    }

    /// How long ago this replica was last in contact with a leader.
    ///
    /// Zero for a leader that a majority acknowledged within an election
    /// timeout. The time spans elections: a replica that lost its leader
    /// reports a growing time until it hears from the next one. `None` when it
    /// has not heard from any leader since its start, or its storage failed.
    #[must_use]
    pub fn contact(&self, now: Duration) -> Option<Duration> {
        if self.failed {
            return None;
        }
        if self.role != Role::Leader {
            return self.heard.map(|at| now.saturating_sub(at));
        }
        let age = now.saturating_sub(self.quorum_heard(now));
        if age < self.config.election.start {
            return Some(Duration::ZERO);
        }
        Some(age)
    }

    /// Committed entries from an index on, at most `limit`.
    ///
    /// Empty when the index is beyond the commit index, `None` when the
    /// entries are no longer in memory and the reader needs the snapshot.
    #[must_use]
    pub fn entries(&self, from: Index, limit: usize) -> Option<&[Entry]> {
        if from > self.commit {
            return Some(&[]);
        }
        let end = from.get().saturating_add(limit as u64).saturating_sub(1);
        self.log.slice(from, self.commit.min(Index::new(end)))
    }

    /// The newest snapshot.
    #[must_use]
    pub fn snapshot(&self) -> Option<&Snapshot> {
        self.snapshot.as_ref()
    }

    /// Whether the storage has failed, after which the replica is passive.
    #[must_use]
    pub fn is_failed(&self) -> bool {
        self.failed
    }
}
