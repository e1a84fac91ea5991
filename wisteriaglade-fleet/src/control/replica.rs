//! The thread that runs the consensus and the replicated state machine.
//!
//! Disk writes block, so the consensus has its own thread: a stalled disk does not
//! delay the tasks that serve links and requests.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, VecDeque},
    fs, io,
    net::SocketAddr,
    path::{Path, PathBuf},
    sync::{
        Arc, RwLock, RwLockReadGuard,
        atomic::{AtomicBool, Ordering},
        mpsc,
    },
    thread,
    time::Duration,
};

use tokio::sync::{Notify, oneshot};
use tracing::{error, info, warn};
use wisteriaglade_consensus::{
    Config, Entry, Input as Step, Message, Output, Payload, Raft, Replica, Role, Snapshot,
    storage::Storage,
};
use wisteriaglade_mesh::{Command, Reply, State};
use wisteriaglade_types::Index;
use wisteriaglade_wire::Clock;

use super::{seed_id, status::Status};
use crate::{Settings, frame::Frame, read, write};

#[cfg(test)]
mod tests;

/// The longest time without a step of the consensus; the resolution of its
/// timers.
const TICK_INTERVAL: Duration = Duration::from_millis(25);

/// The interval of the leader's heartbeats. Each one costs a message to every
/// replica.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(120);

/// The range of election timeouts. The shortest is five missed heartbeats; with
/// less, a slow sync of the leader's disk would start an election.
const ELECTION_TIMEOUT: std::ops::Range<Duration> =
    Duration::from_millis(600)..Duration::from_secs(1);

/// The number of applied entries after which a snapshot is taken.
const SNAPSHOT_INTERVAL_ENTRIES: u64 = 512;

/// The size in bytes of applied entries after which a snapshot is taken. Plans with
/// thousands of rules reach it long before the number of entries. Entries of this
/// size and a snapshot fit several times into the smallest disk and memory, 256 MB.
const SNAPSHOT_INTERVAL_BYTES: usize = 16 * 1024 * 1024;

/// The number of entries before a snapshot that stay in memory for replicas that
/// are behind.
const RETAINED_ENTRIES: usize = 64;

/// The size in bytes of these entries. It has room for several plans of the largest
/// size, so that a replica that misses a few needs no snapshot.
const RETAINED_BYTES: usize = 16 * 1024 * 1024;

/// The size in bytes of the largest entry, which holds a plan with thousands of
/// rules and its text.
const MAX_ENTRY_BYTES: usize = 4 * 1024 * 1024;

/// The name of the file that holds the number of this replica.
const ID_FILE: &str = "replica";

/// The time limit for a round of confirmation.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(800);

/// The delay before the storage is opened again after a failed write.
const REOPEN_DELAY: Duration = Duration::from_millis(400);

/// An input of the consensus thread.
#[derive(Debug)]
pub(super) enum Input {
    /// A consensus message from another replica.
    Message { from: u64, message: Message },
    /// Appends a command to the log.
    Propose {
        command: Box<Command>,
        reply: oneshot::Sender<Proposed>,
    },
    /// Changes the group. The new group may differ by one replica that is added,
    /// removed or replaced.
    Members {
        members: Vec<u64>,
        reply: oneshot::Sender<Proposed>,
    },
    /// Asks whether this replica still leads; see [`Handle::confirm`].
    Confirm { reply: oneshot::Sender<bool> },
    /// A leader asks whether this replica follows it; see [`Frame::Confirm`].
    ConfirmRequest { from: u64, term: u64, round: u64 },
    /// A replica follows this leader; see [`Frame::Confirmed`].
    Confirmed { from: u64, term: u64, round: u64 },
}

/// The result of a proposal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Proposed {
    /// The command was applied, with this reply of the state machine.
    Applied(Reply),
    /// The command was not appended, as this replica is not the leader.
    NotLeader,
    /// The result is not known: the command may be applied later.
    Unknown,
}

/// The queue of frames to other replicas, each with the receiver's number.
pub(super) type Outbox = tokio::sync::mpsc::UnboundedSender<(u64, Frame)>;

