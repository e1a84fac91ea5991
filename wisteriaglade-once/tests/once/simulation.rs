//! A discrete-event simulation of hosts, their network and callers.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use rand::{RngExt, SeedableRng, rngs::StdRng};
use wisteriaglade_once::{
    Key, Keyspace,
    holder::{self, Holder, Message},
    owner::{self, Effect, Event, Owner},
};
use wisteriaglade_types::{Epoch, Hash, Node, Request, Shard};

use crate::{
    fixtures::{begin, key, own, partition, pool},
    oracle::{Final, Oracle, answer},
};

/// The number of shards, dedicated ones not counted.
pub const SHARDS: u32 = 2;
/// The number of hosts at the start.
const HOSTS: usize = 6;
/// The interval of `Event::Tick`, in ms.
const TICK_MS: u64 = 50;

/// The probability of each fault: `loss`, `repeat` and `delay` for each message, the others
/// for each interval of 100 ms.
#[derive(Debug, Clone, Default)]
pub struct Faults {
    /// A message is lost.
    pub loss: f64,
    /// A message is delivered twice.
    pub repeat: f64,
    /// A message is delayed by up to 3 s.
    pub delay: f64,
    /// A host stops handling packets for a while.
    pub pause: f64,
    /// A host ends and a new one starts.
    pub kill: f64,
    /// A shard gets another owner.
    pub reassign: f64,
    /// One holder of a shard is replaced.
    pub replace: f64,
    /// A key gets a dedicated shard, or is merged back.
    pub split: f64,
}

/// The state of a shard in the control log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Assignment {
    pub owner: usize,
    pub epoch: Epoch,
    pub keyspace: Keyspace,
    pub holders: Vec<Node>,
}

/// A scheduled event of the simulation. The first `usize` is the host that handles it.
#[derive(Debug, Clone)]
pub enum Packet {
    /// A message to a holder, with the host of its owner and the number of the call.
    Call(usize, usize, u64, Message),
    /// An event for the owner side of a host.
    Event(usize, Event),
    /// The dispatch of a request to the target.
    Dispatch(usize, Request),
    /// The arrival of the log up to the entry with this index.
    Log(usize, usize),
    /// The periodic `Event::Tick`.
    Tick(usize),
    /// The end of a pause.
    Resume(usize),
    /// A proposal to the control log: shard, epoch, base and new holders.
    Propose(Shard, Epoch, Vec<Node>, Vec<Node>),
    /// The periodic injection of faults.
    Faults,
    /// The next request of a caller.
    Client,
}

/// A process with its owner side and its holder.
#[derive(Debug)]
pub struct Host {
    pub owner: Owner,
    pub holder: Holder,
    /// When the process started, in ms.
    pub started: u64,
    pub alive: bool,
    /// The packets that arrived during a pause; `None` if the host is not paused.
    pub paused: Option<Vec<Packet>>,
    /// The number of log entries that the host has applied.
    pub applied: usize,
}

/// The state of the simulation.
pub struct Simulation {
    /// The current time, in ms.
    pub now: u64,
    /// The number of packets so far, which orders packets of equal time.
    pub serial: u64,
    /// The pending packets by time and serial number.
    pub queue: BTreeMap<(u64, u64), Packet>,
    pub rng: StdRng,
    pub faults: Faults,
    pub hosts: Vec<Host>,
    /// The control log. An entry lists changed shards; `None` means a removed one.
    pub log: Vec<Vec<(Shard, Option<Assignment>)>>,
    /// The shard table after the last entry of the log.
    pub table: BTreeMap<Shard, Assignment>,
    /// The number of requests so far.
    pub requests: u128,
    /// Whether callers send requests and faults are injected.
    pub active: bool,
    /// The hosts whose holders cannot be reached.
    pub unreachable: BTreeSet<usize>,
    /// The range of the running time of a request, in ms.
    pub length: std::ops::Range<u64>,
    pub oracle: Oracle,
}

