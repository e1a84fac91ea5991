//! The history of a simulated run, checked against the safety properties of the
//! Raft paper (figure 3).

use std::collections::{BTreeMap, BTreeSet};

use wisteriaglade_consensus::{Entry, Payload, Replica};
use wisteriaglade_types::{Index, Term};

/// The events of a run. Each method records one and panics when it violates a
/// safety property.
#[derive(Debug, Default)]
pub struct History {
    /// The leader of each term that had one.
    leaders: BTreeMap<Term, Replica>,
    /// The payload of each entry written by any replica, and the term of the
    /// entry before it.
    written: BTreeMap<(Index, Term), (Payload, Term)>,
    /// The entries applied by any replica.
    committed: BTreeMap<Index, Entry>,
    /// The tickets of changes of the group.
    pub changes: BTreeSet<u64>,
    /// The values whose proposals were acknowledged.
    pub acknowledged: BTreeSet<u64>,
}

impl History {
    /// Checks election safety: a term has at most one leader.
    pub fn lead(&mut self, term: Term, replica: Replica) {
        let leader = *self.leaders.entry(term).or_insert(replica);
        assert_eq!(leader, replica, "two leaders in term {term}");
    }

    /// Checks log matching: entries with the same index and term are equal, and
    /// the entries before them have the same term.
    pub fn write(&mut self, entry: &Entry, before: Term) {
        let new = (entry.payload.clone(), before);
        let key = (entry.index, entry.term);
        let old = self.written.entry(key).or_insert_with(|| new.clone());
        assert_eq!(*old, new, "logs differ at {key:?}");
    }

    /// Checks state machine safety: all replicas apply the same entry at an
    /// index.
    pub fn commit(&mut self, entry: &Entry) {
        let old = self.committed.entry(entry.index);
        let old = old.or_insert_with(|| entry.clone());
        assert_eq!(old, entry, "a committed entry was replaced");
    }

    /// Checks that an acknowledged proposal is committed at the reported index.
    pub fn acknowledge(&mut self, ticket: u64, index: Index) {
        let entry = self.committed.get(&index).expect("the entry was applied");
        if self.changes.contains(&ticket) {
            return;
        }
        let Payload::Data(data) = &entry.payload else {
            panic!("{entry:?} was acknowledged as a proposal");
        };
        assert_eq!(value(data), ticket, "another proposal was acknowledged");
        self.acknowledged.insert(ticket);
    }

    /// Returns the number of terms that had a leader.
    pub fn terms(&self) -> usize {
        self.leaders.len()
    }
}

/// Decodes the value of a proposal, which is its ticket.
pub fn value(data: &[u8]) -> u64 {
    u64::from_le_bytes(data[..8].try_into().expect("eight bytes"))
}
