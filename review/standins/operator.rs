//! A stand-in for the operator.

use std::{
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

use crate::{fleet::Record, http::call};

/// A route of the configurations that the cases send.
pub struct Route<'a> {
    pub prefix: &'a str,
    pub kind: &'a str,
    pub service: &'a str,
    pub timeout_s: f64,
    pub slo_s: f64,
    pub max_attempts: u32,
}

/// Writes a configuration. `sharded` names the services divided by key.
pub fn configuration(
    version: u64,
    services: &[&str],
    sharded: &[&str],
    routes: &[Route],
) -> String {
    let services: Vec<String> = services
        .iter()
        .map(|name| {
            let own = if sharded.contains(name) { ",\"sharded\":true,\"warmup-s\":2.0,\"grants\":\"heartbeat\"" } else { "" };
            format!("{{\"name\":\"{name}\",\"health-path\":\"/health\",\"max-conns\":110,\"protocol\":\"h1\",\"tls\":false{own}}}")
        })
        .collect();
    let routes: Vec<String> = routes
        .iter()
        .enumerate()
        .map(|(number, route)| {
            format!(
                "{{\"name\":\"r-{number}\",\"path-prefix\":\"{}\",\"kind\":\"{}\",\"timeout-s\":{},\"slo-s\":{},\"priority\":1,\"service\":\"{}\",\"max-attempts\":{}}}",
                route.prefix, route.kind, route.timeout_s, route.slo_s, route.service, route.max_attempts
            )
        })
        .collect();
    format!(
        "{{\"version\":{version},\"services\":[{}],\"limits\":{{\"max-header-bytes\":16384,\"max-body-bytes\":67108864,\"header-timeout-s\":3,\"idle-timeout-s\":15}},\"virtual-hosts\":[{{\"host\":\"shop.example\",\"paths\":[{}]}}]}}",
        services.join(","),
        routes.join(",")
    )
}

/// Sends a configuration again and again, to one node after the other, until it
/// is acknowledged, refused or `limit` has passed. Returns the last status; 0
/// without any answer.
pub fn put(record: &Record, nodes: &[SocketAddr], base: u64, body: &str, limit: Duration) -> u16 {
    let end = Instant::now() + limit;
    let mut last = 0;
    let mut pause = Duration::from_millis(50);
    let base = base.to_string();
    while Instant::now() < end {
        for node in nodes {
            let mut address = *node;
            for _ in 0..3 {
                let headers = [
                    ("Host", "control"),
                    ("If-Match", base.as_str()),
                    ("Content-Type", "application/json"),
                ];
                let answer = call(
                    address,
                    "POST /rpc?call=config.put HTTP/1.1",
                    &headers,
                    body.as_bytes(),
                    Duration::from_secs(1),
                );
                let Ok(answer) = answer else { break };
                last = answer.status();
                if last == 307 {
                    let Some(next) = location(answer.header("location")) else {
                        break;
                    };
                    address = next;
                    continue;
                }
                record.line(&format!("operator: put on {base} at {address}: {last}"));
                if matches!(last, 200 | 400 | 409 | 412 | 413 | 422) {
                    return last;
                }
                break;
            }
        }
        thread::sleep(pause);
        pause = (pause * 2).min(Duration::from_millis(500));
    }
    last
}

/// Reads the configuration at a node. Returns the status and the body.
pub fn get(record: &Record, node: SocketAddr) -> (u16, String) {
    let mut address = node;
    for _ in 0..3 {
        let answer = call(
            address,
            "POST /rpc?call=config.get HTTP/1.1",
            &[("Host", "control")],
            b"",
            Duration::from_secs(1),
        );
        let Ok(answer) = answer else {
            record.line(&format!("operator: get at {address}: no response"));
            return (0, String::new());
        };
        if answer.status() == 307 {
            if let Some(next) = location(answer.header("location")) {
                address = next;
                continue;
            }
        }
        record.line(&format!(
            "operator: get at {address}: {} ({} bytes)",
            answer.status(),
            answer.body.len()
        ));
        return (
            answer.status(),
            String::from_utf8_lossy(&answer.body).into_owned(),
        );
    }
    (307, String::new())
}

fn location(value: Option<&str>) -> Option<SocketAddr> {
    value?
        .strip_prefix("http://")?
        .split('/')
        .next()?
        .parse()
        .ok()
}
