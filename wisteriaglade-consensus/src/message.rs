//! The messages that replicas exchange.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use wisteriaglade_types::{Index, Term};

use crate::{Entry, Replica};

/// A message between two replicas of a group.
///
/// Requests and responses correspond to the remote procedure calls of the Raft
/// paper, with the pre-vote of D. Ongaro's dissertation (section 9.6). Any
/// message may be lost, repeated, delayed or reordered. The driver encodes
/// messages by position: the order of variants and fields is part of the
/// format.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks whether the receiver would vote for the sender in a new term.
    PreVote {
        /// The term that the sender would start.
        term: Term,
        /// The index of the last entry in the sender's log.
        last: Index,
        /// The term of that entry.
        last_term: Term,
    },
    /// Answers a [`PreVote`](Self::PreVote).
    PreVoteResponse {
        /// The requested term when granted, else the current term of the
        /// sender.
        term: Term,
        /// Whether the sender would vote for the receiver.
        granted: bool,
    },
    /// Asks for a vote: the `RequestVote` call of the Raft paper.
    RequestVote {
        /// The term that the candidate has started.
        term: Term,
        /// The index of the last entry in the candidate's log.
        last: Index,
        /// The term of that entry.
        last_term: Term,
    },
    /// Answers a [`RequestVote`](Self::RequestVote).
    VoteResponse {
        /// The current term of the sender.
        term: Term,
        /// Whether the sender has voted for the receiver in that term.
        granted: bool,
    },
    /// Entries from the leader: the `AppendEntries` call of the Raft paper.
    /// Without entries it is a heartbeat.
    AppendEntries {
        /// The term of the leader.
        term: Term,
        /// The index before the first entry of this message.
        prev: Index,
        /// The term of the entry at `prev`, 0 when `prev` is 0.
        prev_term: Term,
        /// The commit index of the leader.
        commit: Index,
        /// The entries from `prev + 1` on, without gaps.
        entries: Vec<Entry>,
    },
    /// Accepts an [`AppendEntries`](Self::AppendEntries) or a complete
    /// snapshot: the sender's log matches the leader's up to an index and is
    /// synced.
    AppendAccepted {
        /// The term of the leader.
        term: Term,
        /// The index of the last matching entry.
        index: Index,
    },
    /// Rejects an [`AppendEntries`](Self::AppendEntries): the sender has no
    /// entry with its `prev` and `prev_term`.
    AppendRejected {
        /// The term of the leader.
        term: Term,
        /// The `prev` of the rejected append.
        prev: Index,
        /// The last index at which the two logs can match. It lets the leader
        /// skip whole terms.
        hint: Index,
        /// The term of the sender's entry at that index.
        hint_term: Term,
    },
    /// A part of a snapshot from the leader: the `InstallSnapshot` call of the
    /// Raft paper.
    SnapshotChunk {
        /// The term of the leader.
        term: Term,
        /// The index of the last entry that the snapshot includes.
        index: Index,
        /// The term of that entry.
        index_term: Term,
        /// The group as of that entry.
        members: Vec<Replica>,
        /// The size of the whole snapshot in bytes.
        total: u64,
        /// The position of this part in the snapshot, in bytes.
        offset: u64,
        /// The bytes of the snapshot from `offset` on.
        #[serde(with = "crate::bytes")]
        data: Arc<[u8]>,
    },
    /// Answers a [`SnapshotChunk`](Self::SnapshotChunk) of a snapshot that is
    /// not complete.
    ChunkReceived {
        /// The term of the leader.
        term: Term,
        /// The index of the last entry that the snapshot includes.
        index: Index,
        /// The number of contiguous bytes that the sender holds, which is the
        /// offset of the next chunk.
        offset: u64,
    },
    /// Rejects a message of an earlier term, so that a former leader learns of
    /// the current term and steps down.
    Stale {
        /// The current term of the sender.
        term: Term,
    },
}

impl Message {
    /// Returns the term of the message. Apart from pre-votes this is the
    /// sender's current term.
    #[must_use]
    pub const fn term(&self) -> Term {
        match self {
            Self::PreVote { term, .. }
            | Self::PreVoteResponse { term, .. }
            | Self::RequestVote { term, .. }
            | Self::VoteResponse { term, .. }
            | Self::AppendEntries { term, .. }
            | Self::AppendAccepted { term, .. }
            | Self::AppendRejected { term, .. }
            | Self::SnapshotChunk { term, .. }
            | Self::ChunkReceived { term, .. }
            | Self::Stale { term } => *term,
        }
    }
}
