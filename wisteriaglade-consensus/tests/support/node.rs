//! A simulated replica with its disk and state machine.

use std::{collections::BTreeMap, time::Duration};

use rand::{RngExt as _, rngs::StdRng};
use wisteriaglade_consensus::{
    Change, Config, Entry, Message, Payload, Raft, Replica, Snapshot, Vote,
    storage::{Kind, Storage},
};
use wisteriaglade_types::{Index, Term};

use super::{
    disk::MemoryDisk,
    history::{History, value},
};

/// The size of a segment in bytes. It is small, so that storage uses several.
const SEGMENT_BYTES: u64 = 2_000;

/// The volatile state of a replica that is running.
#[derive(Debug)]
pub struct Running {
    pub raft: Raft,
    storage: Storage<MemoryDisk>,
    /// The vote that storage has synced.
    vote: Vote,
    /// The term of each entry that storage has synced.
    log: BTreeMap<Index, Term>,
    /// The last entry applied to the state machine.
    pub applied: Index,
    /// The state machine: the committed values in order.
    pub values: Vec<u64>,
}

/// A replica, running or crashed.
#[derive(Debug)]
pub struct Node {
    pub id: Replica,
    pub config: Config,
    pub disk: MemoryDisk,
    pub running: Option<Running>,
    /// When a crashed replica starts again.
    pub restart: Duration,
    /// The number of snapshots that replaced the state machine.
    pub restored: usize,
}

impl Node {
    pub fn new(id: Replica, config: Config) -> Self {
        Self {
            id,
            config,
            disk: MemoryDisk::default(),
            running: None,
            restart: Duration::ZERO,
            restored: 0,
        }
    }

    /// Stops the replica and discards unsynced data.
    pub fn crash(&mut self, restart: Duration, random: &mut StdRng) {
        self.running = None;
        self.restart = restart;
        self.disk.crash(random);
    }

    /// Starts from the state on the disk. A disk failure crashes the replica
    /// again.
    pub fn start(&mut self, now: Duration, random: &mut StdRng) {
        let (storage, restored) = match Storage::with_disk(self.disk.clone()) {
            Ok(opened) => opened,
            Err(error) if error.kind() == Kind::Io => return self.crash(now, random),
            Err(error) => panic!("replica {}: {error}", self.id),
        };
        let terms = restored
            .entries
            .iter()
            .map(|entry| (entry.index, entry.term));
        let mut log: BTreeMap<_, _> = terms.collect();
        if let Some(snapshot) = &restored.snapshot {
            log.insert(snapshot.index, snapshot.term);
        }
        let vote = restored.vote;
        let config = self.config.clone().seed(random.random());
        self.running = Some(Running {
            raft: Raft::new(config, restored, now),
            storage: storage.segment_bytes(SEGMENT_BYTES),
            vote,
            log,
            applied: Index::new(0),
            values: Vec::new(),
        });
    }
}

impl Running {
    /// Persists a change and records it. Returns false when the disk has
    /// failed.
    pub fn persist(&mut self, change: &Change, history: &mut History) -> bool {
        if self.storage.persist(change).is_err() {
            return false;
        }
        match change {
            Change::Vote(vote) => self.vote = *vote,
            Change::Truncate(from) => {
                self.log.split_off(from);
            }
            Change::Append(entries) => entries.iter().for_each(|e| self.write(e, history)),
            Change::Compact(_) => {}
            Change::Install(Snapshot { index, term, .. }) => {
                self.log = [(*index, *term)].into();
            }
        }
        true
    }

    /// Records an entry that storage has synced.
    fn write(&mut self, entry: &Entry, history: &mut History) {
        let before = Index::new(entry.index.get() - 1);
        let before = self.log.get(&before).copied();
        assert!(
            before.is_some() || entry.index.get() == 1,
            "a gap in the log"
        );
        history.write(entry, before.unwrap_or_default());
        self.log.insert(entry.index, entry.term);
    }

    /// Checks that a message to be sent promises only entries, votes and terms
    /// that are on the disk.
    pub fn check_durability(&self, to: Replica, message: &Message) {
        match message {
            Message::AppendAccepted { index, .. } => {
                let last = self.log.keys().next_back().copied().unwrap_or_default();
                assert!(*index <= last, "{index} was acknowledged before its sync");
            }
            Message::VoteResponse { term, granted } if *granted => {
                let voted_for = Some(to);
                assert_eq!(
                    self.vote,
                    Vote {
                        term: *term,
                        voted_for
                    },
                    "a vote was sent before its sync"
                );
            }
            Message::PreVote { .. } | Message::PreVoteResponse { .. } => return,
            _ => {}
        }
        assert!(
            message.term() <= self.vote.term,
            "a term was sent before its sync"
        );
    }

    /// Applies committed entries to the state machine.
    pub fn apply(&mut self, entries: &[Entry], history: &mut History) {
        for entry in entries {
            assert_eq!(
                entry.index,
                self.applied.next(),
                "a gap in the applied entries"
            );
            history.commit(entry);
            self.applied = entry.index;
            if let Payload::Data(data) = &entry.payload {
                self.values.push(value(data));
            }
        }
    }

    /// Replaces the state machine by a snapshot.
    pub fn restore(&mut self, snapshot: &Snapshot) {
        assert!(
            snapshot.index >= self.applied,
            "the snapshot is older than the state machine"
        );
        self.applied = snapshot.index;
        self.values = snapshot.data.chunks(8).map(value).collect();
    }

    /// Encodes the state machine for a snapshot.
    pub fn encode_values(&self) -> Vec<u8> {
        self.values.iter().flat_map(|v| v.to_le_bytes()).collect()
    }
}
