//! A server leaves while requests wait for it.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, sleep},
    time::{Duration, Instant},
};

use crate::{
    deployment::Deployment,
    fleet::{OUTBOUND_PORT, Record, SIGTERM},
    http::call,
};

/// How long a server works on a booking.
const WORK: Duration = Duration::from_millis(2_100);
/// The server that leaves: one of seven, a share of 0.15 as in `scale_in`.
const LEAVING: usize = 7;
/// The clients of the deployment, each of which sends one booking after the other.
const CLIENTS: usize = 300;
/// `drain-s`.
const DRAIN: Duration = Duration::from_secs(2);
/// How long after the acknowledgement the server ends: `drain-s` and a little
/// longer.
const END: Duration = Duration::from_millis(4_500);
/// The objective of the route (`slo-s`).
const OBJECTIVE_S: f64 = 10.0;
/// The deadline of the clients and the route's timeout.
const DEADLINE: Duration = Duration::from_secs(15);

pub fn run(record: &Record, trouble: bool) -> bool {
    let services = [
        "catalogue",
        "bookings",
        "bookings",
        "bookings",
        "bookings",
        "bookings",
        "bookings",
        "bookings",
    ];
    let mut deployment = Deployment::start_with(
        record,
        &services,
        DEADLINE.as_secs_f64(),
        OBJECTIVE_S,
        None,
        WORK,
    );
    let stop = Arc::new(AtomicBool::new(false));
    let failed: Arc<Mutex<Vec<(String, u16)>>> = Arc::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let at = deployment.fleet.sides[client % services.len()].address(OUTBOUND_PORT);
            let (record, stop, failed) = (record.clone(), Arc::clone(&stop), Arc::clone(&failed));
            thread::spawn(move || {
                for number in 0.. {
                    if stop.load(Ordering::Relaxed) {
                        return;
                    }
                    let id = format!("booking-{client}-{number}");
                    let deadline = DEADLINE.as_millis().to_string();
                    let headers = [
                        ("Host", "shop.example"),
                        ("X-Wisteriaglade-Request-Id", id.as_str()),
                        ("X-Wisteriaglade-Deadline-Ms", deadline.as_str()),
                    ];
                    let answer = call(
                        at,
                        "POST /bookings/pitch HTTP/1.1",
                        &headers,
                        b"string of lanterns",
                        DEADLINE + Duration::from_secs(1),
                    );
                    let status = answer.map_or(0, |answer| answer.status());
                    record.line(&format!("client: {id}: {status}"));
                    if status != 200 {
                        failed.lock().unwrap().push((id, status));
                        sleep(Duration::from_millis(300));
                    }
                }
            })
        })
        .collect();
    sleep(Duration::from_secs(9));
    let server = Arc::clone(&deployment.servers[LEAVING]);
    let acknowledged = if trouble {
        let asked = Instant::now();
        server.draining.store(true, Ordering::Relaxed);
        while server.drain_acknowledged().is_none() {
            if asked.elapsed() > Duration::from_secs(5) {
                crate::fleet::fail("the heartbeat is not acknowledged");
            }
            sleep(Duration::from_millis(5));
        }
        let at = server.drain_acknowledged().unwrap();
        record.note(&format!("{}: draining is acknowledged", server.id));
        sleep(END.saturating_sub(at.elapsed()));
        server.leave();
        server.crash();
        record.note(&format!("{} has left and ended", server.id));
        deployment.fleet.sides[LEAVING].signal(SIGTERM);
        Some(at)
    } else {
        sleep(Duration::from_secs(6));
        None
    };
    sleep(Duration::from_secs(3));
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    deployment.stop();
    let Some(acknowledged) = acknowledged else {
        return false;
    };
    let arrivals = server.arrivals();
    let late: Vec<_> = arrivals
        .iter()
        .filter(|(_, at)| *at > acknowledged + DRAIN)
        .collect();
    for (id, at) in &late {
        record.line(&format!(
            "late: {id}, {:.2} s after the acknowledgement",
            (*at - acknowledged).as_secs_f64()
        ));
    }
    let failed = failed.lock().unwrap();
    let lost = late
        .iter()
        .filter(|(id, _)| failed.iter().any(|(other, _)| other == id))
        .count();
    let last = late
        .iter()
        .map(|(_, at)| *at - acknowledged)
        .max()
        .unwrap_or_default();
    record.note(&format!(
        "{} requests reached {} later than drain-s after the acknowledgement, the last one {:.2} s after it; {lost} of them failed",
        late.len(), server.id, last.as_secs_f64()
    ));
    !late.is_empty()
}
