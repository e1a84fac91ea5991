//! The thread that runs the consensus algorithm, the state machine and the
//! planner of a replica.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    path::PathBuf,
    sync::{Arc, RwLock, mpsc},
    thread,
    time::Duration,
};

use tokio::sync::{mpsc as tokio_mpsc, oneshot, watch};
use tracing::{error, info, warn};
use wisteriaglade_consensus::{
    Change, Config, Entry, Input as RaftInput, Output, Payload, Raft, Replica, Role,
    storage::Storage,
};
use wisteriaglade_control::{
    Command, State,
    planner::{self, Planner},
};
use wisteriaglade_types::{Index, Node};

use super::{Error, Handle, Input, Result, Status};
use wisteriaglade_wire::Clock;

use crate::{message::Proposed, read, view::decode_command, write};

/// The longest wait for an input, which is the resolution of the consensus
/// timers.
const TICK: Duration = Duration::from_millis(10);

/// The shortest interval between two ticks of the planner. A tick visits all
/// nodes, while the renewals of 3,600 nodes wake the thread thousands of times
/// a second.
const PLAN_INTERVAL: Duration = Duration::from_millis(5);

/// The number of further inputs that are handled in one iteration, which ends
/// by publishing the replica's state.
const MAX_BATCH_INPUTS: usize = 256;

/// The time from which a write to the disk is logged as slow. The leader sends no
/// heartbeats meanwhile, and followers start an election after 500 ms.
const SLOW_SYNC: Duration = Duration::from_millis(100);

/// The number of applied entries after which a snapshot is taken. It bounds
/// the size of the log on disk and the time to read it at startup.
const SNAPSHOT_ENTRIES: u64 = 1_024;

/// The largest number of committed entries in one answer to a subscriber.
const MAX_READ_ENTRIES: usize = 512;

/// The options of a replica.
#[derive(Debug)]
pub(crate) struct Options {
    /// The id of this replica.
    pub(crate) id: u64,
    /// The ids of all control replicas, including this one.
    pub(crate) members: Vec<u64>,
    /// The data directory.
    pub(crate) data: PathBuf,
    /// The seed of the random election timeouts.
    pub(crate) seed: u64,
    /// The configuration for a new cluster.
    pub(crate) state: wisteriaglade_control::Config,
    pub(crate) planner: planner::Config,
    pub(crate) clock: Clock,
    /// The queues of messages to the other replicas, by id.
    pub(crate) outbox: HashMap<u64, tokio_mpsc::Sender<wisteriaglade_consensus::Message>>,
}

/// The state of the thread.
struct Worker {
    clock: Clock,
    raft: Raft,
    storage: Storage,
    planner: Planner,
    /// The configuration that this replica proposes when it leads a new
    /// cluster.
    config: wisteriaglade_control::Config,
    outbox: HashMap<u64, tokio_mpsc::Sender<wisteriaglade_consensus::Message>>,
    status: Arc<RwLock<Status>>,
    /// Receives the nodes whose fences are applied while this replica leads.
    fenced: tokio_mpsc::UnboundedSender<Node>,
    commit: watch::Sender<Index>,
    /// The number of the latest proposal.
    ticket: u64,
    /// Proposals without an outcome, by ticket.
    proposals: HashMap<u64, Proposer>,
    /// The replies of applied commands, by index, until the consensus reports
    /// their proposals as committed.
    replies: BTreeMap<Index, wisteriaglade_control::Reply>,
    /// The index of the latest snapshot.
    snapshot_index: Index,
    /// The index whose application makes this replica lead. Set from its
    /// election until then.
    lead_from: Option<Index>,
    /// Whether the planner runs here.
    leading: bool,
    /// When the planner last had a tick.
    planned_at: Duration,
}

/// Receives the outcome of a proposal. `None` for a proposal of the planner.
type Proposer = Option<oneshot::Sender<Proposed>>;

