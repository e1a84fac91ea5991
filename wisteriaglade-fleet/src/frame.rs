//! The messages that processes of the fleet exchange over links.
//!
//! A frame is encoded with postcard after its length, a big-endian `u32`. Postcard
//! identifies fields and variants by position, so their order and types are the
//! wire format.

use std::net::SocketAddr;

use bytes::{BufMut, Bytes, BytesMut};
use serde::{Deserialize, Serialize};
use wisteriaglade_consensus::Message;
use wisteriaglade_mesh::{Change, Directory, Load, Notice, Owner, Plan, Reason, Report};
use wisteriaglade_types::Name;

/// A message between two processes of the fleet.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) enum Frame {
    /// The handshake: the first message in each direction.
    Hello(Hello),
    /// Asks the other side for a [`Frame::Pong`], to detect a silent connection.
    Ping,
    /// The response to a [`Frame::Ping`].
    Pong,
    /// Offers a request to the target beside the receiver.
    Offer(Offer),
    /// Asks for the content of an offered request that is about to run, if the
    /// offer left it out.
    Fetch {
        /// The id of the offer.
        id: u64,
    },
    /// The response to a [`Frame::Fetch`].
    Content {
        /// The id of the offer.
        id: u64,
        /// The HTTP request for the target.
        content: Content,
    },
    /// Cancels an offered request: the caller has left, or the sender has given
    /// up on this host.
    Cancel {
        /// The id of the offer.
        id: u64,
    },
    /// Reports how an offered request ended.
    Outcome {
        /// The id of the offer.
        id: u64,
        /// The outcome of the request.
        outcome: Outcome,
    },
    /// A host's report to the leader, which asks to renew the lease of the host's
    /// target.
    Renew {
        /// Rises with each report of a process.
        seq: u64,
        /// The state of the host and its target.
        report: Report,
        /// The version of the plan that the host has; 0 when it has none.
        version: u64,
        /// The log index that the host's key ranges reflect; 0 when it has none.
        index: u64,
    },
    /// The leader's response to a [`Frame::Renew`].
    Renewed {
        /// The `seq` of the report.
        seq: u64,
        /// Whether the lease is renewed. The new one starts when the report was
        /// sent.
        leased: bool,
    },
    /// The response to a [`Frame::Renew`] from a replica that is not the leader.
    Redirect {
        /// The link address of the leader, if the replica knows it.
        leader: Option<SocketAddr>,
    },
    /// The leader publishes the directory to a host.
    Publish {
        /// The link addresses of the control replicas.
        replicas: Vec<SocketAddr>,
        /// The number of hosts that report to the leader.
        hosts: u32,
        /// The targets and key ranges, or what has changed in them.
        directory: Directory,
    },
    /// The leader publishes the whole plan in force.
    Plan(Plan),
    /// The leader publishes the plan in force as a change of the plan that the
    /// host has.
    PlanChange(Change),
    /// A message of the consensus between control replicas.
    Raft {
        /// The number of the sending replica.
        from: u64,
        /// The message of the consensus protocol.
        message: Message,
    },
    /// A leader asks the other replicas whether they still follow it.
    Confirm {
        /// The number of the leader's replica.
        from: u64,
        /// The term of the leader.
        term: u64,
        /// The round of confirmation; it rises with each one.
        round: u64,
    },
    /// The response to a [`Frame::Confirm`] from a replica that follows the
    /// leader.
    Confirmed {
        /// The number of the sending replica.
        from: u64,
        /// The term of the request.
        term: u64,
        /// The round of the request.
        round: u64,
    },
    /// A replica asks the leader to add it to the group, or to record its
    /// addresses.
    Join {
        /// The number of the replica.
        replica: u64,
        /// The address on which the replica takes calls of operators.
        control: SocketAddr,
    },
}

/// Identifies one side of a connection to the other.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct Hello {
    /// Identifies this run of the process: its start in Unix milliseconds.
    pub(crate) session: u64,
    /// The link address of the sender.
    pub(crate) address: SocketAddr,
    /// The sender's number if it is a control replica.
    pub(crate) replica: Option<u64>,
}

