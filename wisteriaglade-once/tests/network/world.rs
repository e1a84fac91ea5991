//! Hosts, their network and a model of the control log.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use rand::{RngExt, SeedableRng, rngs::StdRng};
use wisteriaglade_once::{
    Cover, Fingerprint, Key,
    holder::{self, Holder, Message, Reply},
    owner::{self, Effect, Event, Owner},
};
use wisteriaglade_types::{Epoch, Hash, Name, Node, Request, Shard};

use crate::oracle::{Final, Oracle, answer};

pub const PARTS: u32 = 2;
const HOSTS: usize = 6;
const TICK: u64 = 50;

/// The probability of each fault, for a message or for a step of 100 ms.
#[derive(Debug, Clone)]
pub struct Faults {
    pub loss: f64,
    pub repeat: f64,
    /// Delays of up to 3 s.
    pub late: f64,
    pub pause: f64,
    pub kill: f64,
    pub reassign: f64,
    pub replace: f64,
    pub split: f64,
}

/// What the control log says of a shard.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Row {
    pub owner: usize,
    pub epoch: Epoch,
    pub cover: Cover,
    pub holders: Vec<Node>,
}

#[derive(Debug, Clone)]
pub enum Packet {
    Ask {
        from: usize,
        call: u64,
        to: usize,
        message: Message,
    },
    Event {
        to: usize,
        event: Event,
    },
    Dispatch {
        to: usize,
        request: Request,
    },
    Log {
        to: usize,
        index: usize,
    },
    Hold {
        shard: Shard,
        epoch: Epoch,
        base: Vec<Node>,
        holders: Vec<Node>,
    },
    Tick {
        to: usize,
    },
    Resume {
        to: usize,
    },
    Faults,
    Client,
}

#[derive(Debug)]
pub struct Host {
    pub owner: Owner,
    pub holder: Holder,
    pub started: u64,
    pub alive: bool,
    /// Packets that arrived during a pause.
    pub paused: Option<Vec<Packet>>,
    pub applied: usize,
}

pub struct World {
    pub now: u64,
    pub serial: u64,
    pub queue: BTreeMap<(u64, u64), Packet>,
    pub rng: StdRng,
    pub faults: Faults,
    pub hosts: Vec<Host>,
    pub log: Vec<Vec<(Shard, Option<Row>)>>,
    pub table: BTreeMap<Shard, Row>,
    pub requests: u128,
    pub active: bool,
    pub oracle: Oracle,
}

pub fn pool() -> Name {
    "ledger".into()
}

pub fn node(host: usize) -> Node {
    Node::new(host as u64)
}

pub fn host(node: Node) -> usize {
    usize::try_from(node.get()).expect("a small number")
}

/// Four request keys: one of them is hot.
pub fn hash(number: u64) -> Hash {
    Hash::of(&format!("design-{number}"))
}

impl World {
    pub fn new(seed: u64, faults: Faults) -> Self {
        let mut world = Self {
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
            oracle: Oracle::new(seed),
        };
        for _ in 0..HOSTS {
            world.spawn();
        }
        let rows = (0..PARTS).map(|shard| {
            let row = Row {
                owner: shard as usize,
                epoch: Epoch::default(),
                cover: Cover::Part {
                    shards: PARTS,
                    except: Vec::new(),
                },
                holders: vec![node(1), node(2), node(3)],
            };
            (Shard::new(shard), Some(row))
        });
        world.commit(rows.collect(), true);
        world.after(0, Packet::Faults);
        world.after(0, Packet::Client);
        world
    }

