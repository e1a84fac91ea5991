//! The stop of a process while callers connect to it and send requests.

mod support;

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt as _, Empty};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use rand::{RngExt as _, SeedableRng as _, rngs::StdRng};
use rstest::rstest;
use support::{
    cluster::{Cluster, Options},
    platform::Fleet,
    process::Process,
};
use tokio::{net::TcpStream, task::JoinSet, time::timeout};

/// The seeds of the stops. Each sets the pauses of the callers and the moment at
/// which the process is held for a while. `STOP_SEEDS=FROM..TO` plays others.
const SEEDS: [u64; 12] = [1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12];

/// The number of concurrent callers.
const CALLERS: u64 = 24;

/// How long callers run before the stop begins.
const WARM_UP: Duration = Duration::from_millis(200);

/// The latest moment, counted from the signal, at which the process is held. A
/// stop without other hosts gets to its end within this time.
const MAX_HOLD_DELAY: Duration = Duration::from_millis(6);

/// The seeds of the stops of a host of a fleet, which take some seconds each.
const FLEET_SEEDS: [u64; 2] = [1, 2];

/// The earliest moment, counted from the signal, at which a host of a fleet is
/// held. It ends between 2.3 s and 2.9 s after the signal.
const MIN_FLEET_HOLD_DELAY: Duration = Duration::from_millis(2_290);

/// The time after [`MIN_FLEET_HOLD_DELAY`] within which a host of a fleet is held.
const FLEET_HOLD_RANGE: Duration = Duration::from_millis(610);

/// The time limit for a host of a fleet to serve.
const START_BOUND: Duration = Duration::from_secs(20);

/// How long the process is held. Connections that are opened meanwhile are
/// accepted by the kernel only.
const HOLD: Duration = Duration::from_millis(15);

/// The time limit of an attempt to connect, after which a caller gives up.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// The time limit for the process to exit.
const EXIT_BOUND: Duration = Duration::from_secs(20);

/// How a caller uses its connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Habit {
    /// One connection for each request, which is sent at once.
    New,
    /// One connection for each request, which is sent some milliseconds later.
    NewAndSlow,
    /// One connection for many requests, for as long as the answers allow it.
    Kept,
}

impl Habit {
    /// Returns the pause before a request in a connection that is open.
    fn pause(self, random: &mut StdRng) -> Duration {
        let longest = match self {
            Self::New => return Duration::ZERO,
            Self::NewAndSlow => 4_000,
            Self::Kept => 10_000,
        };
        Duration::from_micros(random.random_range(0..longest))
    }
}

/// How a request ended for its caller.
#[derive(Debug)]
enum End {
    Answered {
        reusable: bool,
    },
    /// The connection was refused, or closed before anything was sent.
    Unsent,
    /// The request was sent and got no whole answer.
    Cut(String),
}

/// Opens a connection. Returns `None` when the attempt is refused or ignored, as it
/// is at the end of a process.
async fn connect(address: SocketAddr) -> Option<TcpStream> {
    let attempt = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let stream = attempt.ok()?.ok()?;
    stream.set_nodelay(true).unwrap();
    Some(stream)
}

async fn open(stream: TcpStream) -> SendRequest<Empty<Bytes>> {
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.unwrap();
    tokio::spawn(connection);
    sender
}

async fn send(sender: &mut SendRequest<Empty<Bytes>>, request: Request<Empty<Bytes>>) -> End {
    if sender.ready().await.is_err() {
        return End::Unsent;
    }
    let answer = match sender.send_request(request).await {
        Ok(answer) => answer,
        Err(error) if error.is_canceled() => return End::Unsent,
        Err(error) => return End::Cut(format!("{error:?}")),
    };
    let closes = answer.headers().get("connection").is_some();
    match answer.into_body().collect().await {
        Ok(_) => End::Answered { reusable: !closes },
        Err(error) => End::Cut(format!("{error:?}")),
    }
}

/// A read at a node.
fn node_request(number: u64) -> Request<Empty<Bytes>> {
    let request = Request::get(format!("/bookings/k{}", number % 200)).header("host", "node");
    request.body(Empty::new()).unwrap()
}

/// A read at a host of a fleet.
fn fleet_request(number: u64) -> Request<Empty<Bytes>> {
    let id = format!("read-{number}");
    let request = Request::get(format!("/read/{id}"))
        .header("host", "x.example")
        .header("x-wisteriaglade-request-id", &id)
        .header("x-wisteriaglade-deadline-ms", "2000")
        .header("x-wisteriaglade-shard-key", number % 1000);
    request.body(Empty::new()).unwrap()
}