/// Access to the consensus thread. Clones refer to the same thread.
#[derive(Debug, Clone)]
pub(super) struct Handle {
    inbox: mpsc::Sender<Input>,
    status: Arc<RwLock<Status>>,
    /// Notified when the status has changed.
    status_changed: Arc<Notify>,
    /// Set once the links to the other replicas exist.
    outbox: Arc<RwLock<Option<Outbox>>>,
    /// Set to end the thread.
    pub(super) stop: Arc<AtomicBool>,
}

impl Handle {
    /// The state of the replica.
    pub(super) fn status(&self) -> RwLockReadGuard<'_, Status> {
        read(&self.status)
    }

    /// Waits until the status has changed. Only one waiting task is notified.
    pub(super) async fn changed(&self) {
        self.status_changed.notified().await;
    }

    /// Sets the queue for messages to other replicas. Messages before this call are
    /// dropped.
    pub(super) fn set_outbox(&self, outbox: Outbox) {
        *write(&self.outbox) = Some(outbox);
    }

    /// Sends an input to the thread.
    pub(super) fn send(&self, input: Input) {
        // Sending fails only when the thread has ended: with the process, or
        // after a panic, which is reported on its own.
        let _ = self.inbox.send(input);
    }

    /// Proposes a command and waits for the result.
    pub(super) async fn propose(&self, command: Command) -> Proposed {
        let (reply, result) = oneshot::channel();
        let command = Box::new(command);
        self.send(Input::Propose { command, reply });
        result.await.unwrap_or(Proposed::Unknown)
    }

    /// Proposes a new group and waits for the result.
    pub(super) async fn change_members(&self, members: Vec<u64>) -> Proposed {
        let (reply, result) = oneshot::channel();
        self.send(Input::Members { members, reply });
        result.await.unwrap_or(Proposed::Unknown)
    }

    /// Whether this replica was the leader at some moment after the call began, as
    /// confirmed by a majority of the group. Reads after that are linearizable.
    pub(super) async fn confirm(&self) -> bool {
        let (reply, result) = oneshot::channel();
        self.send(Input::Confirm { reply });
        result.await.unwrap_or(false)
    }
}

/// Rounds in which this leader asks the other replicas whether they follow it.
///
/// This is the read index of Raft (section 6.4 of Ongaro's dissertation) with
/// messages of its own. One round serves all calls that came before it.
#[derive(Debug, Default)]
struct Confirmation {
    /// The number of the current round. It keeps rising when leadership is lost,
    /// so that late responses are recognized.
    round: u64,
    /// Calls that came during the current round and have to wait for the next one.
    next: Vec<oneshot::Sender<bool>>,
    /// Calls that wait for the current round.
    waiting: Vec<oneshot::Sender<bool>>,
    /// The other replicas that have confirmed the current round.
    granted: BTreeSet<u64>,
    /// When the current round began.
    started_at: Duration,
}

/// The state of the consensus thread.
struct Worker {
    id: u64,
    clock: Clock,
    raft: Raft,
    storage: Storage,
    handle: Handle,
    /// The ticket of the last proposal.
    last_ticket: u64,
    /// The callers that wait for the result of a proposal, by ticket.
    waiting: HashMap<u64, oneshot::Sender<Proposed>>,
    /// The replies to applied commands that no proposal has collected yet.
    replies: BTreeMap<Index, Reply>,
    /// The index of the last snapshot.
    snapshot_index: u64,
    /// The size in bytes of the entries that were applied since.
    applied_bytes: usize,
    /// The index of the last entry that was read from disk at the start.
    restored_index: u64,
    /// Set from an election until this entry is applied. Before that, the state of
    /// a new leader lacks committed entries of earlier terms.
    lead_from: Option<Index>,
    confirmation: Confirmation,
    /// Whether a write has failed.
    failed: bool,
}

/// What is needed to open the data folder, again after a failed write.
#[derive(Debug)]
struct Setup {
    id: u64,
    folder: PathBuf,
    /// The first group, if the fleet starts for the first time; otherwise empty.
    members: Vec<u64>,
}

