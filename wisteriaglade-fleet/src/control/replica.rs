//! The thread that drives the consensus.
//!
//! Writes to the disk block, so the consensus has a thread of its own: a disk
//! that stalls delays no heartbeat of a target and no request.

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

use super::{board::Board, seed_id};
use crate::{Settings, frame::Frame, read, write};

/// The resolution of the consensus timers.
const TICK: Duration = Duration::from_millis(25);

/// The interval of heartbeats. Each costs a message to every replica.
const HEARTBEAT: Duration = Duration::from_millis(120);

/// Five missed heartbeats; a shorter time would elect during a slow sync.
const ELECTION: std::ops::Range<Duration> = Duration::from_millis(600)..Duration::from_secs(1);

/// Applied entries after which a snapshot is taken.
const SNAPSHOT: u64 = 512;

/// Entries before a snapshot that stay in memory for slow replicas.
const RETAIN: usize = 64;

/// The largest entry: a plan with thousands of rules and its text.
const ENTRY: usize = 4 * 1024 * 1024;

/// The file with the number of this replica.
const IDENTITY: &str = "replica";

/// How long a round of confirmations may take before it counts as failed.
const CONFIRM: Duration = Duration::from_millis(800);

/// The pause before a disk that refused a write is tried again.
const REST: Duration = Duration::from_millis(400);

/// What the thread is told.
#[derive(Debug)]
pub(super) enum Input {
    /// A message of another replica.
    Message { from: u64, message: Message },
    /// A command for the log.
    Propose {
        command: Box<Command>,
        reply: oneshot::Sender<Proposed>,
    },
    /// Changes the group by one replica.
    Members {
        members: Vec<u64>,
        reply: oneshot::Sender<Proposed>,
    },
    /// Asks whether this replica still leads.
    Confirm { reply: oneshot::Sender<bool> },
    /// A leader asks whether this replica follows it.
    Asked { from: u64, term: u64, round: u64 },
    /// A replica follows this leader.
    Confirmed { from: u64, term: u64, round: u64 },
}

/// What became of a proposal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Proposed {
    /// It was applied.
    Applied(Reply),
    /// It was not appended.
    NotLeader,
    /// It may or may not be applied later.
    Unknown,
}

/// Takes frames for other replicas.
pub(super) type Outbox = tokio::sync::mpsc::UnboundedSender<(u64, Frame)>;

/// Access to the thread.
#[derive(Debug, Clone)]
pub(super) struct Handle {
    inbox: mpsc::Sender<Input>,
    board: Arc<RwLock<Board>>,
    change: Arc<Notify>,
    outbox: Arc<RwLock<Option<Outbox>>>,
    pub(super) stop: Arc<AtomicBool>,
}

impl Handle {
    /// What the replica knows.
    pub(super) fn board(&self) -> RwLockReadGuard<'_, Board> {
        read(&self.board)
    }

    /// Waits until the replica knows something new.
    pub(super) async fn changed(&self) {
        self.change.notified().await;
    }

    /// Where messages to other replicas go.
    pub(super) fn attach(&self, outbox: Outbox) {
        *write(&self.outbox) = Some(outbox);
    }

    /// Tells the thread something.
    pub(super) fn tell(&self, input: Input) {
        // The thread ends only with the process or after a panic, which its
        // own message reports.
        let _ = self.inbox.send(input);
    }

    /// Appends a command and waits until it is applied.
    pub(super) async fn propose(&self, command: Command) -> Proposed {
        let (reply, result) = oneshot::channel();
        let command = Box::new(command);
        self.tell(Input::Propose { command, reply });
        result.await.unwrap_or(Proposed::Unknown)
    }

    /// Changes the group and waits until the change is in force.
    pub(super) async fn change(&self, members: Vec<u64>) -> Proposed {
        let (reply, result) = oneshot::channel();
        self.tell(Input::Members { members, reply });
        result.await.unwrap_or(Proposed::Unknown)
    }

    /// Whether this replica led at some moment after the call began.
    pub(super) async fn confirm(&self) -> bool {
        let (reply, result) = oneshot::channel();
        self.tell(Input::Confirm { reply });
        result.await.unwrap_or(false)
    }
}

