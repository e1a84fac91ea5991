//! All processes of a core of three machines are killed at the same moment.

use std::{
    thread::sleep,
    time::{Duration, Instant},
};

use crate::{
    deployment::{Deployment, text},
    fleet::{Fleet, Record},
    operator::get,
};

/// How long the processes are down: `down_s` of `kill_all` in the site file.
const DOWN: Duration = Duration::from_millis(710);
/// `recovery-s`.
const RECOVERY: Duration = Duration::from_secs(15);
/// How long the configuration is read back, longer than `contact-s` (3).
const READ_BACK: Duration = Duration::from_secs(8);

pub fn run(record: &Record, trouble: bool) -> bool {
    let services = ["catalogue", "bookings"];
    let fleet = Fleet::with_cores(3, &services, "heartbeat");
    let work = Duration::from_millis(20);
    let mut deployment = Deployment::with_fleet(record, fleet, &services, 1.2, 0.5, None, work);
    let nodes = deployment.fleet.controls();
    record.note("configuration 1 is acknowledged");
    sleep(Duration::from_secs(5));
    let before = nodes.iter().any(|node| get(record, *node).0 == 200);
    record.note(&format!("it can be read: {before}"));
    if trouble {
        record.note("all processes of the core are killed");
        let program = deployment.fleet.program.clone();
        for core in &mut deployment.fleet.cores {
            core.kill();
        }
        sleep(DOWN);
        for core in &mut deployment.fleet.cores {
            core.start(&program);
        }
        record.note("they are back, with their disks");
    }
    sleep(RECOVERY);
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
    deployment.stop();
    let is_sent = found
        .as_ref()
        .is_some_and(|body| *body == text(1, 1.2, 0.5));
    record.note(&format!("read back as acknowledged: {is_sent}"));
    !is_sent
}