/// Opens the data folder and starts the thread.
///
/// Returns access to the thread and the number of the replica.
///
/// # Errors
///
/// When the settings name no data folder, or when it cannot be used.
pub(super) fn start(settings: &Settings, clock: Clock) -> io::Result<(Handle, u64)> {
    let missing = || io::Error::other("a control replica needs a data folder");
    let folder = &settings.replica.as_ref().ok_or_else(missing)?.data;
    let is_first = settings.first_start && settings.seeds.contains(&settings.link);
    let (id, is_new) = load_id(folder, is_first.then(|| seed_id(settings.link)))?;
    let members: Vec<u64> = if is_first {
        settings.seeds.iter().copied().map(seed_id).collect()
    } else {
        Vec::new()
    };
    let setup = Setup {
        id,
        folder: folder.clone(),
        members,
    };
    let (inbox, inputs) = mpsc::channel();
    let handle = Handle {
        inbox,
        status: Arc::default(),
        status_changed: Arc::default(),
        outbox: Arc::default(),
        stop: Arc::default(),
    };
    info!(
        event = "replica",
        replica = id,
        is_new,
        first_group = setup.members.len()
    );
    let worker = open(&setup, &handle, clock)?;
    thread::Builder::new()
        .name("replica".to_owned())
        .spawn(move || run_until_stopped(worker, &setup, &inputs))?;
    Ok((handle, id))
}

/// Runs a worker, and another one after each failed write, until the process ends.
fn run_until_stopped(mut worker: Worker, setup: &Setup, inputs: &mpsc::Receiver<Input>) {
    while worker.run(inputs) == Exit::Failed {
        let (handle, clock) = (worker.handle.clone(), worker.clock);
        // Gives up the lock on the data folder, which is opened again.
        drop(worker);
        let Some(next) = reopen(setup, &handle, clock, inputs) else {
            return;
        };
        worker = next;
    }
}

/// Opens the data folder after a failed write, and tries again until that
/// succeeds. Returns `None` if the process ends meanwhile.
fn reopen(
    setup: &Setup,
    handle: &Handle,
    clock: Clock,
    inputs: &mpsc::Receiver<Input>,
) -> Option<Worker> {
    loop {
        thread::sleep(REOPEN_DELAY);
        if handle.stop.load(Ordering::Relaxed) {
            return None;
        }
        match open(setup, handle, clock) {
            Ok(worker) => return Some(worker),
            Err(error) => error!(event = "storage-unusable", error = %error),
        }
        refuse_all(inputs);
    }
}

/// Refuses the calls that came while the data folder could not be used, and drops
/// the messages.
fn refuse_all(inputs: &mpsc::Receiver<Input>) {
    for input in inputs.try_iter() {
        match input {
            Input::Propose { reply, .. } | Input::Members { reply, .. } => {
                // The caller may no longer wait.
                let _ = reply.send(Proposed::NotLeader);
            }
            Input::Confirm { reply } => answer_all(vec![reply], false),
            Input::Message { .. } | Input::ConfirmRequest { .. } | Input::Confirmed { .. } => {}
        }
    }
}

/// Restores a replica from its data folder.
fn open(setup: &Setup, handle: &Handle, clock: Clock) -> io::Result<Worker> {
    let (storage, restored) = Storage::open(&setup.folder).map_err(io::Error::other)?;
    let state = match &restored.snapshot {
        Some(snapshot) => State::decode(&snapshot.data).map_err(io::Error::other)?,
        None => State::default(),
    };
    let applied = restored.snapshot.as_ref().map_or(0, |s| s.index.get());
    info!(
        event = "storage-open",
        replica = setup.id,
        applied,
        entries = restored.entries.len()
    );
    let links = registered_links(&restored.entries);
    let last = restored.entries.last().map_or(0, |entry| entry.index.get());
    let members = setup.members.iter().copied().map(Replica::new);
    let config = Config::new(Replica::new(setup.id), members)
        .heartbeat_interval(HEARTBEAT_INTERVAL)
        .election_timeout(ELECTION_TIMEOUT)
        .max_command_bytes(MAX_ENTRY_BYTES)
        .retained_entries(RETAINED_ENTRIES)
        .retained_bytes(RETAINED_BYTES)
        .seed(setup.id ^ crate::host::session());
    let raft = Raft::new(config, restored, clock.now());
    *write(&handle.status) = Status {
        state,
        applied,
        unapplied_links: links,
        ..Status::default()
    };
    Ok(Worker {
        id: setup.id,
        clock,
        raft,
        storage,
        handle: handle.clone(),
        last_ticket: 0,
        waiting: HashMap::new(),
        replies: BTreeMap::new(),
        snapshot_index: applied,
        applied_bytes: 0,
        restored_index: last,
        lead_from: None,
        confirmation: Confirmation::default(),
        failed: false,
    })
}

