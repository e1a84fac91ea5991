//! Measures how memory, message sizes and the CPU time of a control leader grow
//! with the size of a cluster, and fits a least-squares line to each series. The
//! micro-benchmarks measure time per operation only.
//!
//! `cargo run --release --example slopes -- --json slopes.json`

use std::{
    any::Any,
    env,
    error::Error,
    fs,
    net::SocketAddr,
    time::{Duration, Instant},
};

use serde::Serialize;
use tokio::net::{TcpListener, TcpStream};
use wisteriaglade_control::{Assignment, Command, Config, State, Target};
use wisteriaglade_node::sample::{self, Leader, Renewer, Replica};
use wisteriaglade_once::{
    Answer, Fingerprint, Key as RecordKey, Record, State as RecordState,
    holder::{self, Holder, Message, Reply},
};
use wisteriaglade_types::{Epoch, Hash, Name, Node, Request, Shard, Version};
use wisteriaglade_wire::{Key, Link};

/// Lease renewals per second and replica, at the default interval of 150 ms.
const RENEWALS_PER_SECOND: f64 = 1_000.0 / 150.0;
/// Pings per second on an idle subscription, which sends one every 250 ms.
const PINGS_PER_SECOND: f64 = 4.0;
/// Bytes of an IPv4 and a UDP header.
const UDP_HEADER_BYTES: usize = 28;
/// Bytes of an IPv4 and a TCP header with the timestamp option.
const TCP_HEADER_BYTES: usize = 52;
/// A large node id, as in a cluster that has run for months. Ids are encoded with
/// a variable length, so a small one would make messages too short.
const LARGE_NODE_ID: Node = Node::new(1_000_000);

/// Measured values, retained until the end of the run. Memory freed after one
/// measurement would be reused by the next, which would then show too little.
type Retained = Vec<Box<dyn Any>>;

/// A least-squares line `y = slope * x + intercept` through measured points, with
/// its coefficient of determination `r2`. `over` is the unit of `x`.
#[derive(Debug, Serialize)]
struct Line {
    name: String,
    over: &'static str,
    points: Vec<(f64, f64)>,
    slope: f64,
    intercept: f64,
    r2: f64,
}

impl Line {
    fn new(name: impl Into<String>, over: &'static str, points: Vec<(f64, f64)>) -> Self {
        let count = f64::from(u32::try_from(points.len()).unwrap_or(u32::MAX));
        let mean = |get: fn(&(f64, f64)) -> f64| points.iter().map(get).sum::<f64>() / count;
        let (x, y) = (mean(|p| p.0), mean(|p| p.1));
        let sum = |f: &dyn Fn(&(f64, f64)) -> f64| points.iter().map(f).sum::<f64>();
        let xx = sum(&|p| (p.0 - x).powi(2));
        let xy = sum(&|p| (p.0 - x) * (p.1 - y));
        let yy = sum(&|p| (p.1 - y).powi(2));
        let slope = xy / xx;
        let r2 = if yy == 0.0 { 1.0 } else { xy * xy / (xx * yy) };
        Self {
            name: name.into(),
            over,
            slope,
            intercept: y - slope * x,
            r2,
            points,
        }
    }
}

#[allow(clippy::cast_precision_loss, reason = "all figures are far below 2^52")]
fn to_f64(number: usize) -> f64 {
    number as f64
}

fn measure_points(sizes: &[u32], mut figure: impl FnMut(u32) -> usize) -> Vec<(f64, f64)> {
    let sizes = sizes.iter();
    sizes
        .map(|&size| (size.into(), to_f64(figure(size))))
        .collect()
}

/// Returns the resident memory of this process in bytes, from `/proc`.
fn resident_bytes() -> usize {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<usize>().ok());
    number.unwrap_or_default() * 1_024
}

fn address() -> SocketAddr {
    SocketAddr::from(([10, 17, 200, 34], 7_000))
}

fn join(number: u32) -> Command {
    Command::Join {
        nonce: u128::MAX - u128::from(number),
        host: format!("host-{number:04}.bangor.example").into(),
        data_centre: format!("centre-{}", number % 8).into(),
        caller: address(),
        peer: address(),
        admin: address(),
    }
}

fn announce(node: Node) -> Command {
    let target = Target {
        address: address(),
        slots: 12,
        connections: 110,
        fencing: true,
        cold_start: Duration::ZERO,
    };
    let pool = "bookings".into();
    Command::Announce { node, pool, target }
}

fn assign(shards: u32, nodes: &[Node]) -> Command {
    let pick = |at: u32| nodes[at as usize % nodes.len()];
    let assignments = (0..shards).map(|shard| Assignment {
        shard: Shard::new(shard),
        epoch: Epoch::new(0),
        to: pick(shard),
        holders: (1..4).map(|more| pick(shard + more)).collect(),
    });
    Command::Assign {
        pool: "bookings".into(),
        assignments: assignments.collect(),
    }
}

