use std::{
    mem::{Discriminant, discriminant},
    time::Duration,
};

use wisteriaglade_types::{Epoch, Node};

use super::{Config, Pending, Reason};
use crate::{Record, State};

/// What the next effect of an entry depends on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Stage {
    /// Waits until a majority has the start. The request may start until `deadline`.
    Starting { deadline: Duration },
    /// The request was dispatched. Waits for its `Finish` or `Abort`.
    Running,
    /// Waits until a majority has the outcome. `reported` is set once the caller was answered
    /// that it is unknown, at the latest at `until`.
    Completing { until: Duration, reported: bool },
    /// Waits, at most until `until`, for a majority to have the withdrawal.
    Aborting { until: Duration, reason: Reason },
    /// Nothing. The entry has no outstanding effect.
    Settled,
}

/// Why a holder does not acknowledge the current state of an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Failure {
    /// The holder could not be reached. The record is sent again.
    Unreachable,
    /// The holder has no room for the record. The record is sent again later.
    Full,
    /// The holder has seen a higher epoch, so no retry can succeed.
    Stale,
}

/// Identifies one state of one start. A reply to a message about another state is
/// recognized by it and not counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Revision {
    version: (Epoch, u64),
    state: Discriminant<State>,
}

/// The owner's copy of a record, with the replication state and the requests that wait.
#[derive(Debug, Clone)]
pub(super) struct Entry {
    pub(super) record: Record,
    pub(super) stage: Stage,
    pub(super) expires: Duration,
    /// The holders that have the current state.
    pub(super) acks: Vec<Node>,
    /// The holders whose last write of the current state failed.
    pub(super) failed: Vec<(Node, Failure)>,
    /// Resends that wait for the outcome.
    pub(super) waiters: Vec<Pending>,
}

impl Revision {
    pub(super) fn of(record: &Record) -> Self {
        Self {
            version: record.version(),
            state: discriminant(&record.state),
        }
    }
}

impl Entry {
    pub(super) fn new(now: Duration, config: &Config, record: Record, stage: Stage) -> Self {
        let lifetime = lifetime(config, &record.state);
        Self {
            expires: now + lifetime.saturating_sub(record.age),
            record,
            stage,
            acks: Vec::new(),
            failed: Vec::new(),
            waiters: Vec::new(),
        }
    }

    /// Whether a request still depends on this entry for its final effect.
    pub(super) fn has_pending(&self) -> bool {
        match self.stage {
            Stage::Settled | Stage::Completing { reported: true, .. } => !self.waiters.is_empty(),
            _ => true,
        }
    }

    pub(super) fn revision(&self) -> Revision {
        Revision::of(&self.record)
    }

    /// Changes to a state that no holder has acknowledged.
    pub(super) fn transition(&mut self, state: State, next: Stage) {
        self.record.state = state;
        self.stage = next;
        self.acks.clear();
        self.failed.clear();
    }

    /// Returns the record with its current age, ready to send.
    pub(super) fn export(&self, now: Duration, config: &Config) -> Record {
        let left = self.expires.saturating_sub(now);
        Record {
            age: lifetime(config, &self.record.state).saturating_sub(left),
            ..self.record.clone()
        }
    }

    pub(super) fn acknowledge(&mut self, node: Node) {
        self.failed.retain(|(failed, _)| *failed != node);
        if !self.acks.contains(&node) {
            self.acks.push(node);
        }
    }

    pub(super) fn fail(&mut self, node: Node, failure: Failure) {
        self.failed.retain(|(failed, _)| *failed != node);
        self.failed.push((node, failure));
    }

    pub(super) fn is_stale(&self, node: Node) -> bool {
        self.failed.contains(&(node, Failure::Stale))
    }

    pub(super) fn is_failed(&self, node: Node) -> bool {
        self.failed.iter().any(|(failed, _)| *failed == node)
    }

    /// Returns the request of this entry as one that has not started.
    pub(super) fn to_pending(&self, deadline: Duration) -> Pending {
        Pending {
            key: self.record.key.clone(),
            fingerprint: self.record.fingerprint,
            request: self.record.request,
            deadline,
        }
    }
}

fn lifetime(config: &Config, state: &State) -> Duration {
    match state {
        State::Aborted => config.tombstone,
        State::Started | State::Completed(_) | State::Unknown => config.retention,
    }
}
