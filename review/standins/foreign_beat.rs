//! One heartbeat of another writer, which names a service that does not exist.

use std::{
    thread::sleep,
    time::{Duration, Instant},
};

use crate::{
    deployment::Deployment,
    fleet::{CONTROL_PORT, OUTBOUND_PORT, Record, SERVER_PORT},
    http::call,
    server::{Hold, unix_ms},
};

/// The time for which two servers may hold the same keys.
const BOUND: Duration = Duration::from_millis(500);

pub fn run(record: &Record, trouble: bool) -> bool {
    let services = ["catalogue", "catalogue", "catalogue", "bookings"];
    let mut deployment = Deployment::start(record, &services, 1.2, None);
    let before = served(record, &deployment, "before");
    record.note(&format!("served before: {before} of 32"));
    let side = &deployment.fleet.sides[0];
    if trouble {
        let body = format!(
            "{{\"service\":\"unheard\",\"address\":\"{}\",\"zone\":\"caerdydd\",\"version\":\"v1\",\"slots\":12,\"state\":\"ready\",\"cold-remaining-s\":0,\"seq\":1,\"born\":{},\"holds\":[],\"released\":[]}}",
            side.address(SERVER_PORT),
            unix_ms()
        );
        let answer = call(
            side.address(CONTROL_PORT),
            "POST /rpc?call=instances.heartbeat&of=i-elsewhere HTTP/1.1",
            &[("Host", "control"), ("Content-Type", "application/json")],
            body.as_bytes(),
            Duration::from_secs(1),
        );
        let status = answer.map_or(0, |answer| answer.status());
        record.note(&format!(
            "heartbeat of i-elsewhere, service unheard, at {}: {status}",
            side.name
        ));
    }
    sleep(Duration::from_secs(20));
    let keys = deployment.servers[0].holds_keys();
    record.note(&format!(
        "20 s later, {} holds {keys} keys",
        deployment.servers[0].id
    ));
    let after = served(record, &deployment, "after");
    record.note(&format!("served after: {after} of 32"));
    deployment.stop();
    let seen = deployment.seen.lock().unwrap();
    let worst = longest_overlap(&seen.holds);
    let Some((overlap, first, second)) = worst else {
        record.note("no keys were held by two servers");
        return false;
    };
    record.note(&format!(
        "{} (keys {}..={}, token {}) and {} (keys {}..={}, token {}) held the same keys for {:.2} s",
        first.server, first.row.0, first.row.1, first.row.2, second.server, second.row.0, second.row.1, second.row.2, overlap.as_secs_f64()
    ));
    overlap > BOUND
}

/// Returns the longest time for which two servers held the same keys.
pub fn longest_overlap(holds: &[Hold]) -> Option<(Duration, &Hold, &Hold)> {
    let now = Instant::now();
    let mut worst: Option<(Duration, &Hold, &Hold)> = None;
    for (at, first) in holds.iter().enumerate() {
        for second in &holds[at + 1..] {
            let shares = first.row.0 <= second.row.1 && second.row.0 <= first.row.1;
            if first.server == second.server || !shares {
                continue;
            }
            let end = first.until.min(second.until).min(now);
            let overlap = end.saturating_duration_since(first.from.max(second.from));
            if !overlap.is_zero() && worst.is_none_or(|(known, ..)| overlap > known) {
                worst = Some((overlap, first, second));
            }
        }
    }
    worst
}

/// Sends requests for keys; returns how many are served.
fn served(record: &Record, deployment: &Deployment, label: &str) -> usize {
    let mut served = 0;
    for number in 0..32 {
        let side = &deployment.fleet.sides[number % deployment.fleet.sides.len()];
        let id = format!("{label}-{number}");
        let key = (number * 2_047).to_string();
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
