//! The current rules, their history and the outcomes of recent changes.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};
use wisteriaglade_types::{Name, Version};

use crate::Reply;

/// A change of the rules that took effect.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Revision {
    /// The version of the rules that the change made.
    pub version: Version,
    /// The id that the proposer chose for the change.
    pub id: u128,
    /// The operator who made the change.
    pub operator: Name,
}

/// The text of the current rules and the changes that led to them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Rules {
    version: Version,
    text: Arc<str>,
    /// The longest deadline of each pool in the most recent versions, newest
    /// first.
    deadlines: VecDeque<Vec<(Name, Duration)>>,
    history: VecDeque<Revision>,
    /// The id and the reply of recent changes, oldest first, for retries.
    outcomes: VecDeque<(u128, Reply)>,
}

impl Rules {
    /// The number of changes that the history keeps.
    const MAX_HISTORY: usize = 1_000;
    /// The number of changes whose reply is kept for retries: about four days
    /// at 2,700 changes a day.
    const MAX_OUTCOMES: usize = 10_000;
    /// The number of versions whose deadlines are kept. A request that began
    /// under a replaced version can run until its deadline; at 2,700 changes a
    /// day, eight versions cover four minutes on average.
    const RECENT_VERSIONS: usize = 8;

    pub(crate) fn new() -> Self {
        Self {
            version: Version::new(0),
            text: "".into(),
            deadlines: VecDeque::new(),
            history: VecDeque::new(),
            outcomes: VecDeque::new(),
        }
    }

    pub(crate) fn current(&self) -> (Version, &str) {
        (self.version, &self.text)
    }

    pub(crate) fn history(&self) -> impl DoubleEndedIterator<Item = &Revision> {
        self.history.iter()
    }

    pub(crate) fn outcome(&self, id: u128) -> Option<&Reply> {
        let found = self.outcomes.iter().rev().find(|(own, _)| *own == id);
        found.map(|(_, reply)| reply)
    }

    /// Returns the longest deadline of a pool in the current version, or zero.
    pub(crate) fn longest_deadline(&self, pool: &str) -> Duration {
        self.deadlines
            .front()
            .map_or(Duration::ZERO, |version| longest_of(version, pool))
    }

    /// Returns the longest deadline of a pool in the most recent versions, or
    /// zero.
    pub(crate) fn longest_recent_deadline(&self, pool: &str) -> Duration {
        let versions = self.deadlines.iter();
        let each = versions.map(|version| longest_of(version, pool));
        each.max().unwrap_or_default()
    }

    pub(crate) fn change(
        &mut self,
        id: u128,
        base: Version,
        operator: &Name,
        text: &Arc<str>,
        longest_deadlines: &[(Name, Duration)],
    ) -> Reply {
        if let Some(first) = self.outcome(id) {
            return first.clone();
        }
        let reply = if base == self.version {
            self.version = self.version.next();
            self.text = Arc::clone(text);
            self.deadlines.push_front(longest_deadlines.to_vec());
            self.deadlines.truncate(Self::RECENT_VERSIONS);
            self.history.push_back(Revision {
                version: self.version,
                id,
                operator: operator.clone(),
            });
            drop_oldest(&mut self.history, Self::MAX_HISTORY);
            Reply::Version(self.version)
        } else {
            self.conflict()
        };
        self.outcomes.push_back((id, reply.clone()));
        drop_oldest(&mut self.outcomes, Self::MAX_OUTCOMES);
        reply
    }

    fn conflict(&self) -> Reply {
        let winner = self.history.back();
        Reply::Conflict {
            version: self.version,
            id: winner.map_or(0, |winner| winner.id),
            operator: winner.map_or_else(|| "".into(), |winner| winner.operator.clone()),
        }
    }
}

fn longest_of(version: &[(Name, Duration)], pool: &str) -> Duration {
    let of_pool = version.iter().filter(|(name, _)| name.as_str() == pool);
    let each = of_pool.map(|(_, deadline)| *deadline);
    each.max().unwrap_or_default()
}

fn drop_oldest<T>(queue: &mut VecDeque<T>, max: usize) {
    let excess = queue.len().saturating_sub(max);
    queue.drain(..excess);
}