    pub fn run(&mut self, time: Duration) {
        let end = self.now + u64::try_from(time.as_millis()).expect("a short time");
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

    /// Ends all faults and lets everything that is under way arrive.
    pub fn heal(&mut self) {
        let Faults {
            loss, repeat, late, ..
        } = &mut self.faults;
        (*loss, *repeat, *late) = (0.0, 0.0, 0.0);
        self.active = false;
        self.run(Duration::from_secs(12));
    }

    /// Every request whose node survived got its final effect.
    pub fn check_all_answered(&self) {
        for (request, asked) in &self.oracle.asked {
            let answered = self.oracle.finals.contains_key(request);
            let alive = self.hosts[asked.node].alive;
            assert!(
                answered || !alive,
                "seed {}: no answer to {request}: {asked:?}",
                self.oracle.seed
            );
        }
        for host in self.hosts.iter().filter(|host| host.alive) {
            assert_eq!(
                host.owner.open(),
                0,
                "seed {}: requests left",
                self.oracle.seed
            );
        }
    }

    /// Acknowledged answers are there, and what may have run does not run again.
    pub fn check_resends(&mut self) {
        let seed = self.oracle.seed;
        let state = |key| {
            (
                key,
                self.oracle.has_run(key),
                self.oracle.is_acknowledged(key),
            )
        };
        let keys = self.oracle.keys();
        let before: Vec<_> = keys.iter().map(state).collect();
        let outcomes = self.resend(keys.iter().cloned().collect());
        for ((key, ran, acknowledged), outcome) in before.into_iter().zip(outcomes) {
            let right = match &outcome {
                Final::Replay(_) => ran,
                Final::Unknown => !acknowledged,
                Final::Acknowledge(_) => !ran,
                Final::Refuse(_) => false,
            };
            assert!(right, "seed {seed}: {key} got {outcome:?}");
        }
    }

    /// Sends a request for each key to its owner in the log and waits for the answers.
    pub fn resend(&mut self, keys: Vec<Key>) -> Vec<Final> {
        let send = |key| self.begin(key, false, None, 4000);
        let requests: Vec<_> = keys.into_iter().map(send).collect();
        self.run(Duration::from_secs(5));
        let outcome = |request| self.oracle.finals.get(request).cloned();
        let outcomes = requests.iter().map(outcome);
        outcomes
            .collect::<Option<_>>()
            .expect("an answer to every resend")
    }

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
        self.after(TICK, Packet::Tick { to: index });
        index
    }

    pub fn after(&mut self, delay: u64, packet: Packet) {
        self.serial += 1;
        self.queue.insert((self.now + delay, self.serial), packet);
    }

    /// Sends a packet over the network.
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

    pub fn delay(&mut self) -> u64 {
        let late = self.rng.random_bool(self.faults.late);
        self.rng.random_range(1..if late { 3000 } else { 12 })
    }

    fn deliver(&mut self, packet: Packet) {
        if let Packet::Ask { to, .. }
        | Packet::Event { to, .. }
        | Packet::Dispatch { to, .. }
        | Packet::Log { to, .. }
        | Packet::Tick { to } = &packet
        {
            let host = &mut self.hosts[*to];
            if let Some(waiting) = &mut host.paused {
                return waiting.push(packet);
            }
            if !host.alive {
                if let Packet::Ask { from, to, .. } = packet {
                    let event = Event::Lost { node: node(to) };
                    self.after(5, Packet::Event { to: from, event });
                }
                return;
            }
        }
        match packet {
            Packet::Ask {
                from,
                call,
                to,
                message,
            } => {
                let reply = self.ask(to, message);
                let event = Event::Reply {
                    from: node(to),
                    call,
                    reply,
                };
                self.send(Packet::Event { to: from, event });
            }
            Packet::Event { to, event } => self.step(to, event),
            Packet::Dispatch { to, request } => self.dispatch(to, request),
            Packet::Log { to, index } => self.apply(to, index),
            Packet::Hold {
                shard,
                epoch,
                base,
                holders,
            } => self.hold(shard, epoch, &base, holders),
            Packet::Tick { to } => {
                self.after(TICK, Packet::Tick { to });
                self.step(to, Event::Tick);
            }
            Packet::Resume { to } => {
                for packet in self.hosts[to].paused.take().unwrap_or_default() {
                    self.deliver(packet);
                }
            }
            Packet::Faults => self.fault(),
            Packet::Client => self.client(),
        }
    }

    fn ask(&mut self, to: usize, message: Message) -> Reply {
        let host = &mut self.hosts[to];
        let now = Duration::from_millis(self.now - host.started);
        host.holder.handle(now, message)
    }

    fn step(&mut self, to: usize, event: Event) {
        let host = &mut self.hosts[to];
        let now = Duration::from_millis(self.now - host.started);
        let mut effects = Vec::new();
        let trace = std::env::var("TRACE").is_ok();
        if trace && event != Event::Tick {
            eprintln!("{} host {to} <- {event:?}", self.now);
        }
        host.owner.step(now, event, &mut effects);
        if trace {
            for e in &effects {
                eprintln!("{} host {to} -> {e:?}", self.now);
            }
        }
        for effect in effects {
            self.execute(to, effect);
        }
    }

