//! The disks of three control machines are full, one after the other.

use std::{
    sync::{Arc, Mutex},
    thread::sleep,
    time::{Duration, Instant},
};

use crate::{
    fleet::{CONTROL_PORT, Fleet, OUTBOUND_PORT, Record, SERVER_PORT, fail},
    http::call,
    operator::{Route, configuration, get, put},
    server::{self, Seen, Setup},
};

/// How long a disk is full: `for_s` of `disk_full` in the site file.
const FULL: Duration = Duration::from_millis(4_500);
/// The time between two full disks, longer than `catch-up-s` (4).
const PAUSE: Duration = Duration::from_secs(6);
/// `recovery-s`.
const RECOVERY: Duration = Duration::from_secs(15);
/// How long the configuration is read back, longer than `contact-s` (3).
const READ_BACK: Duration = Duration::from_secs(8);
/// `ack-s`.
const ACK: Duration = Duration::from_secs(4);

pub fn run(record: &Record, trouble: bool) -> bool {
    let services = ["catalogue", "catalogue", "bookings"];
    let mut fleet = Fleet::new(&services, "heartbeat");
    fleet.start();
    let seen = Arc::new(Mutex::new(Seen::default()));
    let servers: Vec<_> = fleet
        .sides
        .iter()
        .zip(services)
        .map(|(side, service)| {
            let setup = Setup {
                id: format!("i-{}", side.name),
                service: service.to_owned(),
                address: side.address(SERVER_PORT),
                control: side.address(CONTROL_PORT),
                sharded: service == "catalogue",
                work: Duration::from_millis(20),
                behaviour: None,
            };
            server::start(setup, record, &seen)
        })
        .collect();
    let nodes = fleet.controls();
    let mut version = 1;
    if put(record, &nodes, 0, &text(version), Duration::from_secs(20)) != 200 {
        fail("the first configuration is not acknowledged");
    }
    let end = Instant::now() + Duration::from_secs(15);
    while servers[0].holds_keys() + servers[1].holds_keys() < 65_536 {
        if Instant::now() > end {
            fail("the servers get no keys");
        }
        sleep(Duration::from_millis(100));
    }
    let served = ask(record, &fleet, "before");
    record.note(&format!("served before: {served} of 20"));
    if served < 18 {
        fail("too few requests are served");
    }
    let mut unanswered = None;
    for number in 0..3 {
        let core = &fleet.cores[number];
        if trouble {
            record.note(&format!("the disk of {} is full", core.name));
            core.set_disk_full(true);
        }
        let began = Instant::now();
        sleep(Duration::from_millis(500));
        let status = put(record, &nodes, version, &text(version + 1), ACK);
        record.note(&format!("configuration {}: {status}", version + 1));
        if status == 200 {
            version += 1;
        } else {
            unanswered = Some(version + 1);
        }
        sleep(FULL.saturating_sub(began.elapsed()));
        if trouble {
            core.set_disk_full(false);
            record.note(&format!("the disk of {} has room again", core.name));
        }
        if number < 2 {
            sleep(PAUSE);
        }
    }
    sleep(RECOVERY);
    let served = ask(record, &fleet, "after");
    record.note(&format!("served after: {served} of 20"));
    let end = Instant::now() + READ_BACK;
    let mut found = None;
    while Instant::now() < end && found.is_none() {
        for node in &nodes {
            let (status, body) = get(record, *node);
            if status == 200 {
                found = Some(body);
                break;
            }
        }
        sleep(Duration::from_millis(200));
    }
    for core in &mut fleet.cores {
        let ended = core.has_ended();
        record.note(&format!("{}: process ended by itself: {ended}", core.name));
    }
    for server in &servers {
        server.crash();
    }
    match found {
        None => {
            record.note(&format!(
                "configuration {version} was acknowledged and does not come"
            ));
            true
        }
        Some(body) => {
            let is_sent =
                body == text(version) || unanswered.is_some_and(|version| body == text(version));
            record.note(&format!(
                "read back: version {version} or later as sent: {is_sent}"
            ));
            !is_sent
        }
    }
}

/// Sends requests for keys; returns how many are served.
fn ask(record: &Record, fleet: &Fleet, label: &str) -> usize {
    let mut served = 0;
    for number in 0..20 {
        let side = &fleet.sides[number % fleet.sides.len()];
        let id = format!("{label}-{number}");
        let key = (number * 3_001 % 65_536).to_string();
        let headers = [
            ("Host", "shop.example"),
            ("X-Wisteriaglade-Request-Id", id.as_str()),
            ("X-Wisteriaglade-Deadline-Ms", "1200"),
            ("X-Wisteriaglade-Shard-Key", key.as_str()),
        ];
        let limit = Duration::from_millis(1_400);
        let answer = call(
            side.address(OUTBOUND_PORT),
            "GET /catalogue/lamp HTTP/1.1",
            &headers,
            b"",
            limit,
        );
        let status = answer.map_or(0, |answer| answer.status());
        record.line(&format!("client: {id} at {}: {status}", side.name));
        served += usize::from(status == 200);
    }
    served
}

fn text(version: u64) -> String {
    let route = |prefix, kind, service| Route {
        prefix,
        kind,
        service,
        timeout_s: 1.2,
        slo_s: 0.5,
        max_attempts: 2,
    };
    let routes = [
        route("/catalogue/", "idempotent", "catalogue"),
        route("/bookings/", "non_idempotent", "bookings"),
    ];
    configuration(version, &["catalogue", "bookings"], &["catalogue"], &routes)
}
