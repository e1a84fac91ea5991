//! The messages that processes exchange over TCP and UDP.
//!
//! They are encoded with postcard, which is positional: the order and the
//! types of variants and fields are part of the wire format.

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
    /// Opens a one-way stream of `Step` messages. Sent by a replica, with its
    /// id.
    Raft { from: u64 },
    /// A consensus message from the replica that opened the stream.
    Step(Box<consensus::Message>),
    /// Subscribes to committed entries, starting with the entry at `from`.
    Subscribe { from: Index },
    /// Consecutive committed entries for a subscriber.
    Entries(Vec<consensus::Entry>),
    /// A piece of an encoded snapshot of the control state, for a subscriber
    /// whose next entry is compacted.
    Snapshot {
        /// The index of the last entry that the snapshot contains.
        index: Index,
        /// Whether this is the final piece.
        last: bool,
        piece: Bytes,
    },
    /// Asks the control leader to commit a command.
    Propose(Box<control::Command>),
    /// The answer to `Propose`.
    Proposed(Proposed),
    /// The head of a request for the node that owns its key. The body follows
    /// in `Chunk` messages.
    Forward(Box<Forward>),
    /// Confirms that the owner's node received the forwarded request.
    Accepted,
    /// Sent at intervals while the request is queued or runs, so that the
    /// sender does not take the link for dead.
    Progress,
    /// The status and the headers of a response.
    Head(Box<Head>),
    /// A piece of the body of a request or a response.
    Chunk(Bytes),
    /// Marks a body as complete.
    End,
    /// The body ends early and is incomplete.
    Abort,
    /// A refusal by the router, in place of a response of the target.
    Refused(Box<Refusal>),
    /// Asks for the state of a forwarded request after its connection was
    /// lost. A request that was not received is refused from then on.
    Query { request: Request },
    /// The answer to `Query`.
    RequestState(RequestState),
    /// A message to a record holder.
    Record {
        /// The node id of the record holder.
        to: Node,
        message: Box<holder::Message>,
    },
    /// The answer to `Record`, or `None` when the process has a different node
    /// id.
    Recorded(Option<Box<holder::Reply>>),
    /// Reports that an operator asserts that the host of a node is off.
    Lost { node: Node },
    /// Shows that the link is alive. Also confirms `Lost`.
    Ping,
}

/// The outcome of a proposal.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum Proposed {
    /// The command was committed and applied, with this reply.
    Applied(control::Reply),
    /// The command was not appended. Holds the id of the replica that is
    /// believed to lead.
    NotLeader(Option<u64>),
    /// The command may already be committed, or be committed later.
    Unknown,
}

/// The state of a forwarded request at the node that it was sent to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum RequestState {
    /// The request is queued or runs.
    Running,
    /// The request has ended.
    Finished,
    /// The request was not received, and is refused if it arrives later.
    NotReceived,
}

/// The head of a request that is forwarded to the owner's node.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Forward {
    /// Identifies this attempt. A retry has another id.
    pub(crate) request: Request,
    /// The node that the sender takes for the owner of the key.
    pub(crate) node: Node,
    pub(crate) method: String,
    /// The path and the query string.
    pub(crate) uri: String,
    pub(crate) headers: Vec<(String, Bytes)>,
    /// The time until the deadline. A duration needs no synchronized clocks.
    pub(crate) remaining: Duration,
    /// The name of the caller.
    pub(crate) caller: Name,
    /// The length of the body in bytes, or `None` when the caller did not
    /// declare it.
    pub(crate) length: Option<u64>,
}

/// The status and the headers of a forwarded response.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Head {
    pub(crate) status: u16,
    pub(crate) headers: Vec<(String, Bytes)>,
}

/// A message in a UDP datagram, which is sealed with the cluster key.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum Datagram {
    /// Renews the lease of a node. Sent to every control replica in each
    /// round.
    Renew { node: Node, sequence: u64 },
    /// Acknowledges a renewal.
    Renewed {
        replica: u64,
        node: Node,
        sequence: u64,
        /// The commit index of the replica.
        commit: Index,
        /// The leader that the replica follows, if it knows one.
        leader: Option<u64>,
    },
    /// Answers a renewal of a node whose fence the replica has applied.
    Fenced { node: Node },
    /// Reports the load of a node to the planner.
    Load { node: Node, load: Load },
    /// Asks a replica how long ago it last acknowledged a fenced node.
    AgeQuery { node: Node },
    /// Answers `AgeQuery`. Sent only by a replica that has applied the fence.
    AgeAnswer {
        replica: u64,
        node: Node,
        age: Duration,
    },
}

/// The load of a node over the last report interval.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Load {
    /// The share of the concurrency limit in use, in thousandths.
    pub(crate) busy: u32,
    /// Completed requests per second.
    pub(crate) rate: u32,
    /// The mean time that the target took for a request.
    pub(crate) latency: Duration,
    /// Whether the target has stopped responding.
    pub(crate) suspect: bool,
    /// The hashes of the hottest keys, with their requests per second.
    pub(crate) hot: Vec<(u64, u32)>,
}
