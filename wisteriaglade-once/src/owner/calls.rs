use std::{collections::BTreeMap, time::Duration};

use wisteriaglade_types::{Epoch, Node};

use super::{Place, entry::Mark};
use crate::Key;

/// What a call asked for.
#[derive(Debug, Clone)]
pub(super) enum Kind {
    Fence,
    Write { key: Key, mark: Mark },
    Copy { marks: Vec<(Key, Mark)> },
}

/// A call without a reply so far.
#[derive(Debug, Clone)]
pub(super) struct Call {
    pub(super) to: Node,
    pub(super) place: Place,
    pub(super) epoch: Epoch,
    pub(super) kind: Kind,
}

/// The calls under way, by number. Numbers grow with the time of sending.
#[derive(Debug, Default)]
pub(super) struct Calls {
    next: u64,
    pending: BTreeMap<u64, (Duration, Call)>,
}

impl Calls {
    /// Notes a call and returns its number.
    pub(super) fn open(&mut self, now: Duration, call: Call) -> u64 {
        self.next += 1;
        self.pending.insert(self.next, (now, call));
        self.next
    }

    /// Takes out the call that a reply from `from` belongs to.
    pub(super) fn close(&mut self, from: Node, call: u64) -> Option<Call> {
        let known = self.pending.get(&call)?.1.to == from;
        known
            .then(|| self.pending.remove(&call))?
            .map(|(_, call)| call)
    }

    /// Takes out all calls to a node.
    pub(super) fn lost(&mut self, node: Node) -> Vec<Call> {
        self.pending
            .extract_if(.., |_, (_, call)| call.to == node)
            .map(|(_, (_, call))| call)
            .collect()
    }

    /// Takes out all calls sent at `until` or before.
    pub(super) fn late(&mut self, until: Duration) -> Vec<Call> {
        let mut late = Vec::new();
        while let Some(first) = self.pending.first_entry() {
            if first.get().0 > until {
                break;
            }
            late.push(first.remove().1);
        }
        late
    }
}