/// Builds a control state with one pool, in which every shard has an owner.
fn state(nodes: u32, shards: u32) -> State {
    let mut state = State::new(Config { shards, holders: 3 });
    let mut ids = Vec::new();
    for number in 0..nodes {
        state.apply(state.index().next(), &join(number));
        ids.push(Node::new(state.index().get()));
        let command = announce(ids[ids.len() - 1]);
        state.apply(state.index().next(), &command);
    }
    state.apply(state.index().next(), &assign(shards, &ids));
    state
}

fn control_states(lines: &mut Vec<Line>, retained: &mut Retained) {
    let mut values = Vec::new();
    let mut memory_of = |nodes, shards| {
        let before = resident_bytes();
        values.push(state(nodes, shards));
        resident_bytes().saturating_sub(before)
    };
    let nodes = [900, 1_800, 3_600, 7_200];
    let memory = measure_points(&nodes, |nodes| memory_of(nodes, 256));
    lines.push(Line::new("control state, memory", "nodes", memory));
    let shards = [16_384, 32_768, 65_536];
    let memory = measure_points(&shards, |shards| memory_of(64, shards));
    lines.push(Line::new("control state, memory", "shards", memory));
    retained.push(Box::new(values));
    let encoded = measure_points(&nodes, |nodes| state(nodes, 256).encode().len());
    lines.push(Line::new("control state, encoded", "nodes", encoded));
    let encoded = measure_points(&shards, |shards| state(64, shards).encode().len());
    lines.push(Line::new("control state, encoded", "shards", encoded));
}

fn record(number: u32, body: usize) -> Message {
    let hash = Hash::new(u64::from(number).wrapping_mul(0x9e37_79b9_7f4a_7c15) & !255);
    let record = Record {
        key: RecordKey {
            pool: "ledger".into(),
            hash,
            id: format!("4f1c7d0e-{number:016x}").into(),
        },
        epoch: Epoch::new(1),
        attempt: number.into(),
        fingerprint: Fingerprint::new(number.into()),
        request: Request::new(number.into()),
        state: RecordState::Completed(Answer {
            status: 201,
            headers: vec![("content-type".into(), b"application/json".as_slice().into())],
            body: Some(vec![b'x'; body].into()),
        }),
        age: Duration::ZERO,
    };
    Message::Copy {
        pool: "ledger".into(),
        shard: Shard::new(0),
        epoch: Epoch::new(1),
        records: vec![record],
    }
}

fn records(lines: &mut Vec<Line>, retained: &mut Retained) {
    let filled = |records, body| {
        let memory = usize::MAX;
        let mut holder = Holder::new(holder::Config {
            memory,
            ..holder::Config::default()
        });
        for number in 0..records {
            let reply = holder.handle(Duration::ZERO, record(number, body));
            assert_eq!(reply, Reply::Done, "the holder refuses a record");
        }
        holder
    };
    let mut values = Vec::new();
    let memory = measure_points(&[20_000, 40_000, 80_000], |records| {
        let before = resident_bytes();
        values.push(filled(records, 300));
        resident_bytes().saturating_sub(before)
    });
    lines.push(Line::new("records of 300 B, memory", "records", memory));
    retained.push(Box::new(values));
    let counted = measure_points(&[0, 300, 1_200, 4_800], |body| {
        filled(1, body as usize).memory_used()
    });
    lines.push(Line::new("one record, counted", "bytes of body", counted));
}

/// Measures the memory of both ends of idle links between nodes. It excludes the
/// tasks that serve the links and the socket buffers of the kernel.
async fn links(key: &Key, retained: &mut Retained) -> Result<Line, Box<dyn Error>> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let mut values = Vec::new();
    let mut points = Vec::new();
    for count in [500, 1_000, 2_000] {
        let before = resident_bytes();
        for _ in 0..count {
            let (out, accepted) = tokio::try_join!(
                TcpStream::connect(listener.local_addr()?),
                listener.accept()
            )?;
            values.push(tokio::try_join!(
                Link::connect(out, key),
                Link::accept(accepted.0, key)
            )?);
        }
        let memory = resident_bytes().saturating_sub(before);
        points.push((f64::from(count), to_f64(memory)));
    }
    retained.push(Box::new(values));
    Ok(Line::new("links, both ends, memory", "links", points))
}

