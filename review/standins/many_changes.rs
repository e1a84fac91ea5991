//! The operator changes a large configuration some hundred times.

use std::{
    thread::sleep,
    time::{Duration, Instant},
};

use crate::{
    deployment::Deployment,
    fleet::{Record, SIGKILL, fail, resident_mb},
    operator::{Route, configuration, get, put},
};

/// `limits.memory-mb` of a core machine.
const MEMORY_MB: f64 = 256.0;
/// Routes of the configuration: ten times `big_config` with its 350 routes.
const ROUTES: usize = 3_500;
/// The rule counts processes that end by themselves this often.
const ENDS: u32 = 3;
/// The changes that the operator sends at most.
const CHANGES: u64 = 480;
/// The time for the changes.
const TIME: Duration = Duration::from_secs(75);
/// How long the operator sends an order again without an acknowledgement: longer
/// than `ack-s` (4) and an election.
const SILENCE: Duration = Duration::from_secs(12);
/// `recovery-s`.
const RECOVERY: Duration = Duration::from_secs(15);
/// How long the configuration is read back, longer than `contact-s` (3).
const READ_BACK: Duration = Duration::from_secs(6);
/// How long after its end a process is started again.
const RESTART: Duration = Duration::from_millis(700);

pub fn run(record: &Record, trouble: bool) -> bool {
    let mut deployment = Deployment::start(record, &["catalogue", "bookings"], 1.2, None);
    let nodes = deployment.fleet.controls();
    let routes = if trouble { ROUTES } else { 30 };
    record.note(&format!(
        "a configuration with {routes} routes is changed up to {CHANGES} times"
    ));
    let began = Instant::now();
    let mut acknowledged = 1;
    let mut kills = vec![0_u32; nodes.len()];
    let mut down: Vec<Option<Instant>> = vec![None; nodes.len()];
    let program = deployment.fleet.program.clone();
    // Ends processes that use more memory than their machine has, and starts
    // them again, as the platform does.
    let mut platform = |deployment: &mut Deployment, kills: &mut Vec<u32>| {
        for (number, core) in deployment.fleet.cores.iter_mut().enumerate() {
            if let Some(at) = down[number] {
                if at.elapsed() >= RESTART {
                    core.start(&program);
                    down[number] = None;
                }
                continue;
            }
            let used = resident_mb(core.pid());
            if used > MEMORY_MB {
                kills[number] += 1;
                record.note(&format!(
                    "platform: {} uses {used:.0} MB of {MEMORY_MB} MB and is killed (number {})",
                    core.name, kills[number]
                ));
                core.signal(SIGKILL);
                core.kill();
                down[number] = Some(Instant::now());
            }
        }
    };
    let mut last_answer = Instant::now();
    while acknowledged <= CHANGES && began.elapsed() < TIME && last_answer.elapsed() < SILENCE {
        platform(&mut deployment, &mut kills);
        // An order without a clear response is sent again unchanged.
        let body = text(acknowledged + 1, routes);
        let limit = Duration::from_millis(1_500);
        match put(record, &nodes, acknowledged, &body, limit) {
            200 => {
                acknowledged += 1;
                last_answer = Instant::now();
            }
            412 => fail("an order of the only operator was refused"),
            _ => {}
        }
    }
    record.note(&format!(
        "acknowledged up to version {acknowledged} after {:.1} s",
        began.elapsed().as_secs_f64()
    ));
    let end = Instant::now() + RECOVERY;
    while Instant::now() < end {
        platform(&mut deployment, &mut kills);
        sleep(Duration::from_millis(5));
    }
    let end = Instant::now() + READ_BACK;
    let mut found = None;
    while Instant::now() < end && found.is_none() {
        platform(&mut deployment, &mut kills);
        for node in &nodes {
            let (status, body) = get(record, *node);
            if status == 200 {
                found = Some(body);
                break;
            }
        }
        sleep(Duration::from_millis(5));
    }
    for (core, kills) in deployment.fleet.cores.iter().zip(&kills) {
        record.note(&format!(
            "{}: killed {kills} times, peak {:.0} MB",
            core.name,
            core.peak_memory_mb()
        ));
    }
    deployment.stop();
    let often = kills.iter().filter(|kills| **kills >= ENDS).count();
    record.note(&format!(
        "Fault: {often} of {} core processes ended by themselves {ENDS} times or more",
        kills.len()
    ));
    match found {
        None => {
            record.note(&format!(
                "version {acknowledged} was acknowledged and does not come"
            ));
            true
        }
        Some(body) => {
            let is_newest =
                (acknowledged..acknowledged + 2).any(|version| body == text(version, routes));
            record.note(&format!(
                "read back: version {acknowledged} or the one after it, as sent: {is_newest}"
            ));
            !is_newest
        }
    }
}

fn text(version: u64, routes: usize) -> String {
    let names: Vec<String> = (0..routes)
        .map(|number| format!("/route{number:05}/"))
        .collect();
    let routes: Vec<Route> = names
        .iter()
        .enumerate()
        .map(|(number, prefix)| Route {
            prefix,
            kind: if number % 2 == 0 {
                "idempotent"
            } else {
                "non_idempotent"
            },
            service: "bookings",
            timeout_s: 1.2 + (version % 5) as f64 / 10.0,
            slo_s: 0.5,
            max_attempts: 2,
        })
        .collect();
    configuration(version, &["catalogue", "bookings"], &["catalogue"], &routes)
}