/// Questions to the other replicas whether this one still leads.
#[derive(Debug, Default)]
struct Confirmation {
    round: u64,
    /// Who asks next time.
    next: Vec<oneshot::Sender<bool>>,
    /// Who waits for the current round.
    waiting: Vec<oneshot::Sender<bool>>,
    granted: BTreeSet<u64>,
    since: Duration,
}

struct Worker {
    id: u64,
    clock: Clock,
    raft: Raft,
    storage: Storage,
    handle: Handle,
    ticket: u64,
    waiting: HashMap<u64, oneshot::Sender<Proposed>>,
    replies: BTreeMap<Index, Reply>,
    snapshot: u64,
    /// The last entry that was read back at the start.
    restored: u64,
    /// This replica leads once it has applied this entry.
    lead_from: Option<Index>,
    confirmation: Confirmation,
    /// Whether a write has failed.
    failed: bool,
}

/// Where a replica keeps its files, and its first group.
#[derive(Debug)]
struct Place {
    id: u64,
    folder: PathBuf,
    members: Vec<u64>,
}

/// Opens the data folder and starts the thread.
///
/// Returns access to it and the number of the replica.
///
/// # Errors
///
/// When the folder cannot be used.
pub(super) fn start(settings: &Settings, clock: Clock) -> io::Result<(Handle, u64)> {
    let missing = || io::Error::other("a control replica needs a data folder");
    let folder = &settings.replica.as_ref().ok_or_else(missing)?.data;
    let is_first = settings.first_start && settings.seeds.contains(&settings.link);
    let (id, is_new) = identity(folder, is_first.then(|| seed_id(settings.link)))?;
    let members: Vec<u64> = if is_first {
        settings.seeds.iter().copied().map(seed_id).collect()
    } else {
        Vec::new()
    };
    let place = Place {
        id,
        folder: folder.clone(),
        members,
    };
    let (inbox, inputs) = mpsc::channel();
    let handle = Handle {
        inbox,
        board: Arc::default(),
        change: Arc::default(),
        outbox: Arc::default(),
        stop: Arc::default(),
    };
    info!(
        event = "replica",
        replica = id,
        is_new,
        first_group = place.members.len()
    );
    let mut worker = open(&place, &handle, clock)?;
    let shown = handle.clone();
    thread::Builder::new()
        .name("replica".to_owned())
        .spawn(move || {
            while worker.run(&inputs) == Ended::Failed {
                worker = reopen(&place, &shown, clock);
            }
        })?;
    Ok((handle, id))
}

/// Reads the data folder again until it can be used.
fn reopen(place: &Place, handle: &Handle, clock: Clock) -> Worker {
    loop {
        thread::sleep(REST);
        match open(place, handle, clock) {
            Ok(worker) => return worker,
            Err(error) => error!(event = "storage-unusable", error = %error),
        }
    }
}

/// A replica that continues from its data folder.
fn open(place: &Place, handle: &Handle, clock: Clock) -> io::Result<Worker> {
    let (storage, restored) = Storage::open(&place.folder).map_err(io::Error::other)?;
    let state = match &restored.snapshot {
        Some(snapshot) => State::decode(&snapshot.data).map_err(io::Error::other)?,
        None => State::default(),
    };
    let applied = restored.snapshot.as_ref().map_or(0, |s| s.index.get());
    info!(
        event = "storage-open",
        replica = place.id,
        applied,
        entries = restored.entries.len()
    );
    let links = links(&restored.entries);
    let last = restored.entries.last().map_or(0, |entry| entry.index.get());
    let members = place.members.iter().copied().map(Replica::new);
    let config = Config::new(Replica::new(place.id), members)
        .heartbeat(HEARTBEAT)
        .election(ELECTION)
        .entry(ENTRY)
        .retain(RETAIN)
        .seed(place.id ^ crate::host::session());
    let raft = Raft::new(config, restored, clock.now());
    *write(&handle.board) = Board {
        state,
        applied,
        restored: links,
        ..Board::default()
    };
    Ok(Worker {
        id: place.id,
        clock,
        raft,
        storage,
        handle: handle.clone(),
        ticket: 0,
        waiting: HashMap::new(),
        replies: BTreeMap::new(),
        snapshot: applied,
        restored: last,
        lead_from: None,
        confirmation: Confirmation::default(),
        failed: false,
    })
}