/// Sends one request after another until the process accepts no connections, and
/// returns the number of answers and the requests that were cut.
async fn run_caller(
    address: SocketAddr,
    habit: Habit,
    request: fn(u64) -> Request<Empty<Bytes>>,
    seed: u64,
) -> (usize, Vec<String>) {
    let mut random = StdRng::seed_from_u64(seed);
    let (mut answers, mut cut) = (0, Vec::new());
    while let Some(stream) = connect(address).await {
        let mut pause = habit.pause(&mut random);
        tokio::time::sleep(pause).await;
        let mut sender = open(stream).await;
        loop {
            match send(&mut sender, request(random.random())).await {
                End::Answered { reusable } => {
                    answers += 1;
                    if habit != Habit::Kept || !reusable {
                        break;
                    }
                }
                End::Unsent => break,
                End::Cut(cause) => {
                    cut.push(cause);
                    break;
                }
            }
            pause = habit.pause(&mut random);
            tokio::time::sleep(pause).await;
        }
    }
    (answers, cut)
}

/// Callers of one process.
struct Callers(JoinSet<(usize, Vec<String>)>);

impl Callers {
    fn start(
        address: SocketAddr,
        habit: Habit,
        request: fn(u64) -> Request<Empty<Bytes>>,
        seed: u64,
    ) -> Self {
        let mut callers = JoinSet::new();
        for caller in 0..CALLERS {
            callers.spawn(run_caller(address, habit, request, seed * CALLERS + caller));
        }
        Self(callers)
    }

    /// Waits until the process accepts no connections and returns the requests
    /// that were cut.
    async fn end(self, seed: u64) -> Vec<String> {
        let ends = self.0.join_all().await;
        let answers: usize = ends.iter().map(|(answers, _)| answers).sum();
        let cut: Vec<String> = ends.into_iter().flat_map(|(_, cut)| cut).collect();
        eprintln!("seed {seed}: {answers} answers, {} cut", cut.len());
        assert!(answers > 0, "seed {seed}");
        cut
    }
}

/// Asks a process to stop, holds it `delay` later for [`HOLD`] and waits until it
/// exits.
async fn stop(process: &mut Process, delay: Duration) {
    process.terminate();
    tokio::time::sleep(delay).await;
    process.pause();
    tokio::time::sleep(HOLD).await;
    process.resume();
    let status = process.wait(EXIT_BOUND).await;
    assert!(status.success(), "{status}");
}

/// Guards against a stop that resets connections which the kernel had accepted:
/// those in the queue of the listener, those whose request had not been read yet,
/// and kept ones on which a request arrives at the end. The process is held at a
/// random moment of its stop, so that such connections exist.
#[rstest]
#[case::new(Habit::New)]
#[case::new_and_slow(Habit::NewAndSlow)]
#[case::kept(Habit::Kept)]
#[tokio::test(flavor = "multi_thread")]
async fn a_request_on_an_accepted_connection_is_answered(#[case] habit: Habit) {
    let mut cluster = Cluster::start(Options {
        hosts: 1,
        ..Options::default()
    })
    .await;
    let address = cluster.hosts[0].caller;
    let mut found = Vec::new();
    for seed in support::seeds("STOP_SEEDS", &SEEDS) {
        let mut random = StdRng::seed_from_u64(seed);
        let callers = Callers::start(address, habit, node_request, seed);
        tokio::time::sleep(WARM_UP).await;

        let process = cluster.hosts[0].process.as_mut().unwrap();
        stop(process, MAX_HOLD_DELAY.mul_f64(random.random())).await;

        let cut = callers.end(seed).await;
        if !cut.is_empty() {
            found.push((seed, cut));
        }
        cluster.launch(0);
        cluster.ready().await;
    }
    assert!(found.is_empty(), "{found:#?}");
}

/// Guards against the same faults in the process beside a target of a fleet.
#[rstest]
#[case::new(Habit::New)]
#[case::new_and_slow(Habit::NewAndSlow)]
#[case::kept(Habit::Kept)]
#[tokio::test(flavor = "multi_thread")]
async fn a_request_to_a_host_of_a_fleet_is_answered(#[case] habit: Habit) {
    let mut fleet = Fleet::start(1, 1, 1, 1).await;
    let address = fleet.hosts[1].callers();
    let mut found = Vec::new();
    for seed in support::seeds("STOP_SEEDS", &FLEET_SEEDS) {
        fleet.wait_until_served(1, 7, START_BOUND).await;
        let mut random = StdRng::seed_from_u64(seed);
        let callers = Callers::start(address, habit, fleet_request, seed);
        tokio::time::sleep(WARM_UP).await;

        let hold = MIN_FLEET_HOLD_DELAY + FLEET_HOLD_RANGE.mul_f64(random.random());
        let mut process = fleet.hosts[1].process.take().unwrap();
        stop(&mut process, hold).await;

        let cut = callers.end(seed).await;
        if !cut.is_empty() {
            found.push((seed, cut));
        }
        fleet.hosts[1].start();
    }
    fleet.check();
    assert!(found.is_empty(), "{found:#?}");
}