/// Opens the data directory and starts the thread.
///
/// The returned receiver gets every node whose fence is applied while this
/// replica leads, and all fenced nodes when it begins to lead.
///
/// # Errors
///
/// Returns an error when the data directory cannot be used, its snapshot
/// cannot be decoded or the thread cannot be started.
pub(crate) fn start(options: Options) -> Result<(Handle, tokio_mpsc::UnboundedReceiver<Node>)> {
    let (storage, restored) = Storage::open(&options.data).map_err(Error::Storage)?;
    let state = match &restored.snapshot {
        Some(snapshot) => {
            State::decode(&snapshot.data).map_err(|error| Error::Snapshot(error.to_string()))?
        }
        None => State::new(wisteriaglade_control::Config::default()),
    };
    let applied = restored
        .snapshot
        .as_ref()
        .map_or_else(Index::default, |snapshot| snapshot.index);
    let mut fences = BTreeMap::new();
    insert_fences(&mut fences, &restored.entries);
    let status = Arc::new(RwLock::new(Status {
        state,
        applied,
        commit: applied,
        term: 0,
        leader: None,
        leading: false,
        leader_contact: None,
        fences,
        storage_failed: false,
    }));
    let config = Config::new(
        Replica::new(options.id),
        options.members.iter().copied().map(Replica::new),
    )
    .seed(options.seed)
    .fixed_ids(true);
    let raft = Raft::new(config, restored, options.clock.now());
    let (commit, commits) = watch::channel(applied);
    let (inbox, inputs) = mpsc::channel();
    let (sender, receiver) = tokio_mpsc::unbounded_channel();
    let worker = Worker {
        clock: options.clock,
        raft,
        storage,
        planner: Planner::new(options.planner),
        config: options.state,
        outbox: options.outbox,
        status: Arc::clone(&status),
        fenced: sender,
        commit,
        ticket: 0,
        proposals: HashMap::new(),
        replies: BTreeMap::new(),
        snapshot_index: applied,
        lead_from: None,
        leading: false,
        planned_at: Duration::ZERO,
    };
    thread::Builder::new()
        .name("control-replica".to_owned())
        .spawn(move || worker.run(&inputs))
        .map_err(Error::Thread)?;
    let handle = Handle {
        id: options.id,
        inbox,
        status,
        acknowledgements: Arc::default(),
        cached_snapshot: Arc::default(),
        commit: commits,
    };
    Ok((handle, receiver))
}

impl Worker {
    /// Handles inputs in batches until a stop is requested or the process
    /// drops its handles.
    fn run(mut self, inputs: &mpsc::Receiver<Input>) {
        loop {
            let first = match inputs.recv_timeout(TICK) {
                Ok(input) => Some(input),
                Err(mpsc::RecvTimeoutError::Timeout) => None,
                Err(mpsc::RecvTimeoutError::Disconnected) => return,
            };
            let mut steps = Vec::new();
            let mut commands = Vec::new();
            let more = inputs.try_iter().take(MAX_BATCH_INPUTS);
            for input in first.into_iter().chain(more) {
                if matches!(input, Input::Stop) {
                    return;
                }
                steps.extend(self.input(input, &mut commands));
            }
            steps.push(RaftInput::Tick);
            // All proposals of a batch share one sync to disk.
            let now = self.clock.now();
            let mut outputs = Vec::new();
            self.raft.step_batch(now, steps, &mut outputs);
            self.execute(outputs);
            if now.saturating_sub(self.planned_at) >= PLAN_INTERVAL {
                self.planned_at = now;
                self.plan(now, planner::Event::Tick, &mut commands);
            }
            let outputs = self.propose_planned(commands);
            self.execute(outputs);
            self.publish();
        }
    }

    /// Handles an input that does not concern the consensus algorithm, and
    /// converts one that does. Commands of the planner are added to
    /// `commands`.
    fn input(&mut self, input: Input, commands: &mut Vec<Command>) -> Option<RaftInput> {
        match input {
            Input::Message { from, message } => Some(RaftInput::Message { from, message }),
            Input::Propose { command, reply } => Some(self.proposal(&command, Some(reply))),
            Input::Observe(event) => {
                self.plan(self.clock.now(), event, commands);
                None
            }
            Input::Read { from, reply } => {
                let entries = self
                    .raft
                    .entries(from, MAX_READ_ENTRIES)
                    .map(<[Entry]>::to_vec);
                // The subscriber may have disconnected.
                let _ = reply.send(entries);
                None
            }
            Input::Stop => None,
        }
    }

    /// Registers a proposal under a new ticket and returns the input for the
    /// consensus algorithm.
    fn proposal(&mut self, command: &Command, proposer: Proposer) -> RaftInput {
        self.ticket += 1;
        self.proposals.insert(self.ticket, proposer);
        RaftInput::Propose {
            ticket: self.ticket,
            data: postcard::to_stdvec(command).unwrap_or_default().into(),
        }
    }

    /// Passes an event to the planner, if this replica leads. The commands
    /// that it decides on are added to `commands`.
    fn plan(&mut self, now: Duration, event: planner::Event, commands: &mut Vec<Command>) {
        if self.leading {
            let status = read(&self.status);
            self.planner.step(now, event, &status.state, commands);
        }
    }

