//! The accessors of a replica, which the driver may call between steps.

use std::time::Duration;

use wisteriaglade_types::{Index, Term};

use crate::{Entry, Raft, Replica, Role, Snapshot};

impl Raft {
    /// Returns the role in the current term.
    #[must_use]
    pub fn role(&self) -> Role {
        self.role
    }

    /// Returns the current term.
    #[must_use]
    pub fn term(&self) -> Term {
        self.vote.term
    }

    /// Returns the leader of the current term, or `None` when it is unknown.
    #[must_use]
    pub fn leader(&self) -> Option<Replica> {
        self.leader
    }

    /// Returns the commit index: the last entry known to be committed.
    #[must_use]
    pub fn commit_index(&self) -> Index {
        self.commit_index
    }

    /// Returns the index of the last entry of the log, committed or not.
    #[must_use]
    pub fn last_index(&self) -> Index {
        self.log.last()
    }

    /// Returns the members of the group as of the last entry, committed or not,
    /// in ascending order.
    #[must_use]
    pub fn members(&self) -> &[Replica] {
        self.log.members()
    }

    /// Returns how long ago this replica was last in contact with a leader.
    ///
    /// It is zero for a leader from which a majority was last heard within the
    /// shortest election timeout. The value is not reset by elections: after
    /// the loss of a leader it grows until the next leader makes contact.
    /// `None` means that no leader has made contact since the start, or that
    /// storage has failed.
    #[must_use]
    pub fn since_leader_contact(&self, now: Duration) -> Option<Duration> {
        if self.failed {
            return None;
        }
        if self.role != Role::Leader {
            return self.leader_contact.map(|at| now.saturating_sub(at));
        }
        let age = now.saturating_sub(self.quorum_contact(now));
        if age < self.config.election_timeout.start {
            return Some(Duration::ZERO);
        }
        Some(age)
    }

    /// Returns at most `limit` committed entries from an index on.
    ///
    /// The slice is empty when the index is beyond the commit index. `None`
    /// means that the entries are no longer in memory and that the reader needs
    /// the [`snapshot`](Self::snapshot).
    #[must_use]
    pub fn entries(&self, from: Index, limit: usize) -> Option<&[Entry]> {
        if from > self.commit_index {
            return Some(&[]);
        }
        let end = from.get().saturating_add(limit as u64).saturating_sub(1);
        self.log.slice(from, self.commit_index.min(Index::new(end)))
    }

    /// Returns the newest snapshot, or `None` when there is none.
    #[must_use]
    pub fn snapshot(&self) -> Option<&Snapshot> {
        self.snapshot.as_ref()
    }

    /// Returns whether storage has failed. The replica is passive from then on.
    #[must_use]
    pub fn is_failed(&self) -> bool {
        self.failed
    }
}
