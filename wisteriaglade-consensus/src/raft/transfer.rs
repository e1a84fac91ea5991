//! The transfer of snapshots from the leader to a follower in chunks.
//!
//! One chunk is outstanding at a time; its response requests the next one.

use std::time::Duration;

use wisteriaglade_types::{Index, Term};

use crate::{
    Change, Message, Output, Raft, Replica,
    assembly::Assembly,
    log::Log,
    progress::{Mode, Progress},
};

/// The time without a response after which a chunk is sent again. It is half
/// the shortest default election timeout, and many round trips of a network
/// between regions.
const CHUNK_RETRY_INTERVAL: Duration = Duration::from_millis(250);

impl Raft {
    /// Starts to send the newest snapshot to a follower that lacks entries
    /// which are no longer in memory.
    pub(super) fn send_snapshot(&mut self, to: Replica, outputs: &mut Vec<Output>) {
        let Some(snapshot) = self.snapshot.clone() else {
            return;
        };
        if let Some(progress) = self.leadership.progress.get_mut(&to) {
            progress.mode = Mode::Snapshot {
                snapshot,
                offset: 0,
                sent_at: self.now,
            };
            self.send_chunk(to, outputs);
        }
    }

    /// Sends the outstanding chunk again when its response is overdue. It is
    /// called with each heartbeat.
    pub(super) fn retry_chunk(&mut self, to: Replica, outputs: &mut Vec<Output>) {
        if let Some(Progress {
            mode: Mode::Snapshot { sent_at, .. },
            ..
        }) = self.leadership.progress.get(&to)
            && self.now.saturating_sub(*sent_at) >= CHUNK_RETRY_INTERVAL
        {
            self.send_chunk(to, outputs);
        }
    }

    /// Sends the chunk at the follower's acknowledged offset.
    fn send_chunk(&mut self, to: Replica, outputs: &mut Vec<Output>) {
        let term = self.vote.term;
        let Some(Progress {
            mode:
                Mode::Snapshot {
                    snapshot,
                    offset,
                    sent_at,
                },
            ..
        }) = self.leadership.progress.get_mut(&to)
        else {
            return;
        };
        *sent_at = self.now;
        let end = (*offset + self.config.max_message_bytes).min(snapshot.data.len());
        let message = Message::SnapshotChunk {
            term,
            index: snapshot.index,
            index_term: snapshot.term,
            members: snapshot.members.clone(),
            total: snapshot.data.len() as u64,
            offset: *offset as u64,
            data: snapshot.data[*offset..end].into(),
        };
        self.send(to, message, outputs);
    }

    /// Handles the acknowledgement of a chunk and sends the next one.
    pub(super) fn on_chunk_received(
        &mut self,
        from: Replica,
        index: Index,
        received: u64,
        outputs: &mut Vec<Output>,
    ) {
        let Some(Progress {
            mode: Mode::Snapshot {
                snapshot, offset, ..
            },
            ..
        }) = self.record_response(from)
        else {
            return;
        };
        let Ok(received) = usize::try_from(received) else {
            return;
        };
        if index != snapshot.index || received > snapshot.data.len() || received == *offset {
            return;
        }
        // A smaller offset means a late response or a restart of the follower.
        // The chunk at that offset is left to the retry, because sending one
        // for each repeated response would multiply the messages.
        let forward = received > *offset;
        *offset = received;
        if forward {
            self.send_chunk(from, outputs);
        }
    }

    /// Handles a chunk of a snapshot and answers it.
    pub(super) fn on_snapshot_chunk(
        &mut self,
        from: Replica,
        (index, index_term, total): (Index, Term, u64),
        members: Vec<Replica>,
        offset: u64,
        data: &[u8],
        outputs: &mut Vec<Output>,
    ) {
        let sound = index.get() < super::TERM_AND_INDEX_LIMIT && index_term <= self.vote.term;
        if !self.accept_leader(from, outputs) || !sound {
            return;
        }
        let term = self.vote.term;
        if index <= self.commit_index {
            let index = self.commit_index;
            return self.send(from, Message::AppendAccepted { term, index }, outputs);
        }
        let held = self.assembly.take();
        let mut assembly = held
            .filter(|assembly| assembly.matches(index, index_term, total))
            .unwrap_or_else(|| Assembly::new(index, index_term, total));
        assembly.append(offset, data);
        if assembly.is_complete() {
            return self.install(from, assembly, members, outputs);
        }
        let offset = assembly.len();
        self.assembly = Some(assembly);
        let message = Message::ChunkReceived {
            term,
            index,
            offset,
        };
        self.send(from, message, outputs);
    }

    /// Replaces the log and the state machine by a complete snapshot, unless
    /// the log already contains its last entry.
    fn install(
        &mut self,
        from: Replica,
        assembly: Assembly,
        members: Vec<Replica>,
        outputs: &mut Vec<Output>,
    ) {
        let snapshot = assembly.finish(members);
        let (index, term) = (snapshot.index, self.vote.term);
        if self.log.term(index) == Some(snapshot.term) {
            // The log already contains every entry of the snapshot.
            self.send(from, Message::AppendAccepted { term, index }, outputs);
            return self.commit_to(index, outputs);
        }
        self.log = Log::new(index, snapshot.term, snapshot.members.clone());
        self.commit_index = index;
        self.persisted_index = index;
        self.snapshot = Some(snapshot.clone());
        outputs.push(Output::Persist(Change::Install(snapshot.clone())));
        self.send(from, Message::AppendAccepted { term, index }, outputs);
        outputs.push(Output::Restore(snapshot));
    }
}