    /// Logs and proposes the commands of the planner, and returns the outputs
    /// of that step.
    fn propose_planned(&mut self, commands: Vec<Command>) -> Vec<Output> {
        let mut steps = Vec::new();
        for command in commands {
            log_planned(&command);
            steps.push(self.proposal(&command, None));
        }
        let mut outputs = Vec::new();
        if !steps.is_empty() {
            self.raft.step_batch(self.clock.now(), steps, &mut outputs);
        }
        outputs
    }

    /// Carries out outputs in order. After a failed write the rest is dropped,
    /// because it may acknowledge entries that are not on disk.
    ///
    /// Applying entries can take further steps. Their outputs are queued
    /// behind the remaining ones, because the log on disk must not have a gap.
    fn execute(&mut self, outputs: Vec<Output>) {
        let mut queue = VecDeque::from(outputs);
        while let Some(output) = queue.pop_front() {
            match output {
                Output::Persist(change) => {
                    let start = self.clock.now();
                    if let Err(error) = self.storage.persist(&change) {
                        self.fail(&error);
                        return;
                    }
                    let took = self.clock.now().saturating_sub(start);
                    if took >= SLOW_SYNC {
                        warn!(event = "slow-sync", took_ms = took.as_millis());
                    }
                    self.record_fences(&change);
                }
                Output::Send { to, message } => {
                    if let Some(outbox) = self.outbox.get(&to.get()) {
                        // A message to a full outbox is dropped; the protocol
                        // tolerates lost messages.
                        let _ = outbox.try_send(message);
                    }
                }
                Output::Apply(entries) => queue.extend(self.apply(&entries)),
                Output::Restore(snapshot) => self.restore(&snapshot),
                Output::Committed { ticket, index } => self.committed(ticket, index),
                Output::Dropped {
                    ticket,
                    leader,
                    reason,
                } => {
                    if let Some(Some(reply)) = self.proposals.remove(&ticket) {
                        let _ = reply.send(if reason.is_outcome_unknown() {
                            Proposed::Unknown
                        } else {
                            Proposed::NotLeader(leader.map(Replica::get))
                        });
                    }
                }
                Output::Role { role, term, leader } => self.role(role, term.get(), leader),
            }
        }
    }

    /// Stops taking part after a failed write. Pending proposals get an
    /// unknown outcome.
    fn fail(&mut self, error: &wisteriaglade_consensus::storage::Error) {
        error!(event = "storage-failed", error = %error);
        write(&self.status).storage_failed = true;
        let mut rest = Vec::new();
        self.raft
            .step(self.clock.now(), RaftInput::StorageFailed, &mut rest);
        for (_, proposer) in self.proposals.drain() {
            if let Some(reply) = proposer {
                let _ = reply.send(Proposed::Unknown);
            }
        }
        self.leading = false;
    }

    /// Adds the fences in new log entries to the published state, before the
    /// entries are acknowledged to the leader.
    fn record_fences(&mut self, change: &Change) {
        let mut status = write(&self.status);
        match change {
            Change::Append(entries) => insert_fences(&mut status.fences, entries),
            Change::Truncate(from) => {
                status.fences.split_off(from);
            }
            Change::Install(_) => status.fences.clear(),
            Change::Vote(_) | Change::Compact(_) => {}
        }
    }

    /// Applies committed entries and returns the outputs of the steps that
    /// follow: compacting the log and the first proposals of a new leader.
    fn apply(&mut self, entries: &[Entry]) -> Vec<Output> {
        let mut outputs = Vec::new();
        let mut status = write(&self.status);
        for entry in entries {
            if let Payload::Data(data) = &entry.payload
                && let Some(command) = decode_command(data)
            {
                let reply = status.state.apply(entry.index, &command);
                if let Command::Fence { node } = command
                    && self.leading
                {
                    // The receiver is dropped only when the process ends.
                    let _ = self.fenced.send(node);
                }
                self.replies.insert(entry.index, reply);
            }
            status.applied = entry.index;
            status.fences.remove(&entry.index);
        }
        let applied = status.applied;
        status.commit = applied;
        let due = applied.get().saturating_sub(self.snapshot_index.get()) >= SNAPSHOT_ENTRIES;
        let data = due.then(|| status.state.encode());
        drop(status);
        self.commit.send_replace(applied);
        if let Some(data) = data {
            self.snapshot_index = applied;
            self.compact(applied, data, &mut outputs);
        }
        if self.lead_from.is_some_and(|from| applied >= from) {
            self.lead_from = None;
            self.leading = true;
            let mut commands = Vec::new();
            for process in read(&self.status).state.nodes() {
                if process.is_fenced() {
                    let _ = self.fenced.send(process.node());
                }
            }
            if !read(&self.status).state.is_configured() {
                // Proposed before any node can announce a target.
                let config = self.config;
                commands.push(Command::Configure { config });
            }
            self.plan(self.clock.now(), planner::Event::Lead, &mut commands);
            outputs.extend(self.propose_planned(commands));
        }
        outputs
    }

