//! Clients on one machine send bodies that are as large as the limits allow.

use std::{
    io::{BufReader, Write as _},
    net::{SocketAddr, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, sleep},
    time::{Duration, Instant},
};

use crate::{
    deployment::Deployment,
    fleet::{OUTBOUND_PORT, Record, SIGKILL, resident_mb},
    http::{call, encode, read_message},
};

/// `limits.memory-mb` of a sidecar machine.
const MEMORY_MB: f64 = 260.0;
/// The size of a body, under `max-body-bytes` (67108864).
const BODY: usize = 64_000_000;
/// How many such bodies are sent at the same time.
const UPLOADS: usize = 2;
/// The clients that keep a connection and send one booking after the other.
const CLIENTS: usize = 10;
/// How long a server works on a booking.
const WORK: Duration = Duration::from_millis(180);
/// A rule is broken by more lost requests than this.
const ALLOWED: usize = 3;

pub fn run(record: &Record, trouble: bool) -> bool {
    let mut deployment = Deployment::start_with(
        record,
        &["catalogue", "bookings", "bookings", "bookings"],
        5.0,
        0.5,
        None,
        WORK,
    );
    let stop = Arc::new(AtomicBool::new(false));
    let pid = deployment.fleet.sides[0].pid();
    let killed = watch_memory(record, pid, &stop);
    let at = deployment.fleet.sides[0].address(OUTBOUND_PORT);
    let unanswered = Arc::new(Mutex::new(Vec::new()));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (record, stop, unanswered) =
                (record.clone(), Arc::clone(&stop), Arc::clone(&unanswered));
            thread::spawn(move || book(&record, at, number, &stop, &unanswered))
        })
        .collect();
    sleep(Duration::from_secs(2));
    if trouble {
        record.note(&format!("{UPLOADS} clients send bodies of {BODY} bytes"));
        let uploads: Vec<_> = (0..UPLOADS)
            .map(|number| {
                let record = record.clone();
                thread::spawn(move || {
                    let id = format!("upload-{number}");
                    let body = vec![b'x'; BODY];
                    let headers = [
                        ("Host", "shop.example"),
                        ("X-Wisteriaglade-Request-Id", id.as_str()),
                        ("X-Wisteriaglade-Deadline-Ms", "5000"),
                    ];
                    let answer = call(
                        at,
                        "POST /bookings/plan HTTP/1.1",
                        &headers,
                        &body,
                        Duration::from_secs(6),
                    );
                    record.note(&format!(
                        "client: {id}: {:?}",
                        answer.map(|answer| answer.status())
                    ));
                })
            })
            .collect();
        for upload in uploads {
            let _ = upload.join();
        }
    } else {
        sleep(Duration::from_secs(3));
    }
    sleep(Duration::from_secs(1));
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let peak = deployment.fleet.sides[0].peak_memory_mb();
    if peak > 0.0 {
        record.note(&format!(
            "the process of sidecar-1 used {peak:.0} MB at most"
        ));
    }
    let ended = killed.lock().unwrap().is_some();
    deployment.stop();
    let seen = deployment.seen.lock().unwrap();
    let unanswered = unanswered.lock().unwrap();
    let lost = unanswered
        .iter()
        .filter(|id| seen.runs.contains_key(*id))
        .count();
    record.note(&format!(
        "{lost} requests on kept connections reached a server and were not answered"
    ));
    ended && lost > ALLOWED
}

/// Kills the process, as the platform does, when it uses more memory than its
/// machine allows.
fn watch_memory(record: &Record, pid: i32, stop: &Arc<AtomicBool>) -> Arc<Mutex<Option<Instant>>> {
    let killed = Arc::new(Mutex::new(None));
    let (record, stop, result) = (record.clone(), Arc::clone(stop), Arc::clone(&killed));
    thread::spawn(move || {
        while !stop.load(Ordering::Relaxed) {
            let used = resident_mb(pid);
            if used > MEMORY_MB {
                record.note(&format!("platform: the process of sidecar-1 uses {used:.0} MB of {MEMORY_MB} MB and is killed"));
                crate::fleet::send_signal(pid, SIGKILL);
                *result.lock().unwrap() = Some(Instant::now());
                return;
            }
            sleep(Duration::from_millis(2));
        }
    });
    killed
}

/// Sends one booking after the other on one connection.
fn book(
    record: &Record,
    at: SocketAddr,
    client: usize,
    stop: &AtomicBool,
    unanswered: &Mutex<Vec<String>>,
) {
    let Ok(stream) = TcpStream::connect(at) else {
        return;
    };
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(Duration::from_secs(2)));
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    let mut number = 0;
    while !stop.load(Ordering::Relaxed) {
        number += 1;
        let id = format!("booking-{client}-{number}");
        let headers = [
            ("Host", "shop.example"),
            ("X-Wisteriaglade-Request-Id", id.as_str()),
            ("X-Wisteriaglade-Deadline-Ms", "1500"),
        ];
        if writer
            .write_all(&encode(
                "POST /bookings/pitch HTTP/1.1",
                &headers,
                b"string of lanterns",
            ))
            .is_err()
        {
            return;
        }
        match read_message(&mut reader) {
            Ok(Some(answer)) => record.line(&format!("client: {id}: {}", answer.status())),
            other => {
                record.note(&format!(
                    "client: {id}: the connection ended without an answer ({:?})",
                    other.err().map(|error| error.kind())
                ));
                unanswered.lock().unwrap().push(id);
                return;
            }
        }
    }
}
