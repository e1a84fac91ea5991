//! An open load on a fleet: requests at a fixed rate, whatever becomes of them.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use http::StatusCode;
use tokio::{
    task::JoinHandle,
    time::{MissedTickBehavior, interval},
};

use super::{
    client::Client,
    platform::{Fleet, send_request},
};

/// The step between the keys of two requests. It is odd, so that all keys are used.
const KEY_STEP: u16 = 7919;

/// A request and its answer.
#[derive(Debug)]
pub struct Call {
    pub id: String,
    /// The host that it was sent to.
    pub host: usize,
    pub sent: Instant,
    pub took: Duration,
    pub status: StatusCode,
}

/// A running load.
#[derive(Debug)]
pub struct Load {
    stop: Arc<AtomicBool>,
    calls: JoinHandle<Vec<Call>>,
}

impl Load {
    /// Starts to send requests of a kind to the hosts in turn. Their ids begin with
    /// `kind` and `name`.
    pub fn start(fleet: &Fleet, hosts: &[usize], kind: &str, name: &str, per_second: u32) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let hosts: Vec<(usize, SocketAddr)> = hosts
            .iter()
            .map(|host| (*host, fleet.hosts[*host].callers()))
            .collect();
        let (kind, name) = (kind.to_owned(), name.to_owned());
        let is_stopped = Arc::clone(&stop);
        let calls = tokio::spawn(async move {
            let client = Client::new();
            let mut ticks = interval(Duration::from_secs(1) / per_second);
            ticks.set_missed_tick_behavior(MissedTickBehavior::Burst);
            let mut open = Vec::new();
            let mut key = 0_u16;
            while !is_stopped.load(Ordering::Relaxed) {
                ticks.tick().await;
                let (host, address) = hosts[open.len() % hosts.len()];
                let id = format!("{kind}-{name}-{}", open.len());
                let (client, kind) = (client.clone(), kind.clone());
                key = key.wrapping_add(KEY_STEP);
                open.push(tokio::spawn(async move {
                    let sent = Instant::now();
                    let (status, _) = send_request(&client, address, &kind, &id, key).await;
                    Call {
                        id,
                        host,
                        sent,
                        took: sent.elapsed(),
                        status,
                    }
                }));
            }
            let mut calls = Vec::new();
            for call in open {
                calls.push(call.await.unwrap());
            }
            calls
        });
        Self { stop, calls }
    }

    /// Stops the load and returns its calls once all are answered.
    pub async fn stop(self) -> Vec<Call> {
        self.stop.store(true, Ordering::Relaxed);
        self.calls.await.unwrap()
    }
}

/// Returns the most requests that arrived within `window`.
pub fn most_in(arrivals: impl IntoIterator<Item = Instant>, window: Duration) -> u32 {
    let arrivals: Vec<_> = arrivals.into_iter().collect();
    let counts = arrivals.iter().map(|start| {
        let inside = |at: &&Instant| **at >= *start && at.duration_since(*start) < window;
        u32::try_from(arrivals.iter().filter(inside).count()).unwrap_or(u32::MAX)
    });
    counts.max().unwrap_or(0)
}
