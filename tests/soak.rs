//! A soak test of a fleet of real processes: signals, lost disks, failing
//! connections and changes of the plan overlap, while callers keep their
//! connections until the process at the other end is gone.

mod support;

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use http::StatusCode;
use rand::{RngExt as _, SeedableRng, rngs::StdRng};
use support::{
    client::Client,
    faults::{CONTROLS, Injector, RECOVERY_BOUND},
    platform::{Fleet, Host, Servers, send_request},
};
use tokio::time::sleep;

/// The seeds that CI plays: one for each kind of servers.
const SEEDS: [u64; 3] = [1, 2, 3];

/// The number of faults in a run, and the range of pauses between them in
/// milliseconds.
const FAULTS: usize = 24;
const PAUSES_MS: std::ops::Range<u64> = 30..700;

const CALLERS: u64 = 6;

/// The time after the last fault in which a request may still run: the longest
/// deadline of a caller.
const DEADLINE: Duration = Duration::from_secs(2);

/// What callers have seen.
#[derive(Debug, Default)]
struct Record {
    /// The answers with status 200.
    served: u64,
    /// The ids of requests whose answer says that they have not run.
    rejected: Vec<String>,
    /// Answers that are not the caller's own.
    foreign: Vec<String>,
}

/// Sends requests of all kinds to random hosts until told to stop. Connections are
/// kept, also to processes that are being stopped.
async fn call(
    seed: u64,
    number: u64,
    addresses: Vec<SocketAddr>,
    stop: Arc<AtomicBool>,
    last_id: Arc<AtomicU64>,
) -> Record {
    let mut random = StdRng::seed_from_u64(seed ^ (number << 32));
    let client = Client::new();
    let mut record = Record::default();
    while !stop.load(Ordering::Relaxed) {
        let kind = ["read", "charge", "book"][random.random_range(0..3)];
        // Servers of other kinds than the faulty one take no notice.
        let faults = ["whole", "later", "busy", "shed", "work-20", "copy-1", "cut"];
        let fault = faults[random.random_range(0..faults.len())];
        let serial = last_id.fetch_add(1, Ordering::Relaxed);
        let id = format!("{kind}-{fault}-{seed}-{serial}");
        let address = addresses[random.random_range(0..addresses.len())];
        let (status, text) = send_request(
            &client,
            address,
            kind,
            &id,
            random.random_range(0..=u16::MAX),
        )
        .await;
        match status {
            StatusCode::OK if text.starts_with(&format!("{id} by ")) => record.served += 1,
            StatusCode::OK => record.foreign.push(format!("{id} got {text}")),
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => {
                record.rejected.push(id);
                sleep(Duration::from_millis(20)).await;
            }
            _ => sleep(Duration::from_millis(5)).await,
        }
    }
    record
}

async fn soak(seed: u64) {
    let servers = [Servers::Heartbeat, Servers::Call, Servers::Faulty];
    let servers = servers[usize::try_from(seed % 3).unwrap()];
    let relays = u8::try_from(seed % 251).unwrap();
    let fleet = Fleet::start_with(relays, 5, 2, 2, servers).await;
    for host in CONTROLS..fleet.hosts.len() {
        fleet.wait_until_served(host, 7, RECOVERY_BOUND).await;
    }
    let stop = Arc::new(AtomicBool::new(false));
    let last_id = Arc::new(AtomicU64::new(0));
    let addresses: Vec<_> = fleet.hosts[CONTROLS..].iter().map(Host::callers).collect();
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| {
            let (stop, last_id) = (Arc::clone(&stop), Arc::clone(&last_id));
            tokio::spawn(call(seed, number, addresses.clone(), stop, last_id))
        })
        .collect();

    let mut injector = Injector::new(fleet, seed);
    for _ in 0..FAULTS {
        injector.step().await;
        sleep(Duration::from_millis(
            injector.random.random_range(PAUSES_MS),
        ))
        .await;
    }
    injector.recover().await;
    stop.store(true, Ordering::Relaxed);
    let mut served = 0;
    let mut rejected = Vec::new();
    for caller in callers {
        let record = caller.await.unwrap();
        assert_eq!(record.foreign, Vec::<String>::new(), "seed {seed}");
        served += record.served;
        rejected.extend(record.rejected);
    }
    sleep(DEADLINE).await;

    assert!(served > 0, "seed {seed}");
    let observations = injector.fleet.observations.lock().unwrap();
    let untrue: Vec<_> = rejected
        .iter()
        .filter(|id| !id.starts_with("read") && observations.runs.contains_key(*id))
        .collect();
    println!("seed {seed}: {served} served, {} rejected", rejected.len());
    assert!(
        untrue.is_empty(),
        "seed {seed}: rejected and ran: {untrue:?}"
    );
    drop(observations);
    injector.fleet.check();
}

/// Guards against an answer that is not the caller's own, a request that runs
/// twice or runs after it was rejected, a key with two holders and a change that is
/// lost, while faults overlap. `SOAK_SEEDS=FROM..TO` plays other seeds.
#[tokio::test(flavor = "multi_thread")]
async fn invariants_hold_while_faults_overlap() {
    for seed in support::seeds("SOAK_SEEDS", &SEEDS) {
        println!("soak seed {seed}");
        soak(seed).await;
    }
}