/// Measures the CPU time of a control leader's thread, in per cent of a core,
/// while all nodes renew their leases.
async fn leader() -> Result<Line, Box<dyn Error>> {
    const LOAD_DURATION: Duration = Duration::from_secs(2);
    let mut points = Vec::new();
    for count in [450, 900, 1_800, 3_600] {
        let directory = tempfile::tempdir()?;
        let joins = (0..count).map(join).collect();
        let (leader, nodes) = Leader::start(directory.path().to_owned(), joins).await?;
        // The outcome of the first proposals of a term may be unknown, so a few
        // joins may be missing.
        if nodes.len() + 5 < count as usize {
            return Err(format!("{} of {count} nodes joined", nodes.len()).into());
        }
        let rate = f64::from(count) * RENEWALS_PER_SECOND;
        let mut renewals = nodes.iter().cycle();
        let (before, start) = (replica_cpu_time(), Instant::now());
        let mut sent = 0.0;
        while start.elapsed() < LOAD_DURATION {
            while sent < start.elapsed().as_secs_f64() * rate {
                sent += 1.0;
                renewals
                    .next()
                    .into_iter()
                    .for_each(|&node| leader.renewed(node));
            }
            // In a cluster renewals arrive one at a time, so a short sleep keeps
            // the batches small.
            std::thread::sleep(Duration::from_micros(20));
        }
        let used = replica_cpu_time().saturating_sub(before);
        let share = used.as_secs_f64() / start.elapsed().as_secs_f64();
        points.push((f64::from(count), 100.0 * share));
        println!("{} of {count} nodes are live at the end", leader.live());
    }
    Ok(Line::new("leader's thread, % of a core", "nodes", points))
}

/// Returns the CPU time of the most recently started replica thread, from
/// `/proc`.
fn replica_cpu_time() -> Duration {
    let tasks = fs::read_dir("/proc/self/task").into_iter().flatten();
    let used = tasks.flatten().filter_map(|task| {
        let name = fs::read_to_string(task.path().join("comm")).ok()?;
        let time = fs::read_to_string(task.path().join("schedstat")).ok()?;
        (name.trim() == "control-replica").then_some(time.split(' ').next()?.parse().ok()?)
    });
    Duration::from_nanos(used.last().unwrap_or_default())
}

/// Returns the bytes of the frame that sends one committed command to a
/// subscriber.
fn entry_bytes(command: Command) -> usize {
    sample::entries(&[command]).len()
}

fn messages(key: &Key, lines: &mut Vec<Line>) {
    let hot = measure_points(&[0, 4, 8, 16], |hot| {
        UDP_HEADER_BYTES + sample::load(key, LARGE_NODE_ID, hot as usize).len()
    });
    lines.push(Line::new("load report", "hot keys", hot));
    let headers = measure_points(&[0, 5, 10, 20], |headers| {
        sample::forward(LARGE_NODE_ID, headers as usize).len()
    });
    lines.push(Line::new("forwarded head", "headers of 40 B", headers));
    let nodes = [LARGE_NODE_ID; 4];
    let assignments = measure_points(&[1, 64, 512, 4_096], |assignments| {
        entry_bytes(assign(assignments, &nodes))
    });
    lines.push(Line::new("entry Assign", "moves", assignments));
    let released = measure_points(&[1, 16, 64, 256], |shards| {
        let epoch = Epoch::new(LARGE_NODE_ID.get());
        let shards = (0..shards).map(|at| (Shard::new(60_000 + at), epoch));
        let shards = shards.collect();
        entry_bytes(Command::Release {
            node: LARGE_NODE_ID,
            shards,
        })
    });
    lines.push(Line::new("entry Release", "shards", released));
    let changed = measure_points(&[100, 1_000, 10_000, 100_000], |bytes| {
        entry_bytes(Command::ChangeRules {
            id: u128::MAX,
            base: Version::new(100_000),
            operator: "nia".into(),
            text: "x".repeat(bytes as usize).into(),
            longest_deadlines: vec![("bookings".into(), Duration::from_secs(30))],
        })
    });
    lines.push(Line::new("entry Change", "bytes of rules", changed));
}

