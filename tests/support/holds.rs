//! The key ranges of a test server that takes them by call.

use std::{
    sync::Mutex,
    time::{Duration, Instant},
};

use serde_json::Value;
use tokio::time::sleep;

/// How often a release looks whether the running work has ended.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// A granted range: first and last key, fencing token and expiry.
pub type Held = (u16, u16, u64, Instant);

/// The ranges that a server holds, and the highest fencing tokens that it has
/// seen.
#[derive(Debug, Default)]
pub struct Holds {
    held: Mutex<Vec<Held>>,
    seen: Mutex<Vec<(u16, u16, u64)>>,
    /// The keys of the requests that run.
    running: Mutex<Vec<u16>>,
}

/// A decoded grant or release. A release has no hold.
#[derive(Debug, Clone, Copy)]
pub struct RangeCall {
    pub from: u16,
    pub to: u16,
    pub fence: u64,
    pub hold: Option<Duration>,
}

impl RangeCall {
    /// Decodes the body of a call. Panics if a field is missing.
    pub fn decode(body: &Value) -> Self {
        let key = |name: &str| u16::try_from(body[name].as_u64().unwrap()).unwrap();
        Self {
            from: key("range-start"),
            to: key("target-version"),
            fence: body["fence"].as_u64().unwrap(),
            hold: body["hold-s"].as_f64().map(Duration::from_secs_f64),
        }
    }
}

impl Holds {
    /// Whether the server holds a key.
    pub fn contains(&self, key: u16) -> bool {
        let now = Instant::now();
        let held = self.held.lock().unwrap();
        held.iter()
            .any(|(from, to, _, until)| (*from..=*to).contains(&key) && *until > now)
    }

    /// Takes a range until `until`. Returns `false` if a higher fencing token was
    /// seen on one of its keys.
    pub fn grant(&self, call: RangeCall, until: Instant) -> bool {
        let mut seen = self.seen.lock().unwrap();
        if seen
            .iter()
            .any(|(from, to, fence)| *from <= call.to && call.from <= *to && *fence > call.fence)
        {
            return false;
        }
        seen.push((call.from, call.to, call.fence));
        drop(seen);
        self.remove(call);
        let mut held = self.held.lock().unwrap();
        held.push((call.from, call.to, call.fence, until));
        true
    }

    /// Gives a range up and waits until no request runs on its keys.
    pub async fn release(&self, call: RangeCall) {
        self.remove(call);
        let is_busy = || {
            let running = self.running.lock().unwrap();
            running
                .iter()
                .any(|key| (call.from..=call.to).contains(key))
        };
        while is_busy() {
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Runs a request for a key.
    pub async fn run(&self, key: u16, work: impl Future<Output = ()>) {
        self.running.lock().unwrap().push(key);
        work.await;
        let mut running = self.running.lock().unwrap();
        if let Some(at) = running.iter().position(|other| *other == key) {
            running.swap_remove(at);
        }
    }

    /// Cuts the keys of a call out of the held ranges.
    fn remove(&self, call: RangeCall) {
        let mut held = self.held.lock().unwrap();
        for (from, to, fence, until) in std::mem::take(&mut *held) {
            if from < call.from {
                held.push((from, to.min(call.from - 1), fence, until));
            }
            if to > call.to {
                held.push((from.max(call.to + 1), to, fence, until));
            }
        }
    }
}