pub fn node(host: usize) -> Node {
    Node::new(host as u64)
}

pub fn host(node: Node) -> usize {
    usize::try_from(node.get()).expect("a small number")
}

/// The hash of a request key. Callers use the numbers 0 to 3; 0 and 1 may get a dedicated
/// shard.
pub fn hash(number: u64) -> Hash {
    Hash::of(&format!("design-{number}"))
}

impl Simulation {
    pub fn new(seed: u64, faults: Faults) -> Self {
        let mut simulation = Self {
            now: 0,
            serial: 0,
            queue: BTreeMap::new(),
            rng: StdRng::seed_from_u64(seed),
            faults,
            hosts: Vec::new(),
            log: Vec::new(),
            table: BTreeMap::new(),
            requests: 0,
            active: true,
            unreachable: BTreeSet::new(),
            length: 1..200,
            oracle: Oracle::new(seed),
        };
        for _ in 0..HOSTS {
            simulation.spawn();
        }
        let assignments = (0..SHARDS).map(|shard| {
            let (epoch, keyspace) = (Epoch::default(), partition(SHARDS, &[]));
            let (owner, holders) = (shard as usize, vec![node(1), node(2), node(3)]);
            let assignment = Assignment {
                owner,
                epoch,
                keyspace,
                holders,
            };
            (Shard::new(shard), Some(assignment))
        });
        simulation.commit(assignments.collect(), true);
        simulation.after(0, Packet::Faults);
        simulation.after(0, Packet::Client);
        simulation
    }

    /// Creates a simulation without callers and faults, in which host 0 owns shard 0 and is
    /// ready.
    pub fn quiet(seed: u64) -> Self {
        let mut simulation = Self::new(seed, Faults::default());
        simulation.active = false;
        simulation.length = 1..10;
        simulation.run(100);
        simulation
    }