/// Returns the messages whose size does not depend on the cluster, with their
/// bytes.
fn constants(key: &Key) -> Vec<(&'static str, usize)> {
    let pool: Name = "bookings".into();
    let shard = Shard::new(60_000);
    let epoch = Epoch::new(LARGE_NODE_ID.get());
    let hash = Hash::new(u64::MAX);
    let transfer = Command::Transfer {
        pool: pool.clone(),
        shard,
        epoch,
        to: LARGE_NODE_ID,
    };
    let set_holders = Command::SetHolders {
        node: LARGE_NODE_ID,
        pool: pool.clone(),
        shard,
        epoch,
        base: vec![LARGE_NODE_ID; 3],
        holders: vec![LARGE_NODE_ID; 3],
    };
    let (renewal_bytes, answer) = renewal_bytes(key);
    let dedicate = Command::Dedicate {
        pool: pool.clone(),
        hash,
    };
    vec![
        ("renewal, with UDP", renewal_bytes),
        ("answer to a renewal, with UDP", answer),
        (
            "ping, with TCP and its ACK",
            sample::ping().len() + 2 * TCP_HEADER_BYTES,
        ),
        ("entry Join", entry_bytes(join(0))),
        ("entry Announce", entry_bytes(announce(LARGE_NODE_ID))),
        (
            "entry Drain",
            entry_bytes(Command::Drain {
                node: LARGE_NODE_ID,
            }),
        ),
        (
            "entry Leave",
            entry_bytes(Command::Leave {
                node: LARGE_NODE_ID,
            }),
        ),
        (
            "entry Fence",
            entry_bytes(Command::Fence {
                node: LARGE_NODE_ID,
            }),
        ),
        (
            "entry Remove",
            entry_bytes(Command::Remove {
                node: LARGE_NODE_ID,
            }),
        ),
        ("entry Transfer", entry_bytes(transfer)),
        ("entry Hold", entry_bytes(set_holders)),
        ("entry Single", entry_bytes(dedicate)),
        ("entry Merge", entry_bytes(Command::Merge { pool, hash })),
    ]
}

/// Returns the bytes of a lease renewal and of its answer, with IPv4 and UDP
/// headers.
fn renewal_bytes(key: &Key) -> (usize, usize) {
    let mut state = State::new(Config::default());
    state.apply(
        wisteriaglade_types::Index::new(LARGE_NODE_ID.get()),
        &join(0),
    );
    let mut lease = Renewer::new(key.clone(), LARGE_NODE_ID, 1);
    // A node sends this many renewals in one hour. From then on its sequence
    // number takes three bytes, for three days.
    for _ in 0..24_000 {
        lease.renew();
    }
    let renewal = lease.renew();
    let answer = Replica::new(key.clone(), state).answer(&renewal);
    let answer = answer.map_or(0, |answer| answer.len());
    (UDP_HEADER_BYTES + renewal.len(), UDP_HEADER_BYTES + answer)
}

/// Computes the control bytes per second of an idle node by number of replicas:
/// sent and received together, and sent alone.
fn idle(key: &Key, lines: &mut Vec<Line>) {
    let (renewal_bytes, answer) = renewal_bytes(key);
    let report = to_f64(UDP_HEADER_BYTES + sample::load(key, LARGE_NODE_ID, 0).len());
    let pings = PINGS_PER_SECOND * to_f64(sample::ping().len() + 2 * TCP_HEADER_BYTES);
    let rate = |replicas: u32| RENEWALS_PER_SECOND * f64::from(replicas);
    let points = |bytes: f64, rest: f64| {
        let points = [1, 3, 5, 7].into_iter();
        points
            .map(|n| (f64::from(n), rate(n) * bytes + rest))
            .collect()
    };
    let both = points(to_f64(renewal_bytes + answer), report + pings);
    lines.push(Line::new("control B/s of an idle node", "replicas", both));
    let sent = points(
        to_f64(renewal_bytes),
        report + PINGS_PER_SECOND * to_f64(TCP_HEADER_BYTES),
    );
    lines.push(Line::new("control B/s sent", "replicas", sent));
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> Result<(), Box<dyn Error>> {
    let mut arguments = env::args().skip(1);
    let file = match (arguments.next().as_deref(), arguments.next()) {
        (None, _) => None,
        (Some("--json"), Some(file)) => Some(file),
        _ => return Err("usage: slopes [--json FILE]".into()),
    };
    let key = Key::new("a cluster key of at least sixteen bytes")?;
    let mut lines = Vec::new();
    let mut retained = Retained::new();
    lines.push(links(&key, &mut retained).await?);
    control_states(&mut lines, &mut retained);
    records(&mut lines, &mut retained);
    lines.push(leader().await?);
    messages(&key, &mut lines);
    idle(&key, &mut lines);
    println!(
        "{:<30} {:<16} {:>12} {:>12} {:>7}  points",
        "bytes of", "over", "slope", "intercept", "r2"
    );
    for line in &lines {
        let (name, over, slope) = (&line.name, line.over, line.slope);
        let points = line.points.iter();
        let points: Vec<_> = points.map(|(x, y)| format!("{x}:{y:.1}")).collect();
        let (intercept, r2) = (line.intercept, line.r2);
        println!(
            "{name:<30} {over:<16} {slope:>12.4} {intercept:>12.1} {r2:>7.4}  {}",
            points.join(" ")
        );
    }
    let constants = constants(&key);
    for (name, bytes) in &constants {
        println!("{name:<47} {bytes:>12}");
    }
    if let Some(file) = file {
        let document = serde_json::json!({ "lines": lines, "constants": constants });
        fs::write(file, serde_json::to_vec_pretty(&document)?)?;
    }
    Ok(())
}