    /// Stores a snapshot of the state at `index` in place of the log up to
    /// there.
    fn compact(&mut self, index: Index, data: Vec<u8>, outputs: &mut Vec<Output>) {
        let input = RaftInput::Compact {
            index,
            data: data.into(),
        };
        self.raft.step(self.clock.now(), input, outputs);
        info!(event = "snapshot", index = index.get());
    }

    /// Replaces the state by a snapshot from the leader.
    fn restore(&mut self, snapshot: &wisteriaglade_consensus::Snapshot) {
        match State::decode(&snapshot.data) {
            Ok(state) => {
                let mut status = write(&self.status);
                status.state = state;
                status.applied = snapshot.index;
                status.commit = snapshot.index;
                drop(status);
                self.snapshot_index = snapshot.index;
                self.commit.send_replace(snapshot.index);
            }
            Err(error) => warn!(event = "snapshot-undecodable", error = %error),
        }
    }

    /// Reports the outcome of a committed proposal to its proposer.
    fn committed(&mut self, ticket: u64, index: Index) {
        // Replies to lower indexes are dropped. They belong to entries of
        // other leaders, whose proposers are in other processes.
        let later = self.replies.split_off(&index.next());
        let reply = self.replies.remove(&index);
        self.replies = later;
        if let Some(Some(proposer)) = self.proposals.remove(&ticket) {
            let _ = proposer.send(reply.map_or(Proposed::Unknown, Proposed::Applied));
        }
    }

    /// Handles a change of role, term or leader: starts to lead, or stops the
    /// planner.
    fn role(&mut self, role: Role, term: u64, leader: Option<Replica>) {
        info!(
            event = "role",
            role = role.as_str(),
            term,
            leader = leader.map_or(0, Replica::get)
        );
        if role == Role::Leader {
            // The planner starts only once all entries of earlier terms, and
            // the empty entry that begins this one, are applied.
            if !self.leading && self.lead_from.is_none() {
                self.lead_from = Some(self.raft.last_index());
            }
        } else {
            self.lead_from = None;
            if std::mem::take(&mut self.leading) {
                let status = read(&self.status);
                let mut none = Vec::new();
                self.planner.step(
                    self.clock.now(),
                    planner::Event::Follow,
                    &status.state,
                    &mut none,
                );
            }
        }
        let mut status = write(&self.status);
        status.term = term;
        status.leader = leader.map(Replica::get);
    }

    /// Publishes the contact with the leader and whether this replica leads.
    fn publish(&mut self) {
        let now = self.clock.now();
        let contact = self
            .raft
            .since_leader_contact(now)
            .map(|ago| now.saturating_sub(ago));
        let mut status = write(&self.status);
        status.leader_contact = contact.or(status.leader_contact);
        status.leading = self.leading;
        if !self.leading {
            // Replies are needed only for proposals of this replica.
            self.replies.clear();
        }
    }
}

/// Logs a planned command. A list of shards is logged by its length.
fn log_planned(command: &Command) {
    match command {
        Command::Assign { pool, assignments } => {
            info!(event = "plan-assign", pool = %pool, shards = assignments.len());
        }
        Command::Transfer {
            pool, shard, to, ..
        } => {
            info!(event = "plan-transfer", pool = %pool, shard = shard.get(), to = to.get());
        }
        Command::Fence { node } => info!(event = "plan-fence", node = node.get()),
        Command::Remove { node } => info!(event = "plan-remove", node = node.get()),
        Command::Dedicate { pool, hash } => info!(event = "plan-single", pool = %pool, key = %hash),
        Command::Merge { pool, hash } => info!(event = "plan-merge", pool = %pool, key = %hash),
        other => info!(event = "plan", command = ?other),
    }
}

/// Adds the nodes that the entries fence, by the index of the entry.
fn insert_fences(fences: &mut BTreeMap<Index, Node>, entries: &[Entry]) {
    for entry in entries {
        if let Payload::Data(data) = &entry.payload
            && let Some(Command::Fence { node }) = decode_command(data)
        {
            fences.insert(entry.index, node);
        }
    }
}
