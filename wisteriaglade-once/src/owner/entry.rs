use std::{
    mem::{Discriminant, discriminant},
    time::Duration,
};

use wisteriaglade_types::{Epoch, Node};

use super::{Begin, Config, Reason};
use crate::{Record, State};

/// What the owner waits for before the next effect of an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Stage {
    /// A majority for the start.
    Starting { deadline: Duration },
    /// The end of the work.
    Running,
    /// A majority for the outcome. `told` is set once the caller has been told
    /// that it is unknown.
    Ending { until: Duration, told: bool },
    /// A majority for the withdrawal.
    Aborting { until: Duration, reason: Reason },
    /// Nothing.
    Settled,
}

/// Why a holder does not count for the present state of an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Failure {
    Lost,
    Full,
    /// A higher epoch was seen, so no repetition can succeed.
    Stale,
}

/// Identifies one state of one start, so that a late reply to another is ignored.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Mark {
    version: (Epoch, u64),
    state: Discriminant<State>,
}

/// The owner's copy of a record.
#[derive(Debug, Clone)]
pub(super) struct Entry {
    pub(super) record: Record,
    pub(super) stage: Stage,
    pub(super) expires: Duration,
    /// The holders that have the present state.
    pub(super) acks: Vec<Node>,
    pub(super) failed: Vec<(Node, Failure)>,
    /// Resends that wait for the end of the work.
    pub(super) waiters: Vec<Begin>,
}

impl Mark {
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
            expires: now + lifetime.saturating_sub(record.written),
            record,
            stage,
            acks: Vec::new(),
            failed: Vec::new(),
            waiters: Vec::new(),
        }
    }

    /// Whether a request waits for this entry.
    pub(super) fn is_open(&self) -> bool {
        match self.stage {
            Stage::Settled | Stage::Ending { told: true, .. } => !self.waiters.is_empty(),
            _ => true,
        }
    }

    pub(super) fn mark(&self) -> Mark {
        Mark::of(&self.record)
    }

    /// Enters a state that no holder has yet.
    pub(super) fn change(&mut self, state: State, next: Stage) {
        self.record.state = state;
        self.stage = next;
        self.acks.clear();
        self.failed.clear();
    }

    /// The record with its age, as it is sent.
    pub(super) fn export(&self, now: Duration, config: &Config) -> Record {
        let left = self.expires.saturating_sub(now);
        Record {
            written: lifetime(config, &self.record.state).saturating_sub(left),
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

    /// The request that started the work, as it was before the start.
    pub(super) fn begin(&self, deadline: Duration) -> Begin {
        Begin {
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
        State::Started | State::Ended(_) | State::Unknown => config.retention,
    }
}
