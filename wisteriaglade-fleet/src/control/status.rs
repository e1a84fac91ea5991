//! The state that the consensus thread of a replica shares with other tasks.

use std::{collections::BTreeSet, net::SocketAddr};

use wisteriaglade_mesh::State;

/// A replica's view of the log and the group. Only the consensus thread writes
/// it.
#[derive(Debug, Default)]
pub(crate) struct Status {
    pub(super) state: State,
    /// The index of the last applied entry.
    pub(super) applied: u64,
    pub(super) term: u64,
    /// The number of the leader of this term, if it is known.
    pub(super) leader: Option<u64>,
    /// Whether this replica leads and has applied all entries of earlier terms.
    pub(super) leading: bool,
    /// The numbers of the replicas in the group.
    pub(super) members: Vec<u64>,
    /// Link addresses of replicas, from log entries that were read at the start
    /// and may not be applied yet.
    pub(super) unapplied_links: BTreeSet<SocketAddr>,
    /// The value of `applied` when waiting tasks were last notified.
    pub(super) notified: u64,
}

impl Status {
    /// The replicated state machine.
    pub(crate) fn state(&self) -> &State {
        &self.state
    }

    /// The index of the last applied entry.
    pub(crate) fn applied(&self) -> u64 {
        self.applied
    }

    /// The current term of the consensus.
    pub(crate) fn term(&self) -> u64 {
        self.term
    }

    /// Whether the replica considers itself the leader. Another replica may have
    /// been elected since; [`Handle::confirm`](super::replica::Handle::confirm)
    /// excludes that.
    pub(crate) fn is_leading(&self) -> bool {
        self.leading
    }

    /// The numbers of the replicas in the group.
    pub(crate) fn members(&self) -> &[u64] {
        &self.members
    }

    /// The link addresses of all known replicas.
    ///
    /// Those in entries that are not applied yet are included: a replica applies
    /// entries only once there is a leader, and the replicas have to be connected
    /// to elect one.
    pub(crate) fn links(&self) -> BTreeSet<SocketAddr> {
        let members = self.state.members().values();
        let known = members.map(|member| member.peer_address);
        known.chain(self.unapplied_links.iter().copied()).collect()
    }

    /// The link address of the leader, if it is known.
    pub(crate) fn leader_link(&self) -> Option<SocketAddr> {
        let leader = self.state.members().get(&self.leader?)?;
        Some(leader.peer_address)
    }

    /// The address on which the leader takes calls of operators, if it is known.
    pub(crate) fn leader_control(&self) -> Option<SocketAddr> {
        let leader = self.state.members().get(&self.leader?)?;
        Some(leader.admin_address)
    }
}
