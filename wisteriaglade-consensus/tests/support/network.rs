//! A deterministic simulation of replicas and the network between them.

use std::{
    collections::{BTreeMap, BTreeSet},
    ops::Range,
    time::Duration,
};

use rand::{RngExt as _, SeedableRng as _, rngs::StdRng};
use wisteriaglade_consensus::{Config, Input, Message, Output, Raft, Reason, Replica, Role};
use wisteriaglade_types::Index;

use super::{
    history::History,
    node::{Node, Running},
};

/// The simulated time between two ticks.
const TICK_INTERVAL: Duration = Duration::from_millis(10);

/// The probabilities of faults, and the delays of messages.
#[derive(Debug, Clone)]
pub struct Faults {
    /// The probability that a message is lost.
    pub drop: f64,
    /// The probability that a message arrives twice.
    pub repeat: f64,
    /// The probability that a message is delayed by up to 3 s.
    pub late: f64,
    /// The range of the delays of other messages in milliseconds.
    pub delay: Range<u64>,
    /// The probability that a replica crashes before it carries out an output.
    pub crash: f64,
}

impl Faults {
    pub const NONE: Self = Self {
        drop: 0.0,
        repeat: 0.0,
        late: 0.0,
        delay: 1..2,
        crash: 0.0,
    };
}

/// Replicas, the messages between them, and the faults to inject.
#[derive(Debug)]
pub struct Network {
    pub now: Duration,
    pub random: StdRng,
    pub faults: Faults,
    pub nodes: BTreeMap<Replica, Node>,
    /// The links, from sender to receiver, that lose every message.
    pub cut_links: BTreeSet<(Replica, Replica)>,
    pub history: History,
    /// The ticket and the reason of each dropped proposal.
    pub dropped: Vec<(u64, Reason)>,
    /// The messages in transit, by their time of arrival and sequence number.
    queue: BTreeMap<(Duration, u64), (Replica, Replica, Vec<u8>)>,
    sent: u64,
    tickets: u64,
    seed: u64,
}

impl Drop for Network {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("seed {} failed after {:?}", self.seed, self.now);
        }
    }
}

impl Network {
    /// Creates a group of `members` replicas, and `spares` replicas that may
    /// join it.
    pub fn new(seed: u64, members: u64, spares: u64, adjust: fn(Config) -> Config) -> Self {
        let ids = |range: Range<u64>| range.map(Replica::new);
        let group: Vec<_> = ids(1..members + 1).collect();
        let node = |id: Replica| {
            let first = if id.get() <= members { &group[..] } else { &[] };
            let config = Config::new(id, first.iter().copied());
            (id, Node::new(id, adjust(config)))
        };
        Self {
            now: Duration::ZERO,
            random: StdRng::seed_from_u64(seed),
            faults: Faults::NONE,
            nodes: ids(1..members + spares + 1).map(node).collect(),
            cut_links: BTreeSet::new(),
            history: History::default(),
            dropped: Vec::new(),
            queue: BTreeMap::new(),
            sent: 0,
            tickets: 0,
            seed,
        }
    }