/// Where replicas take links according to entries of the log.
fn links(entries: &[Entry]) -> BTreeSet<SocketAddr> {
    let commands = entries.iter().filter_map(|entry| match &entry.payload {
        // What cannot be read is reported when it is applied.
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

/// Why a replica's thread has ended its work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Ended {
    /// The process ends.
    Stopped,
    /// A write has failed.
    Failed,
}

/// The number of this replica: the one in its folder, or a new one.
///
/// A folder that was lost must not bring the old number back: the replica
/// would have forgotten its votes.
fn identity(folder: &Path, first: Option<u64>) -> io::Result<(u64, bool)> {
    fs::create_dir_all(folder)?;
    let path = folder.join(IDENTITY);
    match fs::read_to_string(&path) {
        Ok(text) => {
            if let Ok(id) = text.trim().parse() {
                return Ok((id, false));
            }
            // A torn file: it was never synced, so the replica never took part.
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
    fn run(&mut self, inputs: &mpsc::Receiver<Input>) -> Ended {
        loop {
            let first = match inputs.recv_timeout(TICK) {
                Ok(input) => Some(input),
                Err(mpsc::RecvTimeoutError::Timeout) => None,
                Err(mpsc::RecvTimeoutError::Disconnected) => return Ended::Stopped,
            };
            if self.handle.stop.load(Ordering::Relaxed) {
                return Ended::Stopped;
            }
            let mut steps = Vec::new();
            for input in first.into_iter().chain(inputs.try_iter()) {
                steps.extend(self.input(input));
            }
            steps.push(Step::Tick);
            let mut outputs = Vec::new();
            self.raft.batch(self.clock.now(), steps, &mut outputs);
            self.execute(outputs);
            if self.failed {
                return Ended::Failed;
            }
            self.ask();
            self.publish();
        }
    }

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
                let ticket = self.wait(reply);
                Some(Step::Propose {
                    ticket,
                    data: data.into(),
                })
            }
            Input::Members { members, reply } => {
                let ticket = self.wait(reply);
                let members = members.into_iter().map(Replica::new).collect();
                Some(Step::Members { ticket, members })
            }
            Input::Confirm { reply } => {
                self.confirmation.next.push(reply);
                None
            }
            Input::Asked { from, term, round } => {
                let follows = self.raft.leader() == Some(Replica::new(from));
                if self.raft.term().get() == term && follows {
                    let from_here = self.id;
                    let frame = Frame::Confirmed {
                        from: from_here,
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

    fn wait(&mut self, reply: oneshot::Sender<Proposed>) -> u64 {
        self.ticket += 1;
        self.waiting.insert(self.ticket, reply);
        self.ticket
    }

    /// Asks the other replicas and answers those who wait for the answer.
    fn ask(&mut self) {
        let now = self.clock.now();
        let leads = self.raft.role() == Role::Leader && self.lead_from.is_none();
        if !leads {
            let confirmation = std::mem::take(&mut self.confirmation);
            self.confirmation.round = confirmation.round;
            answer(confirmation.waiting, false);
            answer(confirmation.next, false);
            return;
        }
        let members = self.raft.members().to_vec();
        let granted =
            self.confirmation.granted.len() + usize::from(members.contains(&Replica::new(self.id)));
        let waits = !self.confirmation.waiting.is_empty();
        if waits && granted > members.len() / 2 {
            answer(std::mem::take(&mut self.confirmation.waiting), true);
        } else if waits && now.saturating_sub(self.confirmation.since) > CONFIRM {
            answer(std::mem::take(&mut self.confirmation.waiting), false);
        }
        if self.confirmation.waiting.is_empty() && !self.confirmation.next.is_empty() {
            self.confirmation.waiting = std::mem::take(&mut self.confirmation.next);
            self.confirmation.round += 1;
            self.confirmation.granted.clear();
            self.confirmation.since = now;
            if members == [Replica::new(self.id)] {
                answer(std::mem::take(&mut self.confirmation.waiting), true);
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
            // The receiver lives as long as the process.
            let _ = outbox.send((to, frame));
        }
    }

    /// Carries out outputs in order. After a failed write the rest is dropped,
    /// since it may promise what is not on disk.
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
                    let result = if reason.is_unknown() {
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
                    // A replica that is alone has applied its first entry by now.
                    let applied = read(&self.handle.board).applied;
                    let last = self.raft.last();
                    let waits = role == Role::Leader && applied < last.get();
                    self.lead_from = waits.then_some(last);
                }
            }
        }
    }

    /// Notes that a write failed. What the disk holds is unknown then, so the
    /// replica starts again from what it can read back.
    fn fail(&mut self) {
        self.failed = true;
        let mut board = write(&self.handle.board);
        board.leading = false;
        board.leader = None;
        drop(board);
        for (_, reply) in self.waiting.drain() {
            // Who proposed may have given up.
            let _ = reply.send(Proposed::Unknown);
        }
        answer(std::mem::take(&mut self.confirmation.waiting), false);
        answer(std::mem::take(&mut self.confirmation.next), false);
        self.handle.change.notify_one();
    }

    fn apply(&mut self, entries: &[Entry]) -> Vec<Output> {
        let mut board = write(&self.handle.board);
        for entry in entries {
            if let Payload::Data(data) = &entry.payload {
                match postcard::from_bytes::<Command>(data) {
                    Ok(command) => {
                        let reply = board.state.apply(entry.index.get(), command);
                        self.replies.insert(entry.index, reply);
                    }
                    Err(error) => {
                        error!(event = "command-undecodable", index = entry.index.get(), error = %error);
                    }
                }
            }
            board.applied = entry.index.get();
        }
        let applied = board.applied;
        let due = applied.saturating_sub(self.snapshot) >= SNAPSHOT;
        let data = due.then(|| board.state.encode());
        drop(board);
        if self.lead_from.is_some_and(|from| applied >= from.get()) {
            self.lead_from = None;
        }
        let mut outputs = Vec::new();
        match data {
            Some(Ok(data)) => {
                self.snapshot = applied;
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

    fn restore(&mut self, snapshot: &Snapshot) {
        match State::decode(&snapshot.data) {
            Ok(state) => {
                let mut board = write(&self.handle.board);
                board.state = state;
                board.applied = snapshot.index.get();
                self.snapshot = snapshot.index.get();
            }
            Err(error) => error!(event = "snapshot-undecodable", error = %error),
        }
    }

    fn committed(&mut self, ticket: u64, index: Index) {
        let later = self.replies.split_off(&index.next());
        let reply = self.replies.remove(&index);
        self.replies = later;
        if let Some(waiting) = self.waiting.remove(&ticket) {
            let _ = waiting.send(Proposed::Applied(reply.unwrap_or(Reply::Done)));
        }
    }

    /// Shows what has changed.
    fn publish(&mut self) {
        let leading = self.raft.role() == Role::Leader && self.lead_from.is_none();
        let leader = self.raft.leader().map(Replica::get);
        let term = self.raft.term().get();
        let members: Vec<u64> = self.raft.members().iter().map(|r| r.get()).collect();
        let mut board = write(&self.handle.board);
        if board.applied >= self.restored {
            // The state has all that they say.
            board.restored.clear();
        }
        let changed = board.leading != leading
            || board.leader != leader
            || board.term != term
            || board.members != members
            || board.announced != board.applied;
        board.leading = leading;
        board.leader = leader;
        board.term = term;
        board.members = members;
        board.announced = board.applied;
        drop(board);
        if changed {
            self.handle.change.notify_one();
        }
    }
}

fn answer(waiting: Vec<oneshot::Sender<bool>>, leads: bool) {
    for reply in waiting {
        // Who asked may have given up.
        let _ = reply.send(leads);
    }
}
