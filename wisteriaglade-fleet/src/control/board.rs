//! What the replica's thread shows to the others.

use std::{collections::BTreeSet, net::SocketAddr};

use wisteriaglade_mesh::State;

/// What a replica knows.
#[derive(Debug, Default)]
pub(crate) struct Board {
    pub(super) state: State,
    pub(super) applied: u64,
    pub(super) term: u64,
    pub(super) leader: Option<u64>,
    /// Whether it leads and has applied everything from before its term.
    pub(super) leading: bool,
    pub(super) members: Vec<u64>,
    /// Where replicas took links according to entries that were read back and
    /// are not applied yet.
    pub(super) restored: BTreeSet<SocketAddr>,
    /// The last applied entry that was announced.
    pub(super) announced: u64,
}

impl Board {
    /// The replicated state.
    pub(crate) fn state(&self) -> &State {
        &self.state
    }

    /// The last applied entry.
    pub(crate) fn applied(&self) -> u64 {
        self.applied
    }

    /// The term.
    pub(crate) fn term(&self) -> u64 {
        self.term
    }

    /// Whether the replica believes that it leads.
    pub(crate) fn is_leading(&self) -> bool {
        self.leading
    }

    /// The replicas of the group.
    pub(crate) fn members(&self) -> &[u64] {
        &self.members
    }

    /// Where replicas may take links.
    ///
    /// Entries are applied only under a leader, and to elect one the replicas
    /// have to reach each other, so those that are not applied count as well.
    pub(crate) fn links(&self) -> BTreeSet<SocketAddr> {
        let members = self.state.members().values();
        let known = members.map(|member| member.peer_address);
        known.chain(self.restored.iter().copied()).collect()
    }

    /// Where the leader takes links, if it is known.
    pub(crate) fn leader_link(&self) -> Option<SocketAddr> {
        let leader = self.state.members().get(&self.leader?)?;
        Some(leader.peer_address)
    }

    /// Where operators reach the leader, if it is known.
    pub(crate) fn leader_control(&self) -> Option<SocketAddr> {
        let leader = self.state.members().get(&self.leader?)?;
        Some(leader.admin_address)
    }
}