    /// Runs the simulation for `time` ms.
    pub fn run(&mut self, time: u64) {
        let end = self.now + time;
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > end {
                break;
            }
            let ((now, _), packet) = entry.remove_entry();
            self.now = now;
            self.deliver(packet);
        }
        self.now = end;
    }

    /// Stops callers and faults, and runs long enough for all packets in flight to arrive.
    pub fn heal(&mut self) {
        self.faults = Faults::default();
        self.active = false;
        self.run(12_000);
    }

    /// Checks that every request to a live host got its final effect.
    pub fn check_all_answered(&self) {
        let seed = self.oracle.seed;
        for (request, sent) in &self.oracle.sent {
            let answered = self.oracle.finals.contains_key(request);
            let answered = answered || !self.hosts[sent.node].alive;
            assert!(answered, "seed {seed}: no answer to {request}: {sent:?}");
        }
        for host in self.hosts.iter().filter(|host| host.alive) {
            assert_eq!(
                host.owner.pending_requests(),
                0,
                "seed {seed}: requests left"
            );
        }
    }

    /// Resends every key and checks that none is refused. The oracle checks the responses.
    pub fn check_resends(&mut self) {
        let seed = self.oracle.seed;
        for outcome in self.resend(self.oracle.keys().into_iter().collect()) {
            let refused = matches!(outcome, Final::Refuse(_));
            assert!(!refused, "seed {seed}: got {outcome:?}");
        }
    }

    /// Sends a request for each key to its owner in the log and waits for the final effects.
    pub fn resend(&mut self, keys: Vec<Key>) -> Vec<Final> {
        let send = |key| self.begin(key, false, None, 4000);
        let requests: Vec<_> = keys.into_iter().map(send).collect();
        self.run(5000);
        let outcome = |request| self.oracle.finals.get(request).cloned();
        let outcomes = requests.iter().map(outcome);
        outcomes
            .collect::<Option<_>>()
            .expect("an answer to every resend")
    }

    /// Starts a new host and returns its index.
    pub fn spawn(&mut self) -> usize {
        let index = self.hosts.len();
        self.hosts.push(Host {
            owner: Owner::new(owner::Config::default()),
            holder: Holder::new(holder::Config::default()),
            started: self.now,
            alive: true,
            paused: None,
            applied: self.log.len(),
        });
        self.after(TICK_MS, Packet::Tick(index));
        index
    }

    /// Schedules a packet after `delay` ms.
    pub fn after(&mut self, delay: u64, packet: Packet) {
        self.serial += 1;
        self.queue.insert((self.now + delay, self.serial), packet);
    }

    /// Sends a packet over the network, which may lose, repeat or delay it.
    fn send(&mut self, packet: Packet) {
        if self.rng.random_bool(self.faults.loss) {
            return;
        }
        if self.rng.random_bool(self.faults.repeat) {
            let delay = self.delay();
            self.after(delay, packet.clone());
        }
        let delay = self.delay();
        self.after(delay, packet);
    }

    /// Draws the delay of a message, in ms.
    pub fn delay(&mut self) -> u64 {
        let late = self.rng.random_bool(self.faults.delay);
        self.rng.random_range(1..if late { 3000 } else { 12 })
    }

    fn deliver(&mut self, packet: Packet) {
        if let Packet::Call(to, ..)
        | Packet::Event(to, _)
        | Packet::Dispatch(to, _)
        | Packet::Log(to, _)
        | Packet::Tick(to) = &packet
        {
            let host = &mut self.hosts[*to];
            if let Some(waiting) = &mut host.paused {
                return waiting.push(packet);
            }
            let unreachable = self.unreachable.contains(to) && matches!(packet, Packet::Call(..));
            if !host.alive || unreachable {
                if let Packet::Call(to, from, ..) = packet {
                    let event = Event::Unreachable { node: node(to) };
                    self.after(5, Packet::Event(from, event));
                }
                return;
            }
        }
        match packet {
            Packet::Call(to, caller, call, message) => {
                let now = self.time(to);
                let reply = self.hosts[to].holder.handle(now, message);
                let from = node(to);
                self.send(Packet::Event(caller, Event::Reply { from, call, reply }));
            }
            Packet::Event(to, event) => self.step(to, event),
            Packet::Dispatch(to, request) => self.dispatch(to, request),
            Packet::Log(to, index) => self.apply(to, index),
            Packet::Tick(to) => {
                self.after(TICK_MS, Packet::Tick(to));
                self.step(to, Event::Tick);
            }
            Packet::Resume(to) => {
                for packet in self.hosts[to].paused.take().unwrap_or_default() {
                    self.deliver(packet);
                }
            }
            Packet::Propose(shard, epoch, old, holders) => self.accept(shard, epoch, &old, holders),
            Packet::Faults => self.fault(),
            Packet::Client => self.client(),
        }
    }

    /// The time since the start of a host, as its process sees it.
    fn time(&self, host: usize) -> Duration {
        Duration::from_millis(self.now - self.hosts[host].started)
    }

    fn step(&mut self, to: usize, event: Event) {
        let (now, mut effects) = (self.time(to), Vec::new());
        self.hosts[to].owner.step(now, event, &mut effects);
        for effect in effects {
            self.execute(to, effect);
        }
    }

    fn execute(&mut self, from: usize, effect: Effect) {
        match effect {
            Effect::Call { to, call, message } => {
                let to = host(to);
                self.send(Packet::Call(to, from, call, message));
            }
            // A pause may fall between the effect and the dispatch.
            Effect::Run { request } => self.after(1, Packet::Dispatch(from, request)),
            Effect::Replay { request, answer } => self.end(from, request, Final::Replay(answer)),
            Effect::Refuse { request, reason } => self.end(from, request, Final::Refuse(reason)),
            Effect::Unknown { request } => self.end(from, request, Final::Unknown),
            Effect::Acknowledge { request, answer } => {
                self.end(from, request, Final::Acknowledge(answer));
            }
            Effect::Propose {
                shard,
                epoch,
                base,
                holders,
                ..
            } => {
                self.send(Packet::Propose(shard, epoch, base, holders));
            }
        }
    }

    fn end(&mut self, from: usize, request: Request, outcome: Final) {
        let shard = self.shard(self.oracle.sent[&request].key.hash);
        let former = self.table[&shard].owner != from;
        self.oracle.end(request, outcome, former);
    }

    /// The shard of a key according to the log.
    fn shard(&self, hash: Hash) -> Shard {
        let dedicated = |(_, assignment): &(&Shard, &Assignment)| {
            assignment.keyspace == Keyspace::Dedicated(hash)
        };
        let shard = self.table.iter().find(dedicated);
        shard.map_or_else(|| hash.shard(SHARDS), |(shard, _)| *shard)
    }

    /// Lets the target shed a request, run it, or run it without a response.
    fn dispatch(&mut self, to: usize, request: Request) {
        let sides = if self.active { 0..20 } else { 2..3 };
        let dice = self.rng.random_range(sides);
        self.oracle.run(request, dice == 0);
        let answer = (dice > 1).then(|| answer(request));
        let event = match dice {
            0 => Event::Abort { request },
            _ => Event::Finish { request, answer },
        };
        let length = self.rng.random_range(self.length.clone());
        self.after(length, Packet::Event(to, event));
    }

    /// Lets a host apply the log up to and including an entry.
    fn apply(&mut self, to: usize, index: usize) {
        while self.hosts[to].applied <= index {
            let at = self.hosts[to].applied;
            self.hosts[to].applied += 1;
            for (shard, assignment) in self.log[at].clone() {
                let event = match assignment {
                    Some(assignment) if assignment.owner == to => own(
                        shard,
                        assignment.epoch,
                        assignment.keyspace,
                        assignment.holders,
                    ),
                    _ => Event::Release {
                        pool: pool(),
                        shard,
                    },
                };
                self.step(to, event);
            }
        }
    }

    /// Sends a request for a new or a used key, sometimes to a host that isn't the owner.
    fn client(&mut self) {
        let pause = self.rng.random_range(5..60);
        if !self.active {
            return;
        }
        self.after(pause, Packet::Client);
        let hash = hash(self.rng.random_range(0..4));
        let fresh = self.oracle.sent.len() as u64 / 4;
        let id = self.rng.random_range(fresh.saturating_sub(8)..=fresh);
        let key = key(hash, id);
        let key_reused = self.oracle.has_run(&key) && self.rng.random_bool(0.05);
        let wrong = self.rng.random_bool(0.1);
        let wrong = wrong.then(|| self.pick_host(&BTreeSet::new()));
        let deadline = self.rng.random_range(20..1500);
        self.begin(key, key_reused, wrong, deadline);
    }

    /// Sends a request to a host, by default the owner of its shard. `deadline` is in ms from
    /// now.
    pub fn begin(
        &mut self,
        key: Key,
        key_reused: bool,
        to: Option<usize>,
        deadline: u64,
    ) -> Request {
        let shard = self.shard(key.hash);
        let to = to.unwrap_or(self.table[&shard].owner);
        self.requests += 1;
        let request = Request::new(self.requests);
        self.oracle.ask(request, key.clone(), to, key_reused);
        let deadline = self.time(to) + Duration::from_millis(deadline);
        let event = begin(shard, key, u64::from(key_reused), request, deadline);
        self.after(2, Packet::Event(to, event));
        request
    }

    pub fn pick_shard(&mut self) -> Shard {
        let index = self.rng.random_range(0..self.table.len());
        let shard = self.table.keys().nth(index);
        *shard.expect("an index below the length")
    }

    pub fn pick_host(&mut self, excluded: &BTreeSet<usize>) -> usize {
        let free = |index: &usize| self.hosts[*index].alive && !excluded.contains(index);
        let free: Vec<_> = (0..self.hosts.len()).filter(free).collect();
        free[self.rng.random_range(0..free.len())]
    }
}
