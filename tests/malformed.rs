//! System tests of malformed input on each listener of a fleet, with real
//! processes and fixed seeds.

mod support;

use std::{net::SocketAddr, time::Duration};

use rand::{Rng as _, RngExt as _, SeedableRng as _, rngs::StdRng};
use support::platform::{Fleet, Servers};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpStream,
    time::timeout,
};

const START_BOUND: Duration = Duration::from_secs(15);

/// The memory of a process that runs beside a target on the users' machines.
const MEMORY_LIMIT_KIB: u64 = 160 * 1024;

/// The number of inputs for each listener.
const INPUTS: u64 = 120;

/// How long an input waits for a response before the next one is sent.
const RESPONSE_WAIT: Duration = Duration::from_millis(20);

const HEARTBEAT: &str = r#"{"service":"plain","address":"127.0.0.1:8638","zone":"a","version":"v1",
    "slots":6,"state":"ready","cold-remaining-s":0.5,"seq":4,"born":1700000000000,
    "holds":[[0,4095,7]],"released":[[4096,8191,"5c0e7a21d94b36f8"]]}"#;

const PLAN: &str = r#"{"version":99,"services":[{"name":"plain","max-conns":60}],
    "virtual-hosts":[{"host":"x.example","paths":[{"name":"book","path-prefix":"/book/",
    "kind":"non_idempotent","timeout-s":3,"service":"plain"}]}]}"#;

/// The first frame of a link between processes: its length in four bytes, the
/// number of its type, the session, the address of the sender, and no replica id.
const HELLO: [u8; 14] = [0, 0, 0, 10, 0, 5, 0, 127, 0, 0, 1, 176, 59, 0];

/// A frame that asks for a response, and the response.
const PING: [u8; 5] = [0, 0, 0, 1, 1];
const PONG: [u8; 5] = [0, 0, 0, 1, 2];

/// The number of types of frames, and some that do not exist.
const FRAME_TYPES: u8 = 20;

/// Returns a POST request to `path` with the given body.
fn post(path: &str, body: &[u8]) -> Vec<u8> {
    let head = format!(
        "POST {path} HTTP/1.1\r\nhost: x.example\r\nif-match: 0\r\n\
         x-wisteriaglade-request-id: bad\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    [head.as_bytes(), body].concat()
}

/// Returns well-formed input for each kind of listener.
fn samples() -> Vec<Vec<u8>> {
    let heartbeat = "/rpc?call=instances.heartbeat&of=i-9";
    vec![
        post(heartbeat, HEARTBEAT.as_bytes()),
        post("/rpc?call=instances.leave&of=i-9", br#"{"born":1}"#),
        post("/rpc?call=config.put", PLAN.as_bytes()),
        post("/book/1", b"content"),
        HELLO.to_vec(),
        [&HELLO[..], &PING[..]].concat(),
    ]
}

/// Returns a changed sample: with other bits, cut short, with a part repeated,
/// deeply nested, with a length in front of it, random bytes, or a link with frames
/// of any type and random fields.
fn mutate(random: &mut StdRng, samples: &[Vec<u8>]) -> Vec<u8> {
    let mut input = samples[random.random_range(0..samples.len())].clone();
    match random.random_range(0..9) {
        0 => {
            for _ in 0..random.random_range(1..20) {
                let at = random.random_range(0..input.len());
                input[at] ^= 1 << random.random_range(0..8);
            }
        }
        1 => input.truncate(random.random_range(0..input.len())),
        2 => {
            let from = random.random_range(0..input.len());
            let part = input[from..].to_vec();
            input.extend(part.repeat(random.random_range(1..50)));
        }
        3 => {
            let nested = "[".repeat(random.random_range(200..50_000));
            input = post("/rpc?call=config.put", nested.as_bytes());
        }
        4 => {
            let length = random.random_range(0..=u32::MAX);
            input.splice(..0, length.to_be_bytes());
        }
        5 => {
            input = vec![0; random.random_range(1..2_000)];
            random.fill_bytes(&mut input);
        }
        _ => {
            input = HELLO.to_vec();
            for _ in 0..random.random_range(1..20) {
                let mut fields = vec![0; random.random_range(0..60)];
                random.fill_bytes(&mut fields);
                let length = u32::try_from(fields.len() + 1).unwrap();
                input.extend(length.to_be_bytes());
                input.push(random.random_range(0..FRAME_TYPES));
                input.extend(fields);
            }
        }
    }
    input
}

/// Sends bytes on a connection of their own and returns what comes back.
async fn send(address: SocketAddr, input: &[u8]) -> Vec<u8> {
    let Ok(mut stream) = TcpStream::connect(address).await else {
        panic!("{address} takes no connection");
    };
    // The process may close the connection before it has read everything.
    if stream.write_all(input).await.is_ok() {
        let mut response = Vec::new();
        // Ends at the end of the connection or after a pause.
        while let Ok(Ok(1..)) = timeout(RESPONSE_WAIT, stream.read_buf(&mut response)).await {}
        return response;
    }
    Vec::new()
}

/// Guards against a message that takes a process down, is carried out, or uses up
/// the memory: on the listeners for callers, targets, operators, other processes,
/// the check of readiness and metrics.
#[tokio::test(flavor = "multi_thread")]
async fn malformed_input_ends_no_process() {
    let mut fleet = Fleet::start_with(224, 1, 1, 1, Servers::Heartbeat).await;
    fleet.wait_until_served(1, 7, START_BOUND).await;
    let version = fleet.version(START_BOUND).await;
    let samples = samples();
    let link = fleet.hosts[1].listeners()[1];
    let response = send(link, &[&HELLO[..], &PING[..]].concat()).await;
    assert!(response.ends_with(&PONG), "no link: {response:?}");

    for host in 0..fleet.hosts.len() {
        for (number, port) in fleet.hosts[host].listeners().into_iter().enumerate() {
            let seed = 1_000 * host as u64 + number as u64;
            let mut random = StdRng::seed_from_u64(seed);
            for _ in 0..INPUTS {
                send(port, &mutate(&mut random, &samples)).await;
            }
        }
    }

    for host in &mut fleet.hosts {
        let process = host.process.as_mut().unwrap();
        assert_eq!(process.exit_status(), None);
        assert!(process.resident_kib() < MEMORY_LIMIT_KIB);
    }
    assert_eq!(fleet.version(START_BOUND).await, version);
    fleet.wait_until_served(1, 7, START_BOUND).await;
    fleet.check();
}
