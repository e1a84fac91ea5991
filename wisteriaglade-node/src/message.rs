//! The messages between processes.

use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use wisteriaglade_consensus as consensus;
use wisteriaglade_control as control;
use wisteriaglade_once::holder;
use wisteriaglade_types::{Index, Name, Node, Request};

use crate::refusal::Refusal;

/// A message on a TCP link, in either direction.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum Message {
    /// Opens a one-way stream of `Step` from a replica.
    Raft { from: u64 },
    /// A consensus message.
    Step(Box<consensus::Message>),
    /// Opens a stream of committed entries from an index on.
    Subscribe { from: Index },
    /// Committed entries without a gap.
    Entries(Vec<consensus::Entry>),
    /// A piece of a snapshot of the control state.
    Snapshot {
        index: Index,
        last: bool,
        piece: Bytes,
    },
    /// Asks the control leader for a change.
    Propose(Box<control::Command>),
    /// The answer to `Propose`.
    Proposed(Proposed),
    /// Sends a request to the node that owns its key.
    Forward(Box<Forward>),
    /// The owner's node has the request.
    Accepted,
    /// The request waits or runs.
    Progress,
    /// The start of a response.
    Head(Box<Head>),
    /// A piece of a body.
    Chunk(Bytes),
    /// The end of a body.
    End,
    /// The body cannot be completed.
    Cut,
    /// The router's own answer.
    Refused(Box<Refusal>),
    /// Asks what became of a request.
    Query { request: Request },
    /// The answer to `Query`.
    Known(Known),
    /// A message to a record holder.
    Record {
        to: Node,
        message: Box<holder::Message>,
    },
    /// The answer to `Record`; none when the node has another id by now.
    Recorded(Option<Box<holder::Reply>>),
    /// An operator asserts that the host of a node is off.
    Lost { node: Node },
    /// Shows that the link is alive, or confirms `Lost`.
    Ping,
}

/// What became of a proposal.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum Proposed {
    /// It was committed and applied.
    Applied(control::Reply),
    /// It was not appended; this replica may be the leader.
    NotLeader(Option<u64>),
    /// It may or may not be committed later.
    Unknown,
}

/// What became of a forwarded request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Known {
    /// It waits or runs.
    Running,
    /// It ended.
    Finished,
    /// It did not arrive, and it is refused if it arrives later.
    NotSeen,
}

/// A request on its way to the owner's node.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Forward {
    /// The identity of this attempt.
    pub(crate) request: Request,
    /// The node that is expected to own the key.
    pub(crate) node: Node,
    pub(crate) method: String,
    /// The path and the query.
    pub(crate) uri: String,
    pub(crate) headers: Vec<(String, Bytes)>,
    /// The time that remains until the deadline.
    pub(crate) remaining: Duration,
    pub(crate) caller: Name,
    /// The length of the body when it is known.
    pub(crate) length: Option<u64>,
}

/// The start of a response on its way back.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Head {
    pub(crate) status: u16,
    pub(crate) headers: Vec<(String, Bytes)>,
}

/// A UDP datagram.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum Datagram {
    /// A node renews its lease.
    Renew { node: Node, sequence: u64 },
    /// A replica acknowledges a renewal.
    Renewed {
        replica: u64,
        node: Node,
        sequence: u64,
        commit: Index,
        leader: Option<u64>,
    },
    /// A replica has applied the fence of the node.
    Fenced { node: Node },
    /// What a node observed, for the planner.
    Load { node: Node, load: Load },
    /// Asks how long ago a fenced node was last acknowledged.
    Age { node: Node },
    /// The answer of a replica that has applied the fence.
    Aged {
        replica: u64,
        node: Node,
        age: Duration,
    },
}

/// What a node observed over the last interval.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Load {
    /// Parts in a thousand of the concurrency limit that were busy.
    pub(crate) busy: u32,
    /// Completions per second.
    pub(crate) rate: u32,
    /// The mean time at the target.
    pub(crate) latency: Duration,
    /// Whether the target does not respond.
    pub(crate) suspect: bool,
    /// The hottest keys with their requests per second.
    pub(crate) hot: Vec<(u64, u32)>,
}
