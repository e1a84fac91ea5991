//! The part of the log that a replica keeps in memory.

use wisteriaglade_types::{Index, Term};

use crate::{Entry, Payload, Replica};

/// The entries after a base, and the groups that they define.
///
/// The base is the last entry that was removed from memory by compaction, or
/// index 0.
#[derive(Debug)]
pub(crate) struct Log {
    /// The index before the first entry in memory.
    base: Index,
    /// The term of the entry at the base.
    base_term: Term,
    entries: Vec<Entry>,
    /// The groups in ascending order, each with the index of the entry that
    /// defined it. The first one is the group as of the base.
    groups: Vec<(Index, Vec<Replica>)>,
}

impl Log {
    /// Creates a log without entries after `base`.
    pub(crate) fn new(base: Index, base_term: Term, members: Vec<Replica>) -> Self {
        Self {
            base,
            base_term,
            entries: Vec::new(),
            groups: vec![(base, normalized(members))],
        }
    }

    pub(crate) fn base(&self) -> Index {
        self.base
    }

    pub(crate) fn last(&self) -> Index {
        Index::new(self.base.get() + self.entries.len() as u64)
    }

    pub(crate) fn last_term(&self) -> Term {
        self.entries
            .last()
            .map_or(self.base_term, |entry| entry.term)
    }

    /// Returns the term of an entry, or `None` when it is not in memory.
    pub(crate) fn term(&self, index: Index) -> Option<Term> {
        if index == self.base {
            return Some(self.base_term);
        }
        let position = self.position(index)?;
        self.entries.get(position).map(|entry| entry.term)
    }

    /// Returns the current group, committed or not.
    pub(crate) fn members(&self) -> &[Replica] {
        self.groups.last().map_or(&[], |(_, members)| members)
    }

    /// Returns the index of the entry that defined the current group.
    pub(crate) fn members_index(&self) -> Index {
        self.groups.last().map_or(self.base, |(index, _)| *index)
    }

    /// Returns the group as of an entry.
    pub(crate) fn members_at(&self, index: Index) -> &[Replica] {
        let after = self.groups.partition_point(|(at, _)| *at <= index);
        self.groups
            .get(after.saturating_sub(1))
            .map_or(&[], |(_, members)| members)
    }

    /// Appends an entry, which must directly follow the last one.
    pub(crate) fn push(&mut self, entry: Entry) {
        assert_eq!(
            entry.index,
            self.last().next(),
            "an appended entry does not follow the last entry of the log"
        );
        if let Payload::Members(members) = &entry.payload {
            self.groups.push((entry.index, normalized(members.clone())));
        }
        self.entries.push(entry);
    }

    /// Removes the entry at an index and all later ones.
    pub(crate) fn truncate(&mut self, from: Index) {
        assert!(
            from > self.base,
            "cannot truncate at or before the base of the log"
        );
        if let Some(position) = self.position(from) {
            self.entries.truncate(position);
        }
        let groups = self.groups.partition_point(|(at, _)| *at < from);
        self.groups.truncate(groups.max(1));
    }

    /// Returns the base with which at most `entries` entries up to `index` stay in
    /// memory, with at most `bytes` bytes.
    pub(crate) fn base_to_retain(&self, index: Index, entries: usize, bytes: usize) -> Index {
        let end = self.position(index.next()).unwrap_or(0);
        let mut left = bytes;
        let before = self.entries[..end.min(self.entries.len())].iter().rev();
        let fits = before.take(entries).take_while(|entry| {
            let size = entry.payload.size();
            let fits = size <= left;
            left = left.saturating_sub(size);
            fits
        });
        Index::new(index.get().saturating_sub(fits.count() as u64))
    }

    /// Removes the entries up to and including an index.
    pub(crate) fn compact(&mut self, to: Index) {
        let Some(term) = self.term(to) else { return };
        let members = self.members_at(to).to_vec();
        let at = self.groups.partition_point(|(at, _)| *at <= to);
        // The group keeps the index of its entry, which is compared with the
        // commit index to tell whether the group is committed.
        let index = self.groups[at.saturating_sub(1)].0;
        self.groups.splice(..at, [(index, members)]);
        let removed = self.position(to.next()).unwrap_or(0);
        self.entries.drain(..removed.min(self.entries.len()));
        self.base = to;
        self.base_term = term;
    }

    /// Returns the entries from `from` to `to`, both included, or `None` when
    /// one of them is not in memory.
    pub(crate) fn slice(&self, from: Index, to: Index) -> Option<&[Entry]> {
        let start = self.position(from)?;
        let end = usize::try_from(to.get().checked_sub(self.base.get())?).ok()?;
        if end <= start {
            return Some(&[]);
        }
        self.entries.get(start..end)
    }

    /// Returns the last index up to `index` whose entry has at most `term`: the
    /// last one at which this log can match another one that has `term` at
    /// `index`. This skips whole terms when two logs differ.
    pub(crate) fn last_possible_match(&self, index: Index, term: Term) -> Index {
        if index < self.base {
            return index;
        }
        let end = index.min(self.last()).get() - self.base.get();
        let end = usize::try_from(end).unwrap_or(usize::MAX);
        let found = self.entries[..end].partition_point(|entry| entry.term <= term);
        if found == 0 && self.base_term > term {
            return Index::new(self.base.get().saturating_sub(1));
        }
        Index::new(self.base.get() + found as u64)
    }

    /// Returns the position of an entry in `entries`, or `None` for the base
    /// and earlier entries.
    fn position(&self, index: Index) -> Option<usize> {
        let offset = index.get().checked_sub(self.base.get())?.checked_sub(1)?;
        usize::try_from(offset).ok()
    }
}

/// Sorts the members of a group and removes duplicates.
pub(crate) fn normalized(mut members: Vec<Replica>) -> Vec<Replica> {
    members.sort_unstable();
    members.dedup();
    members
}