    /// Simulates a period of time.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += TICK_INTERVAL;
            self.deliver();
            for id in self.ids() {
                let node = self.nodes.get_mut(&id).expect("a known replica");
                if node.running.is_none() && node.restart <= self.now {
                    node.start(self.now, &mut self.random);
                }
                self.step(id, Input::Tick);
            }
        }
    }

    /// Runs until a condition holds. Returns false when it does not hold within
    /// the time limit.
    pub fn run_until(&mut self, limit: Duration, done: impl Fn(&Self) -> bool) -> bool {
        let end = self.now + limit;
        while self.now < end && !done(self) {
            self.run(TICK_INTERVAL);
        }
        done(self)
    }

    fn deliver(&mut self) {
        while let Some(first) = self.queue.first_entry() {
            if first.key().0 > self.now {
                return;
            }
            let (from, to, bytes) = first.remove();
            if !self.cut_links.contains(&(from, to)) {
                let message = postcard::from_bytes(&bytes).expect("an encoded message");
                self.step(to, Input::Message { from, message });
            }
        }
    }

    /// Passes an input to a replica and carries out the outputs. A replica that
    /// is not running ignores it.
    pub fn step(&mut self, id: Replica, input: Input) {
        let node = self.nodes.get_mut(&id).expect("a known replica");
        let Some(running) = &mut node.running else {
            return;
        };
        let mut outputs = Vec::new();
        running.raft.step(self.now, input, &mut outputs);
        for output in outputs {
            if self.random.random_bool(self.faults.crash) {
                return self.crash(id);
            }
            if !self.carry_out(id, output) {
                return self.step(id, Input::StorageFailed);
            }
        }
    }

    /// Carries out one output. Returns false when the disk has failed.
    fn carry_out(&mut self, id: Replica, output: Output) -> bool {
        let node = self.nodes.get_mut(&id).expect("a known replica");
        let running = node.running.as_mut().expect("a running replica");
        let history = &mut self.history;
        match output {
            Output::Persist(change) => return running.persist(&change, history),
            Output::Send { to, message } => {
                running.check_durability(to, &message);
                self.send(id, to, &message);
            }
            Output::Apply(entries) => running.apply(&entries, history),
            Output::Restore(snapshot) => {
                running.restore(&snapshot);
                node.restored += 1;
            }
            Output::Committed { ticket, index } => history.acknowledge(ticket, index),
            Output::Dropped { ticket, reason, .. } => self.dropped.push((ticket, reason)),
            Output::Role { role, term, .. } => {
                if role == Role::Leader {
                    history.lead(term, id);
                }
            }
        }
        true
    }

    fn send(&mut self, from: Replica, to: Replica, message: &Message) {
        let bytes = postcard::to_stdvec(message).expect("an encodable message");
        if self.random.random_bool(self.faults.drop) {
            return;
        }
        let copies = 1 + u64::from(self.random.random_bool(self.faults.repeat));
        for _ in 0..copies {
            let delay = if self.random.random_bool(self.faults.late) {
                self.random.random_range(0..3_000)
            } else {
                self.random.random_range(self.faults.delay.clone())
            };
            self.sent += 1;
            let at = self.now + Duration::from_millis(delay);
            self.queue
                .insert((at, self.sent), (from, to, bytes.clone()));
        }
    }

    /// Proposes a new value and returns its ticket.
    pub fn propose(&mut self, id: Replica) -> u64 {
        self.tickets += 1;
        let ticket = self.tickets;
        let mut data = ticket.to_le_bytes().to_vec();
        data.resize(8 + self.random.random_range(0..60), 0);
        let data = data.into();
        self.step(id, Input::Propose { ticket, data });
        ticket
    }

    /// Changes the group and returns the ticket of the change.
    pub fn change(&mut self, id: Replica, members: Vec<Replica>) -> u64 {
        self.tickets += 1;
        let ticket = self.tickets;
        self.history.changes.insert(ticket);
        self.step(id, Input::ChangeMembers { ticket, members });
        ticket
    }

    /// Passes a snapshot of its state machine to a replica.
    pub fn compact(&mut self, id: Replica) {
        if let Some(running) = &self.nodes[&id].running {
            let index = running.applied;
            let data = running.encode_values().into();
            self.step(id, Input::Compact { index, data });
        }
    }

    /// Crashes a replica, which restarts within 2 s.
    pub fn crash(&mut self, id: Replica) {
        let pause = Duration::from_millis(self.random.random_range(0..2_000));
        let node = self.nodes.get_mut(&id).expect("a known replica");
        node.crash(self.now + pause, &mut self.random);
    }

    /// Cuts the links between `part` and the other replicas in both directions.
    pub fn split(&mut self, part: &[Replica]) {
        for a in self.ids() {
            for b in self.ids() {
                if part.contains(&a) != part.contains(&b) {
                    self.cut_links.insert((a, b));
                }
            }
        }
    }

    pub fn ids(&self) -> Vec<Replica> {
        self.nodes.keys().copied().collect()
    }

    pub fn running(&self, id: Replica) -> &Running {
        self.nodes[&id].running.as_ref().expect("a running replica")
    }

    pub fn raft(&self, id: Replica) -> &Raft {
        &self.running(id).raft
    }

    pub fn is_failed(&self, id: Replica) -> bool {
        let running = self.nodes[&id].running.as_ref();
        running.is_some_and(|running| running.raft.is_failed())
    }

    /// Returns the leader with the highest term, if any replica is a leader.
    pub fn leader(&self) -> Option<Replica> {
        let running = self.nodes.values().filter_map(|node| node.running.as_ref());
        let rafts = running.map(|running| &running.raft);
        let leaders = rafts.filter(|raft| raft.role() == Role::Leader);
        leaders.max_by_key(|raft| raft.term())?.leader()
    }

    /// Runs until there is a leader, and returns it.
    pub fn wait_for_leader(&mut self) -> Replica {
        let elected = self.run_until(Duration::from_secs(10), |n| n.leader().is_some());
        assert!(elected, "no leader was elected");
        self.leader().expect("a leader")
    }

    /// Proposes values until one is committed, and returns the commit index of
    /// the leader.
    pub fn commit_one(&mut self) -> Index {
        let done = (0..50).find_map(|_| {
            let leader = self.wait_for_leader();
            let ticket = self.propose(leader);
            self.run(Duration::from_millis(200));
            let committed = self.history.acknowledged.contains(&ticket);
            committed.then(|| self.raft(leader).commit_index())
        });
        done.expect("a value is committed")
    }
}
