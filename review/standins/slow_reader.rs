//! A machine is stopped with SIGTERM while clients read their answers slowly.

use std::{
    io::{Read as _, Write as _},
    net::SocketAddr,
    net::TcpStream,
    os::fd::FromRawFd as _,
    sync::{Arc, Mutex},
    thread::{self, sleep},
    time::{Duration, Instant},
};

use crate::{
    deployment::Deployment,
    fleet::{OUTBOUND_PORT, Record, SIGTERM, fail},
    http::encode,
    server::Behaviour,
};

/// The size of an answer in bytes.
const ANSWER: usize = 4_000_000;
/// How many clients read at the same time.
const CLIENTS: usize = 6;
/// What a client reads at a time, and the pause after it: about 800 KB a second,
/// so that an answer is read after 5 s.
const PIECE: usize = 42_000;
const READ_PAUSE: Duration = Duration::from_millis(50);
/// The receive window of a client in bytes.
const WINDOW: i32 = 65_536;
/// How long the clients wait, and the route's timeout.
const DEADLINE: Duration = Duration::from_secs(10);
/// `grace-s`.
const GRACE: Duration = Duration::from_secs(6);

struct Outcome {
    expected: usize,
    read: usize,
    end: Instant,
}

pub fn run(record: &Record, trouble: bool) -> bool {
    let behaviour: Behaviour = Arc::new(|server, request, writer: &mut TcpStream| {
        if !server.accepts(request) || !request.first.contains("/bookings/") {
            return false;
        }
        let id = request
            .header("x-wisteriaglade-request-id")
            .unwrap_or_default();
        server.record_run(id);
        let seal = format!("seal-{id}");
        let own = [
            ("X-Wisteriaglade-Request-Id", id),
            ("X-Wisteriaglade-Response-Seal", seal.as_str()),
        ];
        let answer = encode("HTTP/1.1 200 OK", &own, &vec![b'b'; ANSWER]);
        writer.write_all(&answer).is_err()
    });
    let mut deployment = Deployment::start(
        record,
        &["catalogue", "bookings", "bookings"],
        DEADLINE.as_secs_f64(),
        Some(behaviour),
    );
    let at = deployment.fleet.sides[0].address(OUTBOUND_PORT);
    let outcomes = Arc::new(Mutex::new(Vec::new()));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (record, outcomes) = (record.clone(), Arc::clone(&outcomes));
            thread::spawn(move || {
                let id = format!("booking-{number}");
                let outcome = read_slowly(at, &id);
                match outcome {
                    Ok(outcome) => {
                        record.note(&format!(
                            "client: {id}: {} of {} bytes",
                            outcome.read, outcome.expected
                        ));
                        outcomes.lock().unwrap().push(outcome);
                    }
                    Err(error) => record.note(&format!("client: {id}: {error}")),
                }
            })
        })
        .collect();
    sleep(Duration::from_millis(300));
    let stopped = Instant::now();
    if trouble {
        record.note("SIGTERM to sidecar-1");
        deployment.fleet.sides[0].signal(SIGTERM);
    }
    let mut ended = None;
    while stopped.elapsed() < GRACE {
        if ended.is_none() && deployment.fleet.sides[0].has_ended() {
            ended = Some(stopped.elapsed());
            record.note(&format!(
                "the process of sidecar-1 has ended {:.1} s after SIGTERM",
                stopped.elapsed().as_secs_f64()
            ));
        }
        sleep(Duration::from_millis(20));
    }
    deployment.fleet.sides[0].kill();
    for client in clients {
        let _ = client.join();
    }
    let outcomes = outcomes.lock().unwrap();
    let cut = outcomes
        .iter()
        .filter(|outcome| {
            outcome.read < outcome.expected && outcome.end < stopped + GRACE.mul_f64(5.0 / 6.0)
        })
        .count();
    record.note(&format!(
        "{cut} of {CLIENTS} answers were cut off within the first five sixths of grace-s"
    ));
    deployment.stop();
    cut > 0
}

/// Sends a booking and reads the answer slowly.
fn read_slowly(at: std::net::SocketAddr, id: &str) -> std::io::Result<Outcome> {
    let mut stream = connect_small(at, WINDOW);
    stream.set_read_timeout(Some(DEADLINE))?;
    let deadline = DEADLINE.as_millis().to_string();
    let headers = [
        ("Host", "shop.example"),
        ("X-Wisteriaglade-Request-Id", id),
        ("X-Wisteriaglade-Deadline-Ms", deadline.as_str()),
    ];
    stream.write_all(&encode(
        "POST /bookings/pitch HTTP/1.1",
        &headers,
        b"string of lanterns",
    ))?;
    let mut piece = vec![0; PIECE];
    let mut answer = Vec::new();
    let mut expected = usize::MAX;
    loop {
        let length = stream.read(&mut piece).unwrap_or(0);
        answer.extend_from_slice(&piece[..length]);
        if expected == usize::MAX {
            if let Some(at) = answer.windows(4).position(|part| part == b"\r\n\r\n") {
                let head = String::from_utf8_lossy(&answer[..at]).to_ascii_lowercase();
                let length = head
                    .split("content-length:")
                    .nth(1)
                    .and_then(|rest| rest.split("\r\n").next()?.trim().parse::<usize>().ok());
                expected = at + 4 + length.unwrap_or(0);
            }
        }
        if length == 0 || answer.len() >= expected {
            return Ok(Outcome {
                expected,
                read: answer.len(),
                end: Instant::now(),
            });
        }
        sleep(READ_PAUSE);
    }
}

extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn connect(socket: i32, address: *const SocketAddress, length: u32) -> i32;
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
}

#[repr(C)]
struct SocketAddress {
    family: u16,
    port: [u8; 2],
    ip: [u8; 4],
    zero: [u8; 8],
}

/// Connects as a client on another machine does: with segments of an Ethernet
/// link and a small receive window. Loopback has segments of 64 KB otherwise.
fn connect_small(address: SocketAddr, window: i32) -> TcpStream {
    const AF_INET: i32 = 2;
    const SOCK_STREAM: i32 = 1;
    const SOL_SOCKET: i32 = 1;
    const SO_RCVBUF: i32 = 8;
    const IPPROTO_TCP: i32 = 6;
    const TCP_MAXSEG: i32 = 2;
    let SocketAddr::V4(address) = address else {
        fail("not an IPv4 address")
    };
    let to = SocketAddress {
        family: AF_INET as u16,
        port: address.port().to_be_bytes(),
        ip: address.ip().octets(),
        zero: [0; 8],
    };
    let segment = 1_460;
    unsafe {
        let descriptor = socket(AF_INET, SOCK_STREAM, 0);
        setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &window, 4);
        setsockopt(descriptor, IPPROTO_TCP, TCP_MAXSEG, &segment, 4);
        if connect(descriptor, &to, 16) != 0 {
            fail("the client cannot connect");
        }
        TcpStream::from_raw_fd(descriptor)
    }
}
