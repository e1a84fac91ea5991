use std::collections::BTreeSet;

use wisteriaglade_types::Node;

/// The sets of holders of a shard. A write needs a majority of each, as in the joint
/// consensus of Raft.
#[derive(Debug, Default)]
pub(super) struct Sets {
    /// The current set in the control log.
    holders: Vec<Node>,
    /// The set that is to replace it. Its new holders are receiving copies of the records.
    target: Option<Vec<Node>>,
    /// Whether `target` was proposed to the control log since the last change of a set.
    held: bool,
    /// Former targets that were proposed. One of them may still take effect until the log
    /// shows another set.
    proposed: Vec<Vec<Node>>,
    /// Earlier sets of this epoch. None may return, because a delayed duplicate of a
    /// proposal based on it would become valid again.
    past: Vec<Vec<Node>>,
}

impl Sets {
    pub(super) fn new(holders: Vec<Node>) -> Self {
        Self {
            holders,
            ..Self::default()
        }
    }

    pub(super) fn holders(&self) -> &[Node] {
        &self.holders
    }

    pub(super) fn target(&self) -> Option<&[Node]> {
        self.target.as_deref()
    }

    pub(super) const fn is_held(&self) -> bool {
        self.held
    }

    pub(super) const fn hold(&mut self) {
        self.held = true;
    }

    /// All nodes that receive writes.
    pub(super) fn nodes(&self) -> BTreeSet<Node> {
        self.all().flatten().copied().collect()
    }

    /// Whether `has` is true for a majority of every set. Without holders in the log there
    /// is no majority, because the next owner could not read the records of the target.
    pub(super) fn majority(&self, has: impl Fn(Node) -> bool) -> bool {
        !self.holders.is_empty() && self.all().all(|set| majority(set, &has))
    }

    /// Sets the target, or clears it if `holders` is the current set. Returns whether the
    /// target changed. An empty set and an earlier set of this epoch are ignored.
    pub(super) fn replace(&mut self, holders: Vec<Node>) -> bool {
        let target = (holders != self.holders).then_some(holders);
        if target
            .as_ref()
            .is_some_and(|set| set.is_empty() || self.past.contains(set))
            || self.target == target
        {
            return false;
        }
        if let Some(former) = std::mem::replace(&mut self.target, target)
            && self.held
        {
            self.proposed.push(former);
        }
        self.held = false;
        true
    }

    /// Takes over the current set from the control log. Proposals based on the previous set
    /// can no longer take effect. Returns whether the set changed.
    pub(super) fn own(&mut self, holders: Vec<Node>) -> bool {
        if holders == self.holders {
            return false;
        }
        if self.target.as_ref() == Some(&holders) {
            self.target = None;
        }
        self.held = false;
        self.proposed.clear();
        let past = std::mem::replace(&mut self.holders, holders);
        self.past.push(past);
        true
    }

    fn all(&self) -> impl Iterator<Item = &Vec<Node>> {
        std::iter::once(&self.holders)
            .chain(&self.target)
            .chain(&self.proposed)
    }
}

/// Whether `has` is true for more than half of a set, or the set is empty.
pub(super) fn majority(set: &[Node], has: impl Fn(Node) -> bool) -> bool {
    set.iter().filter(|node| has(**node)).count() > set.len() / 2 || set.is_empty()
}
