//! Messages between replicas.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use wisteriaglade_types::{Index, Term};

use crate::{Entry, Replica};

/// A message between replicas.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks whether an election would succeed.
    PreVote {
        /// The term that the sender would start.
        term: Term,
        /// The last entry of the sender.
        last: Index,
        /// The term of that entry.
        last_term: Term,
    },
    /// The response to a pre-vote.
    PreVoted {
        /// The requested term when granted, else the term of the sender.
        term: Term,
        /// Whether the sender would vote for the receiver.
        granted: bool,
    },
    /// Asks for a vote.
    Vote {
        /// The term of the candidate.
        term: Term,
        /// The last entry of the candidate.
        last: Index,
        /// The term of that entry.
        last_term: Term,
    },
    /// The response to a request for a vote.
    Voted {
        /// The term of the sender.
        term: Term,
        /// Whether the sender votes for the receiver in that term.
        granted: bool,
    },
    /// Entries from the leader. Without entries it is a heartbeat.
    Append {
        /// The term of the leader.
        term: Term,
        /// The entry before the first one in this message.
        prev: Index,
        /// The term of that entry.
        prev_term: Term,
        /// The commit index of the leader.
        commit: Index,
        /// The entries, without gaps.
        entries: Vec<Entry>,
    },
    /// The sender's log matches the leader's up to an index and is synced.
    Matched {
        /// The term of the leader.
        term: Term,
        /// The last matching entry.
        index: Index,
    },
    /// The sender has no entry with the index and term that preceded an
    /// append.
    Mismatch {
        /// The term of the leader.
        term: Term,
        /// The index that preceded the entries of the append.
        prev: Index,
        /// The last index at which the logs could still match.
        hint: Index,
        /// The term of the sender's entry at that index.
        hint_term: Term,
    },
    /// A part of a snapshot from the leader.
    Chunk {
        /// The term of the leader.
        term: Term,
        /// The last entry in the snapshot.
        index: Index,
        /// The term of that entry.
        index_term: Term,
        /// The group as of that entry.
        members: Vec<Replica>,
        /// The size of the whole snapshot in bytes.
        total: u64,
        /// The position of this part in bytes.
        offset: u64,
        /// The part.
        #[serde(with = "crate::bytes")]
        data: Arc<[u8]>,
    },
    /// The sender holds a snapshot up to an offset.
    Received {
        /// The term of the leader.
        term: Term,
        /// The last entry in the snapshot.
        index: Index,
        /// The number of bytes held.
        offset: u64,
    },
    /// The response to a message of an earlier term.
    Stale {
        /// The term of the sender.
        term: Term,
    },
}

impl Message {
    /// The term that the message names.
    #[must_use]
    pub const fn term(&self) -> Term {
        match self {
            Self::PreVote { term, .. }
            | Self::PreVoted { term, .. }
            | Self::Vote { term, .. }
            | Self::Voted { term, .. }
            | Self::Append { term, .. }
            | Self::Matched { term, .. }
            | Self::Mismatch { term, .. }
            | Self::Chunk { term, .. }
            | Self::Received { term, .. }
            | Self::Stale { term } => *term,
        }
    }
}