/// The link addresses in those entries that register a replica.
fn registered_links(entries: &[Entry]) -> BTreeSet<SocketAddr> {
    let commands = entries.iter().filter_map(|entry| match &entry.payload {
        // An entry that cannot be decoded is logged when it is applied.
        Payload::Data(data) => postcard::from_bytes::<Command>(data).ok(),
        _ => None,
    });
    commands
        .filter_map(|command| match command {
            Command::Register { peer_address, .. } => Some(peer_address),
            _ => None,
        })
        .collect()
}

/// Why [`Worker::run`] has returned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Exit {
    /// The process is ending.
    Stopped,
    /// A write to disk has failed.
    Failed,
}

/// Reads the number of this replica from its folder, or creates one: `first` if
/// it is given, otherwise a random number. Returns whether the number is new.
///
/// A replica whose folder was lost must not get its old number back. It no longer
/// knows its votes, and could vote twice in one term.
fn load_id(folder: &Path, first: Option<u64>) -> io::Result<(u64, bool)> {
    fs::create_dir_all(folder)?;
    let path = folder.join(ID_FILE);
    match fs::read_to_string(&path) {
        Ok(text) => {
            if let Ok(id) = text.trim().parse() {
                return Ok((id, false));
            }
            // The file is torn, so it was never synced, and the replica has never
            // voted under this number.
            warn!(event = "identity-unreadable", bytes = text.len());
        }
        Err(error) if error.kind() == io::ErrorKind::NotFound => {}
        Err(error) => return Err(error),
    }
    let id = first.unwrap_or_else(|| rand::random::<u64>() >> 2);
    let temporary = folder.join("replica.new");
    fs::write(&temporary, id.to_string())?;
    fs::File::open(&temporary)?.sync_all()?;
    fs::rename(&temporary, &path)?;
    fs::File::open(folder)?.sync_all()?;
    Ok((id, true))
}

impl Worker {
    /// Handles inputs until the process ends or a write fails.
    fn run(&mut self, inputs: &mpsc::Receiver<Input>) -> Exit {
        loop {
            let first = match inputs.recv_timeout(TICK_INTERVAL) {
                Ok(input) => Some(input),
                Err(mpsc::RecvTimeoutError::Timeout) => None,
                Err(mpsc::RecvTimeoutError::Disconnected) => return Exit::Stopped,
            };
            if self.handle.stop.load(Ordering::Relaxed) {
                return Exit::Stopped;
            }
            let mut steps = Vec::new();
            for input in first.into_iter().chain(inputs.try_iter()) {
                steps.extend(self.input(input));
            }
            steps.push(Step::Tick);
            let mut outputs = Vec::new();
            self.raft.step_batch(self.clock.now(), steps, &mut outputs);
            self.execute(outputs);
            if self.failed {
                return Exit::Failed;
            }
            self.advance_confirmation();
            self.publish_status();
        }
    }

    /// Converts an input to a step of the consensus; `None` if it needs none.
    fn input(&mut self, input: Input) -> Option<Step> {
        match input {
            Input::Message { from, message } => Some(Step::Message {
                from: Replica::new(from),
                message,
            }),
            Input::Propose { command, reply } => {
                let data = match postcard::to_stdvec(&*command) {
                    Ok(data) => data,
                    Err(error) => {
                        error!(event = "command-unencodable", error = %error);
                        let _ = reply.send(Proposed::NotLeader);
                        return None;
                    }
                };
                let ticket = self.add_waiter(reply);
                Some(Step::Propose {
                    ticket,
                    data: data.into(),
                })
            }
            Input::Members { members, reply } => {
                let ticket = self.add_waiter(reply);
                let members = members.into_iter().map(Replica::new).collect();
                Some(Step::ChangeMembers { ticket, members })
            }
            Input::Confirm { reply } => {
                self.confirmation.next.push(reply);
                None
            }
            Input::ConfirmRequest { from, term, round } => {
                let follows = self.raft.leader() == Some(Replica::new(from));
                if self.raft.term().get() == term && follows {
                    let own_id = self.id;
                    let frame = Frame::Confirmed {
                        from: own_id,
                        term,
                        round,
                    };
                    self.send(from, frame);
                }
                None
            }
            Input::Confirmed { from, term, round } => {
                let current = self.raft.term().get() == term && self.confirmation.round == round;
                if current && self.raft.role() == Role::Leader {
                    self.confirmation.granted.insert(from);
                }
                None
            }
        }
    }

