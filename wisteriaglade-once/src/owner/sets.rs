use std::collections::BTreeSet;

use wisteriaglade_types::Node;

/// The sets of holders whose majorities a write needs.
#[derive(Debug, Default)]
pub(super) struct Sets {
    /// The set in the control log.
    holders: Vec<Node>,
    /// The set that is being filled.
    target: Option<Vec<Node>>,
    /// Whether `target` was proposed to the control log.
    held: bool,
    /// Former targets that were proposed. One of them may still take effect
    /// until the log shows another set.
    proposed: Vec<Vec<Node>>,
    /// Earlier sets of this epoch. Their return would make a late repetition of
    /// an old proposal valid again.
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

    /// Every node that receives writes.
    pub(super) fn nodes(&self) -> BTreeSet<Node> {
        self.all().flatten().copied().collect()
    }

    /// Whether `has` is true for a majority of every set. There is no majority
    /// while the log names no holders, because a successor could not read it.
    pub(super) fn majority(&self, has: impl Fn(Node) -> bool) -> bool {
        !self.holders.is_empty() && self.all().all(|set| majority(set, &has))
    }

    /// Sets a new target; the present holders cancel it. Returns whether the target
    /// changed.
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

    /// The log shows `holders`. Every other proposal was based on the set before
    /// and can no longer take effect. Returns whether the set changed.
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

/// Whether `has` is true for more than half of a set.
pub(super) fn majority(set: &[Node], has: impl Fn(Node) -> bool) -> bool {
    set.iter().filter(|node| has(**node)).count() > set.len() / 2 || set.is_empty()
}
