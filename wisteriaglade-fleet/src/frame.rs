//! Messages between the processes of the fleet.

use std::net::SocketAddr;

use bytes::{BufMut, Bytes, BytesMut};
use serde::{Deserialize, Serialize};
use wisteriaglade_consensus::Message;
use wisteriaglade_mesh::{Change, Directory, Load, Owner, Plan, Reason, Report};
use wisteriaglade_types::Name;

/// A message between two processes of the fleet.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) enum Frame {
    /// The first message in each direction.
    Hello(Hello),
    /// Asks whether the connection still works.
    Ping,
    /// The response to a ping.
    Pong,
    /// A request for the target beside the receiver.
    Offer(Offer),
    /// Asks for the content of an offered request, which is about to run.
    Fetch {
        /// The request.
        id: u64,
    },
    /// The content of an offered request.
    Content {
        /// The request.
        id: u64,
        /// The content.
        content: Content,
    },
    /// The caller has left.
    Cancel {
        /// The request.
        id: u64,
    },
    /// How an offered request ended.
    Outcome {
        /// The request.
        id: u64,
        /// How it ended.
        outcome: Outcome,
    },
    /// A host reports to the leader.
    Renew {
        /// Rises with each report of a process.
        seq: u64,
        /// The report.
        report: Report,
        /// The version of the sender's plan.
        version: u64,
    },
    /// The response of the leader.
    Renewed {
        /// The report that it is for.
        seq: u64,
        /// Whether the target may hold its keys for a lease from when the
        /// report was sent.
        leased: bool,
    },
    /// The response of a replica that does not lead.
    Redirect {
        /// Where the leader takes links, if it is known.
        leader: Option<SocketAddr>,
    },
    /// The targets and key ranges.
    Publish {
        /// Where the control replicas take links.
        replicas: Vec<SocketAddr>,
        /// Hosts that report to the leader.
        hosts: u32,
        /// The targets and key ranges.
        directory: Directory,
    },
    /// The plan in force.
    Plan(Plan),
    /// How the plan has changed.
    PlanChange(Change),
    /// A message of the consensus.
    Raft {
        /// The sender.
        from: u64,
        /// The message.
        message: Message,
    },
    /// A leader asks whether it still leads.
    Confirm {
        /// The leader.
        from: u64,
        /// Its term.
        term: u64,
        /// Rises with each question.
        round: u64,
    },
    /// The sender follows the leader that asked.
    Confirmed {
        /// The sender.
        from: u64,
        /// The term of the question.
        term: u64,
        /// The question.
        round: u64,
    },
    /// A replica without a place in the group asks for one.
    Join {
        /// The replica.
        replica: u64,
        /// Where operators reach it.
        control: SocketAddr,
    },
}

/// Who opened a link.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct Hello {
    /// Names this run of the process.
    pub(crate) session: u64,
    /// Where the sender takes links itself.
    pub(crate) address: SocketAddr,
    /// The replica, if the sender is one.
    pub(crate) replica: Option<u64>,
}

/// A request for the target beside the receiver.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct Offer {
    /// Names the request among those of the sender's session. A receiver that
    /// gets the same one again, on another connection, runs it once.
    pub(crate) id: u64,
    /// The target that may run it.
    pub(crate) owner: Owner,
    /// Its key, if the pool is divided by key.
    pub(crate) key: Option<u16>,
    /// The caller's id of the request.
    pub(crate) request: Name,
    /// The kind of work.
    pub(crate) kind: u64,
    /// The rank; 0 is the highest.
    pub(crate) priority: u32,
    /// The pool of the target beside the sender.
    pub(crate) caller: Name,
    /// Whether it may run more than once.
    pub(crate) repeatable: bool,
    /// Whether it may wait for a slot.
    pub(crate) waits: bool,
    /// Milliseconds until the answer stops being worth most.
    pub(crate) objective: u32,
    /// Milliseconds until nobody waits for the answer.
    pub(crate) deadline: u32,
    /// What the target gets. A large content is left out and fetched when the
    /// request is about to run, so that it crosses the network once.
    pub(crate) content: Option<Content>,
}

/// What a target gets.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct Content {
    /// The method.
    pub(crate) method: String,
    /// The path and query.
    pub(crate) target: String,
    /// The headers.
    pub(crate) headers: Vec<(String, Bytes)>,
    /// The body.
    pub(crate) body: Bytes,
}

/// How an offered request ended.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) enum Outcome {
    /// The target answered.
    Answer(Answer),
    /// It was not run and will not be.
    Rejected {
        /// Why.
        reason: Reason,
        /// Milliseconds after which room is expected.
        retry: u32,
        /// Whether the target itself rejected it.
        arrived: bool,
        /// The load of the target.
        load: Load,
    },
    /// It may have run, and there is no answer.
    Unknown {
        /// What happened.
        detail: Name,
        /// The load of the target.
        load: Load,
    },
}

/// The answer of a target.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct Answer {
    /// The status.
    pub(crate) status: u16,
    /// The headers.
    pub(crate) headers: Vec<(String, Bytes)>,
    /// The body.
    pub(crate) body: Bytes,
    /// How long the target took, in milliseconds.
    pub(crate) took: u32,
    /// How long it waited before, in milliseconds.
    pub(crate) waited: u32,
    /// Whether requests of its kind are part of other work.
    pub(crate) nested: bool,
    /// The load of the target.
    pub(crate) load: Load,
}

/// Bytes of the length before each frame.
pub(crate) const HEAD: usize = 4;

impl Frame {
    /// Appends the frame and its length to a buffer.
    pub(crate) fn encode(&self, buffer: &mut BytesMut) -> Result<(), postcard::Error> {
        let content = postcard::to_stdvec(self)?;
        let length =
            u32::try_from(content.len()).map_err(|_| postcard::Error::SerializeBufferFull)?;
        buffer.reserve(HEAD + content.len());
        buffer.put_u32(length);
        buffer.put_slice(&content);
        Ok(())
    }

    /// Reads the content of a frame.
    pub(crate) fn decode(content: &[u8]) -> Result<Self, postcard::Error> {
        postcard::from_bytes(content)
    }
}