    /// Registers a caller that waits for a result, and returns a new ticket.
    fn add_waiter(&mut self, reply: oneshot::Sender<Proposed>) -> u64 {
        self.last_ticket += 1;
        self.waiting.insert(self.last_ticket, reply);
        self.last_ticket
    }

    /// Ends the round of confirmation when it has a majority or its time is over,
    /// and starts the next one if there are calls for it.
    fn advance_confirmation(&mut self) {
        let now = self.clock.now();
        let leads = self.raft.role() == Role::Leader && self.lead_from.is_none();
        if !leads {
            let confirmation = std::mem::take(&mut self.confirmation);
            self.confirmation.round = confirmation.round;
            answer_all(confirmation.waiting, false);
            answer_all(confirmation.next, false);
            return;
        }
        let members = self.raft.members().to_vec();
        let granted =
            self.confirmation.granted.len() + usize::from(members.contains(&Replica::new(self.id)));
        let waits = !self.confirmation.waiting.is_empty();
        if waits && granted > members.len() / 2 {
            answer_all(std::mem::take(&mut self.confirmation.waiting), true);
        } else if waits && now.saturating_sub(self.confirmation.started_at) > CONFIRM_TIMEOUT {
            answer_all(std::mem::take(&mut self.confirmation.waiting), false);
        }
        if self.confirmation.waiting.is_empty() && !self.confirmation.next.is_empty() {
            self.confirmation.waiting = std::mem::take(&mut self.confirmation.next);
            self.confirmation.round += 1;
            self.confirmation.granted.clear();
            self.confirmation.started_at = now;
            if members == [Replica::new(self.id)] {
                answer_all(std::mem::take(&mut self.confirmation.waiting), true);
                return;
            }
            let frame = Frame::Confirm {
                from: self.id,
                term: self.raft.term().get(),
                round: self.confirmation.round,
            };
            for member in members {
                if member.get() != self.id {
                    self.send(member.get(), frame.clone());
                }
            }
        }
    }

    fn send(&self, to: u64, frame: Frame) {
        if let Some(outbox) = &*read(&self.handle.outbox) {
            // The receiver lives as long as the process, so this cannot fail
            // before it ends.
            let _ = outbox.send((to, frame));
        }
    }

    /// Executes outputs in order. After a failed write the rest is dropped, as
    /// messages among it may acknowledge entries that are not on disk.
    fn execute(&mut self, outputs: Vec<Output>) {
        let mut queue = VecDeque::from(outputs);
        while let Some(output) = queue.pop_front() {
            match output {
                Output::Persist(change) => {
                    if let Err(error) = self.storage.persist(&change) {
                        error!(event = "storage-failed", error = %error);
                        self.fail();
                        return;
                    }
                }
                Output::Send { to, message } => {
                    let from = self.id;
                    self.send(to.get(), Frame::Raft { from, message });
                }
                Output::Apply(entries) => queue.extend(self.apply(&entries)),
                Output::Restore(snapshot) => self.restore(&snapshot),
                Output::Committed { ticket, index } => self.committed(ticket, index),
                Output::Dropped { ticket, reason, .. } => {
                    let result = if reason.is_outcome_unknown() {
                        Proposed::Unknown
                    } else {
                        Proposed::NotLeader
                    };
                    if let Some(reply) = self.waiting.remove(&ticket) {
                        let _ = reply.send(result);
                    }
                }
                Output::Role { role, term, leader } => {
                    info!(
                        event = "role",
                        replica = self.id,
                        role = role.as_str(),
                        term = term.get(),
                        leader = leader.map_or(0, Replica::get)
                    );
                    // The only replica of a group has applied the first entry of
                    // its term by now, and leads at once.
                    let applied = read(&self.handle.status).applied;
                    let last = self.raft.last_index();
                    let waits = role == Role::Leader && applied < last.get();
                    self.lead_from = waits.then_some(last);
                }
            }
        }
    }