    fn execute(&mut self, from: usize, effect: Effect) {
        match effect {
            Effect::Call { to, call, message } => {
                let to = host(to);
                self.send(Packet::Ask {
                    from,
                    call,
                    to,
                    message,
                });
            }
            // A pause can come between the decision and the dispatch.
            Effect::Run { request } => self.after(1, Packet::Dispatch { to: from, request }),
            Effect::Replay { request, answer } => self.end(from, request, Final::Replay(answer)),
            Effect::Refuse { request, reason } => self.end(from, request, Final::Refuse(reason)),
            Effect::Unknown { request } => self.end(from, request, Final::Unknown),
            Effect::Acknowledge { request, answer } => {
                self.end(from, request, Final::Acknowledge(answer));
            }
            Effect::Hold {
                shard,
                epoch,
                base,
                holders,
                ..
            } => {
                self.send(Packet::Hold {
                    shard,
                    epoch,
                    base,
                    holders,
                });
            }
        }
    }

    fn end(&mut self, from: usize, request: Request, outcome: Final) {
        let shard = self.shard(self.oracle.asked[&request].key.hash);
        let former = self.table[&shard].owner != from;
        self.oracle.end(request, outcome, former);
    }

    /// The shard of a key in the log.
    fn shard(&self, hash: Hash) -> Shard {
        let dedicated = |(_, row): &(&Shard, &Row)| row.cover == Cover::Single(hash);
        let shard = self.table.iter().find(dedicated);
        shard.map_or_else(|| hash.shard(PARTS), |(shard, _)| *shard)
    }

    /// The target sheds a request, runs it, or runs it and loses the response.
    fn dispatch(&mut self, to: usize, request: Request) {
        let dice = if self.active {
            self.rng.random_range(0..20)
        } else {
            20
        };
        self.oracle.run(request, dice == 0);
        let event = match dice {
            0 => Event::Abort { request },
            1 => Event::Finish {
                request,
                answer: None,
            },
            _ => Event::Finish {
                request,
                answer: Some(answer(request)),
            },
        };
        let length = self.rng.random_range(1..200);
        self.after(length, Packet::Event { to, event });
    }

    /// Lets a host apply the log up to an entry.
    fn apply(&mut self, to: usize, index: usize) {
        while self.hosts[to].applied <= index {
            let at = self.hosts[to].applied;
            self.hosts[to].applied += 1;
            for (shard, row) in self.log[at].clone() {
                let pool = pool();
                let event = match row {
                    Some(Row {
                        owner,
                        epoch,
                        cover,
                        holders,
                    }) if owner == to => Event::Own {
                        pool,
                        shard,
                        epoch,
                        cover,
                        holders,
                    },
                    _ => Event::Disown { pool, shard },
                };
                self.step(to, event);
            }
        }
    }

    /// Sends a request for a new or an earlier key, sometimes to a wrong node.
    fn client(&mut self) {
        let pause = self.rng.random_range(5..60);
        if !self.active {
            return;
        }
        self.after(pause, Packet::Client);
        let hash = hash(self.rng.random_range(0..4));
        let fresh = self.oracle.asked.len() as u64 / 4;
        let id = self.rng.random_range(fresh.saturating_sub(8)..=fresh);
        let key = Key {
            pool: pool(),
            hash,
            id: id.to_string().into(),
        };
        let foreign = self.oracle.has_run(&key) && self.rng.random_bool(0.05);
        let wrong = self
            .rng
            .random_bool(0.1)
            .then(|| self.pick_host(&BTreeSet::new()));
        let deadline = self.rng.random_range(20..1500);
        self.begin(key, foreign, wrong, deadline);
    }

    fn begin(&mut self, key: Key, foreign: bool, to: Option<usize>, deadline: u64) -> Request {
        let shard = self.shard(key.hash);
        let to = to.unwrap_or(self.table[&shard].owner);
        self.requests += 1;
        let request = Request::new(self.requests);
        self.oracle.ask(request, key.clone(), to, foreign);
        let fingerprint = Fingerprint::new(u64::from(foreign));
        let deadline = Duration::from_millis(self.now - self.hosts[to].started + deadline);
        let event = Event::Begin {
            shard,
            key,
            fingerprint,
            request,
            deadline,
        };
        self.after(2, Packet::Event { to, event });
        request
    }

    pub fn pick_shard(&mut self) -> Shard {
        let index = self.rng.random_range(0..self.table.len());
        *self
            .table
            .keys()
            .nth(index)
            .expect("an index below the length")
    }

    pub fn pick_host(&mut self, except: &BTreeSet<usize>) -> usize {
        let free = |index: &usize| self.hosts[*index].alive && !except.contains(index);
        let free: Vec<_> = (0..self.hosts.len()).filter(free).collect();
        free[self.rng.random_range(0..free.len())]
    }
}
