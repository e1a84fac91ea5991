use std::{collections::BTreeMap, time::Duration};

use wisteriaglade_types::{Epoch, Node};

use super::{ShardId, entry::Revision};
use crate::Key;

/// The kind of a call, with what is needed to handle its reply or its failure.
#[derive(Debug, Clone)]
pub(super) enum Kind {
    Fence,
    Write { key: Key, revision: Revision },
    Copy { revisions: Vec<(Key, Revision)> },
}

/// A message to a holder that has had no reply.
#[derive(Debug, Clone)]
pub(super) struct Call {
    pub(super) to: Node,
    pub(super) shard_id: ShardId,
    pub(super) epoch: Epoch,
    pub(super) kind: Kind,
}

/// The calls in flight, by call number. Numbers increase in the order of sending.
#[derive(Debug, Default)]
pub(super) struct Calls {
    next: u64,
    pending: BTreeMap<u64, (Duration, Call)>,
}

impl Calls {
    /// Registers a call and returns its number.
    pub(super) fn open(&mut self, now: Duration, call: Call) -> u64 {
        self.next += 1;
        self.pending.insert(self.next, (now, call));
        self.next
    }

    /// Removes the call with this number. Returns `None` if it isn't in flight or was sent
    /// to another node than `from`.
    pub(super) fn close(&mut self, from: Node, call: u64) -> Option<Call> {
        let known = self.pending.get(&call)?.1.to == from;
        known
            .then(|| self.pending.remove(&call))?
            .map(|(_, call)| call)
    }

    /// Removes and returns all calls to a node.
    pub(super) fn take_to(&mut self, node: Node) -> Vec<Call> {
        self.pending
            .extract_if(.., |_, (_, call)| call.to == node)
            .map(|(_, (_, call))| call)
            .collect()
    }

    /// Removes and returns all calls sent at `until` or earlier.
    pub(super) fn take_sent_until(&mut self, until: Duration) -> Vec<Call> {
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