/// A request that is offered to the target beside the receiver.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct Offer {
    /// Identifies the offer within the sender's session. A receiver that gets the
    /// same offer again on another connection runs the request only once.
    pub(crate) id: u64,
    /// The target that may run the request. The receiver rejects the offer if it
    /// is beside another one.
    pub(crate) owner: Owner,
    /// The key of the request if the pool is sharded.
    pub(crate) key: Option<u16>,
    /// The id that the caller gave to the request, for logs.
    pub(crate) request: Name,
    /// A hash of the rule's name. Requests of one rule are taken to be of one kind
    /// of work.
    pub(crate) kind: u64,
    /// The priority of the rule; 0 is the highest.
    pub(crate) priority: u32,
    /// The pool of the target beside the sender, from which the request comes.
    pub(crate) caller: Name,
    /// Whether the request may run more than once.
    pub(crate) repeatable: bool,
    /// Whether the request may queue when the target has no free slot. Otherwise
    /// it is rejected, and the sender tries another target.
    pub(crate) may_queue: bool,
    /// Whether the sender tries another target if this one could take the request only
    /// after a while.
    pub(crate) has_alternative: bool,
    /// What the target last said of itself in an answer that the sender passed on. A
    /// process that has replaced the one beside the target learns it from here.
    pub(crate) notice: Notice,
    /// Milliseconds until the objective of the rule is missed.
    pub(crate) objective: u32,
    /// Milliseconds until the caller no longer waits for the answer.
    pub(crate) deadline: u32,
    /// The HTTP request for the target. When it is absent, the receiver fetches it
    /// once the request is about to run. A large body then crosses the network
    /// only once, however many targets are offered the request.
    pub(crate) content: Option<Content>,
}

/// The HTTP request that is sent to a target.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct Content {
    /// The HTTP method.
    pub(crate) method: String,
    /// The path and query of the URI.
    pub(crate) target: String,
    /// The names and values of the headers that are forwarded.
    pub(crate) headers: Vec<(String, Bytes)>,
    /// The complete body.
    pub(crate) body: Bytes,
}

/// The outcome of an offered request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) enum Outcome {
    /// The target answered.
    Answer(Answer),
    /// The request was not run and will not be.
    Rejected {
        /// The reason of the refusal.
        reason: Reason,
        /// Milliseconds after which the target is expected to have room.
        retry: u32,
        /// Whether the target itself rejected the request. Otherwise its host did,
        /// and the request never reached the target.
        by_target: bool,
        /// The load of the target.
        load: Load,
    },
    /// The request may have run, and there is no answer.
    Unknown {
        /// A description of the failure for logs.
        detail: Name,
        /// The load of the target.
        load: Load,
    },
}

impl Outcome {
    /// Returns the load of the target; `None` if the target's host did not report it.
    pub(crate) fn load(&self) -> Option<Load> {
        let load = match self {
            Self::Answer(answer) => answer.load,
            Self::Rejected { load, .. } | Self::Unknown { load, .. } => *load,
        };
        (load.limit > 0).then_some(load)
    }
}

/// The response of a target, with measurements of the request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct Answer {
    /// The HTTP status code.
    pub(crate) status: u16,
    /// The names and values of the response's headers.
    pub(crate) headers: Vec<(String, Bytes)>,
    /// The complete body.
    pub(crate) body: Bytes,
    /// Milliseconds for which the target ran the request.
    pub(crate) took: u32,
    /// Milliseconds for which the request waited in the queue of the target's
    /// host.
    pub(crate) waited: u32,
    /// Whether requests of this kind are nested: targets make them while they run
    /// other requests.
    pub(crate) nested: bool,
    /// The load of the target.
    pub(crate) load: Load,
}

/// The size in bytes of the length that precedes each frame.
pub(crate) const LENGTH_BYTES: usize = 4;

impl Frame {
    /// Appends the frame, preceded by its length, to a buffer.
    ///
    /// # Errors
    ///
    /// When the frame cannot be encoded or is longer than `u32::MAX` bytes.
    pub(crate) fn encode(&self, buffer: &mut BytesMut) -> Result<(), postcard::Error> {
        let content = postcard::to_stdvec(self)?;
        let length =
            u32::try_from(content.len()).map_err(|_| postcard::Error::SerializeBufferFull)?;
        buffer.reserve(LENGTH_BYTES + content.len());
        buffer.put_u32(length);
        buffer.put_slice(&content);
        Ok(())
    }

    /// Decodes a frame from its bytes after the length.
    ///
    /// # Errors
    ///
    /// When the bytes are not a frame.
    pub(crate) fn decode(content: &[u8]) -> Result<Self, postcard::Error> {
        postcard::from_bytes(content)
    }
}