    /// Ends the worker after a failed write. What is on the disk is not known then,
    /// so the replica restarts from what it can read back.
    fn fail(&mut self) {
        self.failed = true;
        let mut status = write(&self.handle.status);
        status.leading = false;
        status.leader = None;
        drop(status);
        for (_, reply) in self.waiting.drain() {
            // The caller may no longer wait.
            let _ = reply.send(Proposed::Unknown);
        }
        answer_all(std::mem::take(&mut self.confirmation.waiting), false);
        answer_all(std::mem::take(&mut self.confirmation.next), false);
        self.handle.status_changed.notify_one();
    }

    /// Applies committed entries to the state machine, and takes a snapshot if one
    /// is due.
    fn apply(&mut self, entries: &[Entry]) -> Vec<Output> {
        let mut status = write(&self.handle.status);
        for entry in entries {
            self.applied_bytes += entry.payload.size();
            if let Payload::Data(data) = &entry.payload {
                match postcard::from_bytes::<Command>(data) {
                    Ok(command) => {
                        let reply = status.state.apply(entry.index.get(), command);
                        self.replies.insert(entry.index, reply);
                    }
                    Err(error) => {
                        error!(event = "command-undecodable", index = entry.index.get(), error = %error);
                    }
                }
            }
            status.applied = entry.index.get();
        }
        let applied = status.applied;
        let due = applied.saturating_sub(self.snapshot_index) >= SNAPSHOT_INTERVAL_ENTRIES
            || self.applied_bytes >= SNAPSHOT_INTERVAL_BYTES;
        let data = due.then(|| status.state.encode());
        drop(status);
        if self.lead_from.is_some_and(|from| applied >= from.get()) {
            self.lead_from = None;
        }
        let mut outputs = Vec::new();
        match data {
            Some(Ok(data)) => {
                self.snapshot_index = applied;
                self.applied_bytes = 0;
                let step = Step::Compact {
                    index: Index::new(applied),
                    data: data.into(),
                };
                self.raft.step(self.clock.now(), step, &mut outputs);
                info!(event = "snapshot", index = applied);
            }
            Some(Err(error)) => error!(event = "snapshot-unencodable", error = %error),
            None => {}
        }
        outputs
    }

    /// Replaces the state by a snapshot that the leader has sent.
    fn restore(&mut self, snapshot: &Snapshot) {
        match State::decode(&snapshot.data) {
            Ok(state) => {
                let mut status = write(&self.handle.status);
                status.state = state;
                status.applied = snapshot.index.get();
                self.snapshot_index = snapshot.index.get();
                self.applied_bytes = 0;
            }
            Err(error) => error!(event = "snapshot-undecodable", error = %error),
        }
    }

    /// Reports the result of a proposal whose entry has been applied.
    fn committed(&mut self, ticket: u64, index: Index) {
        let later = self.replies.split_off(&index.next());
        let reply = self.replies.remove(&index);
        self.replies = later;
        if let Some(waiting) = self.waiting.remove(&ticket) {
            let _ = waiting.send(Proposed::Applied(reply.unwrap_or(Reply::Done)));
        }
    }

    /// Updates the status, and notifies the waiting task if anything has changed.
    fn publish_status(&mut self) {
        let leading = self.raft.role() == Role::Leader && self.lead_from.is_none();
        let leader = self.raft.leader().map(Replica::get);
        let term = self.raft.term().get();
        let members: Vec<u64> = self.raft.members().iter().map(|r| r.get()).collect();
        let mut status = write(&self.handle.status);
        if status.applied >= self.restored_index {
            // These entries are all applied, so the state has their addresses.
            status.unapplied_links.clear();
        }
        let changed = status.leading != leading
            || status.leader != leader
            || status.term != term
            || status.members != members
            || status.notified != status.applied;
        status.leading = leading;
        status.leader = leader;
        status.term = term;
        status.members = members;
        status.notified = status.applied;
        drop(status);
        if changed {
            self.handle.status_changed.notify_one();
        }
    }
}

/// Answers all waiting calls of [`Handle::confirm`].
fn answer_all(waiting: Vec<oneshot::Sender<bool>>, leads: bool) {
    for reply in waiting {
        // The caller may no longer wait.
        let _ = reply.send(leads);
    }
}
