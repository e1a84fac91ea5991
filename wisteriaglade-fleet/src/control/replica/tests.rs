//! Tests of a replica whose disk fails for some time.

use std::{
    path::{Path, PathBuf},
    sync::{Arc, atomic::Ordering, mpsc},
    thread,
    time::{Duration, Instant},
};

use bytes::Bytes;
use wisteriaglade_mesh::{Command, Plan, Reply};
use wisteriaglade_wire::Clock;

use super::{Handle, Proposed, Setup, open, run_until_stopped};

/// The bound for a replica to lead its group of one, which needs no votes: several
/// times the delay before the storage is opened again.
const LEAD_BOUND: Duration = Duration::from_secs(5);

/// The data folder of a replica, and the folder in it that makes a write fail.
struct Disk {
    folder: tempfile::TempDir,
    obstacle: PathBuf,
}

impl Disk {
    fn new() -> Self {
        let folder = tempfile::tempdir().unwrap();
        let obstacle = folder.path().join("vote.tmp");
        Self { folder, obstacle }
    }

    /// What the only replica of a group needs to use this disk.
    fn setup(&self) -> Setup {
        Setup {
            id: 1,
            folder: self.folder.path().to_owned(),
            members: vec![1],
        }
    }

    /// Makes the next write of a vote fail, and each attempt to open the data folder.
    fn fail(&self) {
        std::fs::create_dir(&self.obstacle).unwrap();
    }

    fn recover(&self) {
        std::fs::remove_dir(&self.obstacle).unwrap();
    }
}

/// Creates access to a replica that does not run yet, and its inputs.
fn handle() -> (Handle, mpsc::Receiver<super::Input>) {
    let (inbox, inputs) = mpsc::channel();
    let handle = Handle {
        inbox,
        status: Arc::default(),
        status_changed: Arc::default(),
        outbox: Arc::default(),
        stop: Arc::default(),
    };
    (handle, inputs)
}

/// Waits until the replica leads, and returns whether it does within [`LEAD_BOUND`].
fn leads_in_time(handle: &Handle) -> bool {
    let end = Instant::now() + LEAD_BOUND;
    while Instant::now() < end {
        if handle.status().is_leading() {
            return true;
        }
        thread::sleep(Duration::from_millis(20));
    }
    false
}

// Guards against a replica that never takes part again after its disk failed for some
// time: it must give up its own lock on the data folder before it opens it again. A
// call that comes meanwhile is answered.
#[tokio::test(flavor = "multi_thread")]
async fn a_replica_returns_after_its_disk_has_failed() {
    let disk = Disk::new();
    let (handle, inputs) = handle();
    let setup = disk.setup();
    let worker = open(&setup, &handle, Clock::new()).unwrap();
    disk.fail();
    let thread = thread::spawn(move || run_until_stopped(worker, &setup, &inputs));

    let confirmed = handle.confirm().await;
    let led_before = handle.status().is_leading();
    disk.recover();
    let leads = leads_in_time(&handle);
    handle.stop.store(true, Ordering::Relaxed);
    thread.join().unwrap();

    assert!(!confirmed && !led_before);
    assert!(leads, "the replica does not take part again");
}

/// The size of the text of a large plan in bytes.
const PLAN_BYTES: usize = 1024 * 1024;

/// The number of large plans; together they are larger than the disk and the memory of
/// a control host, 256 MB.
const PLANS: u64 = 300;

/// A fifth of that disk.
const FOLDER_LIMIT: u64 = 50 * 1024 * 1024;

/// The size of all files in a folder in bytes.
fn folder_size(folder: &Path) -> u64 {
    let files = std::fs::read_dir(folder).unwrap();
    files
        .map(|file| file.unwrap().metadata().unwrap().len())
        .sum()
}

// Guards against a log that outgrows the disk and the memory of a control host, and is
// read back whole after each restart: large plans in quick succession, fewer than the
// number of entries after which a snapshot is taken.
#[tokio::test(flavor = "multi_thread")]
async fn large_plans_leave_a_small_log() {
    let disk = Disk::new();
    let (access, inputs) = handle();
    let setup = disk.setup();
    let worker = open(&setup, &access, Clock::new()).unwrap();
    let thread = thread::spawn(move || run_until_stopped(worker, &setup, &inputs));
    assert!(leads_in_time(&access));
    let mut largest = 0;

    for version in 1..=PLANS {
        let command = Command::Configure {
            base: version - 1,
            plan: Plan {
                version,
                ..Plan::default()
            },
            text: Bytes::from(vec![b' '; PLAN_BYTES]),
        };
        let result = access.propose(command).await;
        assert_eq!(result, Proposed::Applied(Reply::Done));
        largest = largest.max(folder_size(disk.folder.path()));
    }
    access.stop.store(true, Ordering::Relaxed);
    thread.join().unwrap();
    let (next, _inputs) = handle();
    let worker = open(&disk.setup(), &next, Clock::new()).unwrap();

    assert!(largest < FOLDER_LIMIT, "{largest} bytes on disk");
    let read_back = PLANS.saturating_sub(next.status().applied());
    assert!(read_back < 20, "{read_back} entries are read back");
    drop(worker);
}
