//! The sets of holders that have to store each record of a shard.
//!
//! A grant owns one [`Quorum`]. It asks it which nodes to write to and whether a
//! majority has answered, and tells it of each change of the holders.

use std::collections::BTreeSet;

use wisteriaglade_types::Node;

/// The sets of holders of a shard. A write needs a majority of each, as in the joint
/// consensus of Raft.
#[derive(Debug, Default)]
pub(super) struct Quorum {
    /// The current set in the control log.
    holders: Vec<Node>,
    /// The set that is to replace it. Its new holders are receiving copies of the records.
    target: Option<Vec<Node>>,
    /// Whether `target` was proposed to the control log since the last change of a set.
    proposed: bool,
    /// Former targets that were proposed. One of them may still take effect until the log
    /// shows another set.
    outstanding: Vec<Vec<Node>>,
    /// Earlier sets of this epoch. None may return, because a delayed duplicate of a
    /// proposal based on it would become valid again.
    previous: Vec<Vec<Node>>,
}

impl Quorum {
    /// Creates the quorum of a new grant, whose holders are those in the control log.
    pub(super) fn new(holders: Vec<Node>) -> Self {
        Self {
            holders,
            ..Self::default()
        }
    }

    /// Returns the current set in the control log.
    pub(super) fn holders(&self) -> &[Node] {
        &self.holders
    }

    /// Returns the set that is to replace the current one, if any.
    pub(super) fn target(&self) -> Option<&[Node]> {
        self.target.as_deref()
    }

    /// Returns whether the target was proposed to the control log.
    pub(super) const fn is_proposed(&self) -> bool {
        self.proposed
    }

    /// Records that the target was proposed to the control log.
    pub(super) const fn mark_proposed(&mut self) {
        self.proposed = true;
    }

    /// Returns all nodes that receive writes: those of every set.
    pub(super) fn nodes(&self) -> BTreeSet<Node> {
        self.sets().flatten().copied().collect()
    }

    /// Returns whether `has` is true for a majority of every set. Without holders in the log there
    /// is no majority, because the next owner could not read the records of the target.
    pub(super) fn majority(&self, has: impl Fn(Node) -> bool) -> bool {
        !self.holders.is_empty() && self.sets().all(|set| majority(set, &has))
    }

    /// Sets the target, or clears it if `holders` is the current set. Returns whether the
    /// target changed. An empty set and an earlier set of this epoch are ignored.
    pub(super) fn replace(&mut self, holders: Vec<Node>) -> bool {
        let target = (holders != self.holders).then_some(holders);
        if target
            .as_ref()
            .is_some_and(|set| set.is_empty() || self.previous.contains(set))
            || self.target == target
        {
            return false;
        }
        if let Some(former) = std::mem::replace(&mut self.target, target)
            && self.proposed
        {
            self.outstanding.push(former);
        }
        self.proposed = false;
        true
    }

    /// Adopts the set that the control log shows. Called when a change of the holders was
    /// committed within the epoch. Proposals based on the previous set
    /// can no longer take effect. Returns whether the set changed.
    pub(super) fn commit(&mut self, holders: Vec<Node>) -> bool {
        if holders == self.holders {
            return false;
        }
        if self.target.as_ref() == Some(&holders) {
            self.target = None;
        }
        self.proposed = false;
        self.outstanding.clear();
        let previous = std::mem::replace(&mut self.holders, holders);
        self.previous.push(previous);
        true
    }

    /// Returns the sets of which a write needs a majority each.
    fn sets(&self) -> impl Iterator<Item = &Vec<Node>> {
        std::iter::once(&self.holders)
            .chain(&self.target)
            .chain(&self.outstanding)
    }
}

/// Returns whether `has` is true for more than half of a set, or the set is empty.
pub(super) fn majority(set: &[Node], has: impl Fn(Node) -> bool) -> bool {
    set.iter().filter(|node| has(**node)).count() > set.len() / 2 || set.is_empty()
}
