//! Clients open new connections and leave them open after one request.

use std::{
    io::{BufReader, Write as _},
    net::{SocketAddr, TcpStream},
    thread::sleep,
    time::{Duration, Instant},
};

use crate::{
    deployment::Deployment,
    fleet::{OUTBOUND_PORT, Record},
    http::{Message, encode, read_message},
};

/// `limits.max-fds` of a sidecar machine.
const DESCRIPTORS: u64 = 4_100;
/// The connections that are opened, and the time between two of them. At this rate
/// about 1,500 have been idle for less than `idle-timeout-s` (15).
const CONNECTIONS: u32 = 4_300;
const PAUSE: Duration = Duration::from_millis(10);
/// Longer than `idle-timeout-s`.
const IDLE: Duration = Duration::from_secs(17);
/// The route's timeout, which is also the deadline of the clients.
const TIMEOUT: Duration = Duration::from_millis(1_200);
/// How long after the timeout a request may be unanswered.
const BOUND: Duration = Duration::from_millis(500);
/// The requests that are sent afterwards.
const REQUESTS: usize = 10;

pub fn run(record: &Record, trouble: bool) -> bool {
    let services = ["catalogue", "catalogue", "bookings"];
    let work = Duration::from_millis(2);
    let mut deployment =
        Deployment::start_with(record, &services, TIMEOUT.as_secs_f64(), 0.5, None, work);
    let side = &deployment.fleet.sides[0];
    side.limit_descriptors(DESCRIPTORS);
    let at = side.address(OUTBOUND_PORT);
    let began = Instant::now();
    let mut open = Vec::new();
    let mut unanswered = 0;
    let count = if trouble { CONNECTIONS } else { 100 };
    for number in 0..count {
        let (stream, answer) = ask(at, &format!("idle-{number}"));
        unanswered += usize::from(answer.is_none());
        open.extend(stream);
        if unanswered > 5 {
            break;
        }
        sleep((PAUSE * number).saturating_sub(began.elapsed()));
    }
    record.note(&format!(
        "{} connections were opened in {:.0} s and are left open; {unanswered} were not answered",
        open.len(),
        began.elapsed().as_secs_f64()
    ));
    sleep(IDLE);
    let mut unanswered = 0;
    for number in 0..REQUESTS {
        let (_, answer) = ask(at, &format!("new-{number}"));
        let status = answer.as_ref().map_or(0, Message::status);
        record.line(&format!("client: new-{number}: {status}"));
        unanswered += usize::from(answer.is_none());
    }
    record.note(&format!(
        "{unanswered} of {REQUESTS} requests had no answer half a second after the route's timeout"
    ));
    deployment.stop();
    unanswered * 2 > REQUESTS
}

/// Sends a request on a new connection. Returns the connection and the answer, if
/// it comes in time.
fn ask(at: SocketAddr, id: &str) -> (Option<TcpStream>, Option<Message>) {
    let Ok(mut stream) = TcpStream::connect_timeout(&at, Duration::from_secs(1)) else {
        return (None, None);
    };
    let _ = stream.set_read_timeout(Some(TIMEOUT + BOUND));
    let headers = [
        ("Host", "shop.example"),
        ("X-Wisteriaglade-Request-Id", id),
        ("X-Wisteriaglade-Deadline-Ms", "1200"),
        ("X-Wisteriaglade-Shard-Key", "5"),
    ];
    let request = encode("GET /catalogue/lamp HTTP/1.1", &headers, b"");
    let answer = stream
        .write_all(&request)
        .and_then(|()| stream.try_clone())
        .and_then(|copy| read_message(&mut BufReader::new(copy)));
    (Some(stream), answer.ok().flatten())
}
