//! What the replicas of a run have done, and the rules it must follow.

use std::collections::{BTreeMap, BTreeSet};

use wisteriaglade_consensus::{Entry, Payload, Replica};
use wisteriaglade_types::{Index, Term};

/// Everything seen during a run. Each method panics when a rule is broken.
#[derive(Debug, Default)]
pub struct History {
    leaders: BTreeMap<Term, Replica>,
    written: BTreeMap<(Index, Term), (Payload, Term)>,
    committed: BTreeMap<Index, Entry>,
    /// The tickets of changes of the group.
    pub changes: BTreeSet<u64>,
    /// The values whose proposals were acknowledged.
    pub acknowledged: BTreeSet<u64>,
}

impl History {
    /// Election safety: one leader for each term.
    pub fn lead(&mut self, term: Term, replica: Replica) {
        let leader = *self.leaders.entry(term).or_insert(replica);
        assert_eq!(leader, replica, "two leaders in term {term}");
    }

    /// Log matching: entries with the same index and term are equal and follow
    /// the same entry.
    pub fn write(&mut self, entry: &Entry, before: Term) {
        let new = (entry.payload.clone(), before);
        let key = (entry.index, entry.term);
        let old = self.written.entry(key).or_insert_with(|| new.clone());
        assert_eq!(*old, new, "logs differ at {key:?}");
    }

    /// State machine safety: a committed entry never changes.
    pub fn commit(&mut self, entry: &Entry) {
        let old = self.committed.entry(entry.index);
        let old = old.or_insert_with(|| entry.clone());
        assert_eq!(old, entry, "a committed entry was lost");
    }

    /// An acknowledged proposal is committed at the index that was named.
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

    /// The number of terms that had a leader.
    pub fn terms(&self) -> usize {
        self.leaders.len()
    }
}

/// The value that a proposal carries.
pub fn value(data: &[u8]) -> u64 {
    u64::from_le_bytes(data[..8].try_into().expect("eight bytes"))
}
