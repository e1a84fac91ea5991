//! A stand-in for an application server, with its heartbeats.

use std::{
    collections::HashMap,
    io::{BufReader, Write as _},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    fleet::Record,
    http::{Message, call, encode, read_message},
};

pub const BEAT: Duration = Duration::from_millis(870);

/// A key range: first and last key, and fencing token.
type Row = (u16, u16, u64);

/// What all servers of a case have run and held.
#[derive(Default)]
pub struct Seen {
    /// How often each request has run, by id.
    pub runs: HashMap<String, u32>,
    /// Holds that have begun: server, range, and the end, which is moved when
    /// the server renews or releases the range.
    pub holds: Vec<Hold>,
}

/// The time for which a server has held a range without a break.
#[derive(Clone, Debug)]
pub struct Hold {
    pub server: String,
    pub row: Row,
    pub from: Instant,
    pub until: Instant,
}

/// A server's answer to a request.
pub type Behaviour = Arc<dyn Fn(&Server, &Message, &mut TcpStream) -> bool + Send + Sync>;

pub struct Server {
    pub id: String,
    pub born: u64,
    pub service: String,
    pub address: SocketAddr,
    pub control: SocketAddr,
    pub sharded: bool,
    pub work: Duration,
    pub record: Record,
    pub seen: Arc<Mutex<Seen>>,
    /// Answers in place of the server if it returns true.
    pub behaviour: Option<Behaviour>,
    pub stop: AtomicBool,
    pub draining: AtomicBool,
    held: Mutex<Vec<(Row, Instant)>>,
    released: Mutex<Vec<(u16, u16, String)>>,
    seq: Mutex<u64>,
    connections: Mutex<Vec<TcpStream>>,
    answer_bytes: Mutex<usize>,
    /// When the first heartbeat that says `draining` was acknowledged.
    drain_acknowledged: Mutex<Option<Instant>>,
    /// The requests that arrived and were not refused with 421, and when.
    arrivals: Mutex<Vec<(String, Instant)>>,
}

pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_millis() as u64
}

pub struct Setup {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub control: SocketAddr,
    pub sharded: bool,
    pub work: Duration,
    pub behaviour: Option<Behaviour>,
}

/// Starts a server and its heartbeats.
pub fn start(setup: Setup, record: &Record, seen: &Arc<Mutex<Seen>>) -> Arc<Server> {
    let server = Arc::new(Server {
        id: setup.id,
        born: unix_ms(),
        service: setup.service,
        address: setup.address,
        control: setup.control,
        sharded: setup.sharded,
        work: setup.work,
        record: record.clone(),
        seen: Arc::clone(seen),
        behaviour: setup.behaviour,
        stop: AtomicBool::new(false),
        draining: AtomicBool::new(false),
        held: Mutex::default(),
        released: Mutex::default(),
        seq: Mutex::new(0),
        connections: Mutex::default(),
        answer_bytes: Mutex::new(0),
        drain_acknowledged: Mutex::new(None),
        arrivals: Mutex::default(),
    });
    let listener = TcpListener::bind(server.address).expect("the server's address is in use");
    let accepting = Arc::clone(&server);
    thread::spawn(move || {
        for stream in listener.incoming() {
            if accepting.stop.load(Ordering::Relaxed) {
                return;
            }
            let Ok(stream) = stream else { continue };
            if let Ok(copy) = stream.try_clone() {
                accepting.connections.lock().unwrap().push(copy);
            }
            let server = Arc::clone(&accepting);
            thread::spawn(move || server.serve(stream));
        }
    });
    let beating = Arc::clone(&server);
    thread::spawn(move || beating.beat_forever());
    server
}

impl Server {
    /// Serves the requests of one connection, one after the other.
    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = read_message(&mut reader) {
            if self.stop.load(Ordering::Relaxed) {
                return;
            }
            if let Some(behaviour) = &self.behaviour {
                if behaviour(self, &request, &mut writer) {
                    return;
                }
            }
            let answer = self.answer(&request);
            if writer.write_all(&answer).is_err() {
                return;
            }
        }
    }

    /// Whether the server may run a request; if not, its answer says so.
    pub fn accepts(&self, request: &Message) -> bool {
        let target = request.header("x-wisteriaglade-target-instance");
        let key = request
            .header("x-wisteriaglade-shard-key")
            .and_then(|key| key.parse().ok());
        let holds = key.is_some_and(|key: u16| {
            let now = Instant::now();
            let held = self.held.lock().unwrap();
            held.iter()
                .any(|((from, to, _), until)| (*from..=*to).contains(&key) && *until > now)
        });
        target.is_none_or(|target| target == self.id) && (holds || !self.sharded)
    }

    pub fn record_run(&self, id: &str) {
        *self
            .seen
            .lock()
            .unwrap()
            .runs
            .entry(id.to_owned())
            .or_default() += 1;
        self.record.line(&format!("server {} runs {id}", self.id));
    }

    fn answer(&self, request: &Message) -> Vec<u8> {
        let id = request
            .header("x-wisteriaglade-request-id")
            .unwrap_or_default()
            .to_owned();
        let own = [("X-Wisteriaglade-Request-Id", id.as_str())];
        if request.first.contains(" /health") {
            let own = [("X-Wisteriaglade-Instance-Id", self.id.as_str())];
            return encode("HTTP/1.1 200 OK", &own, b"");
        }
        if !self.accepts(request) {
            let own = [own[0], ("X-Wisteriaglade-Not-Executed", "1")];
            return encode("HTTP/1.1 421 Misdirected Request", &own, b"");
        }
        self.arrivals
            .lock()
            .unwrap()
            .push((id.clone(), Instant::now()));
        self.record_run(&id);
        thread::sleep(self.work);
        let seal = format!("seal-{id}");
        let own = [own[0], ("X-Wisteriaglade-Response-Seal", seal.as_str())];
        encode(
            "HTTP/1.1 200 OK",
            &own,
            format!("{id} by {}", self.id).as_bytes(),
        )
    }

    fn beat_forever(&self) {
        while !self.stop.load(Ordering::Relaxed) {
            self.beat();
            let is_releasing = !self.released.lock().unwrap().is_empty();
            thread::sleep(if is_releasing {
                Duration::from_millis(90)
            } else {
                BEAT
            });
        }
    }

    /// Sends a heartbeat and takes the ranges of its answer.
    fn beat(&self) {
        let sent = Instant::now();
        let (holds, released) = {
            let mut held = self.held.lock().unwrap();
            held.retain(|(_, until)| *until > sent);
            let holds: Vec<String> = held
                .iter()
                .map(|((from, to, fence), _)| format!("[{from},{to},{fence}]"))
                .collect();
            (holds.join(","), self.released.lock().unwrap().clone())
        };
        let seq = {
            let mut seq = self.seq.lock().unwrap();
            *seq += 1;
            *seq
        };
        let state = if self.draining.load(Ordering::Relaxed) {
            "draining"
        } else {
            "ready"
        };
        let rows: Vec<String> = released
            .iter()
            .map(|(from, to, text)| format!("[{from},{to},\"{text}\"]"))
            .collect();
        let body = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"caerdydd\",\"version\":\"v1\",\"slots\":12,\"state\":\"{state}\",\"cold-remaining-s\":0,\"seq\":{seq},\"born\":{},\"holds\":[{holds}],\"released\":[{}]}}",
            self.service,
            self.address,
            self.born,
            rows.join(",")
        );
        let line = format!("POST /rpc?call=instances.heartbeat&of={} HTTP/1.1", self.id);
        let headers = [("Host", "control"), ("Content-Type", "application/json")];
        let answer = call(
            self.control,
            &line,
            &headers,
            body.as_bytes(),
            Duration::from_secs(1),
        );
        let Ok(answer) = answer else { return };
        if self.stop.load(Ordering::Relaxed) {
            return;
        }
        *self.answer_bytes.lock().unwrap() = answer.body.len();
        if answer.status() != 200 || answer.body.len() > 4096 {
            self.record.line(&format!(
                "server {} heartbeat {seq}: {} with {} bytes",
                self.id,
                answer.status(),
                answer.body.len()
            ));
            return;
        }
        if state == "draining" {
            self.drain_acknowledged
                .lock()
                .unwrap()
                .get_or_insert_with(Instant::now);
        }
        self.released
            .lock()
            .unwrap()
            .retain(|row| !released.contains(row));
        if let Some((rows, hold)) = parse_grant(&String::from_utf8_lossy(&answer.body)) {
            self.take(&rows, sent + Duration::from_secs_f64(hold));
        }
    }

    /// Holds the rows of an answer until `until`, and releases all others.
    fn take(&self, rows: &[Row], until: Instant) {
        let now = Instant::now();
        let mut seen = self.seen.lock().unwrap();
        let mut held = self.held.lock().unwrap();
        for (row, _) in held.iter() {
            let stays = rows
                .iter()
                .any(|new| new.0 <= row.0 && row.1 <= new.1 && new.2 == row.2);
            if !stays {
                self.released
                    .lock()
                    .unwrap()
                    .push((row.0, row.1, format!("{:016x}", row.2)));
                self.record.line(&format!(
                    "server {} releases {}..={} token {}",
                    self.id, row.0, row.1, row.2
                ));
                for hold in seen
                    .holds
                    .iter_mut()
                    .filter(|hold| hold.server == self.id && hold.row == *row)
                {
                    hold.until = hold.until.min(now);
                }
            }
        }
        *held = rows.iter().map(|row| (*row, until)).collect();
        for row in rows {
            let known = seen
                .holds
                .iter_mut()
                .find(|hold| hold.server == self.id && hold.row == *row && hold.until >= now);
            match known {
                Some(hold) => hold.until = until,
                None => {
                    self.record.line(&format!(
                        "server {} holds {}..={} token {}",
                        self.id, row.0, row.1, row.2
                    ));
                    seen.holds.push(Hold {
                        server: self.id.clone(),
                        row: *row,
                        from: now,
                        until,
                    });
                }
            }
        }
    }

    /// Ends the server at once: it holds nothing any more.
    pub fn crash(&self) {
        self.stop.store(true, Ordering::Relaxed);
        let now = Instant::now();
        for hold in self
            .seen
            .lock()
            .unwrap()
            .holds
            .iter_mut()
            .filter(|hold| hold.server == self.id)
        {
            hold.until = hold.until.min(now);
        }
        for connection in self.connections.lock().unwrap().drain(..) {
            let _ = connection.shutdown(std::net::Shutdown::Both);
        }
        // Wakes the listener so that it closes.
        drop(TcpStream::connect(self.address));
        self.record.line(&format!("server {} ends", self.id));
    }

    /// Announces that the server leaves.
    pub fn leave(&self) {
        let line = format!("POST /rpc?call=instances.leave&of={} HTTP/1.1", self.id);
        let body = format!("{{\"born\":{}}}", self.born);
        let headers = [("Host", "control"), ("Content-Type", "application/json")];
        let answer = call(
            self.control,
            &line,
            &headers,
            body.as_bytes(),
            Duration::from_secs(1),
        );
        let status = answer.map_or(0, |answer| answer.status());
        self.record
            .line(&format!("server {} leaves: {status}", self.id));
    }

    /// The number of ranges that the server holds.
    pub fn held_rows(&self) -> usize {
        let now = Instant::now();
        let held = self.held.lock().unwrap();
        held.iter().filter(|(_, until)| *until > now).count()
    }

    /// When the server's announcement that it drains was acknowledged.
    pub fn drain_acknowledged(&self) -> Option<Instant> {
        *self.drain_acknowledged.lock().unwrap()
    }

    /// The requests that have arrived and were not refused with 421.
    pub fn arrivals(&self) -> Vec<(String, Instant)> {
        self.arrivals.lock().unwrap().clone()
    }

    /// The length of the answer to the last heartbeat.
    pub fn answer_bytes(&self) -> usize {
        *self.answer_bytes.lock().unwrap()
    }

    pub fn holds_keys(&self) -> usize {
        let now = Instant::now();
        let held = self.held.lock().unwrap();
        held.iter()
            .filter(|(_, until)| *until > now)
            .map(|(row, _)| usize::from(row.1 - row.0) + 1)
            .sum()
    }
}

/// Reads the rows and the hold of a heartbeat's answer; `None` if it renews
/// nothing.
fn parse_grant(text: &str) -> Option<(Vec<Row>, f64)> {
    let after = |name: &str| {
        let at = text.find(name)? + name.len();
        text[at..].trim_start().strip_prefix(':')
    };
    let hold = after("\"hold-s\"")?;
    let end = hold
        .find(|c: char| !(c.is_ascii_digit() || ".eE+-".contains(c)))
        .unwrap_or(hold.len());
    let hold: f64 = hold[..end].parse().ok()?;
    let list = after("\"holds\"")?.strip_prefix('[')?;
    let mut rows = Vec::new();
    for part in list.split('[').skip(1) {
        let inner = part.split(']').next()?;
        let mut numbers = inner
            .split(',')
            .map(|number| number.trim().trim_matches('"'));
        rows.push((
            numbers.next()?.parse().ok()?,
            numbers.next()?.parse().ok()?,
            numbers.next()?.parse().ok()?,
        ));
        if part.contains("]]") {
            break;
        }
    }
    Some((rows, hold))
}
