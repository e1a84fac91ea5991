//! Faults of a fleet that overlap.

use std::time::{Duration, Instant};

use rand::{RngExt as _, SeedableRng, rngs::StdRng};
use tokio::task::JoinHandle;

use super::platform::{Fleet, LinkFault, RULE_TIMEOUT_S, put_plan};

/// The number of control replicas; two of them may be lost at once.
pub const CONTROLS: usize = 5;
const MAX_LOST_CONTROLS: usize = 2;

/// The time in which a replica with an empty disk gets the log of the others.
const CATCH_UP_TIME: Duration = Duration::from_secs(6);

/// The bound for a fleet to serve after its start or after the last fault.
pub const RECOVERY_BOUND: Duration = Duration::from_secs(15);

/// The limits that servers name, some of them malformed.
const LIMITS: [Option<&str>; 6] = [
    None,
    Some("0"),
    Some("2.5"),
    Some("40"),
    Some("-1"),
    Some("x"),
];

/// The time in which a process ends after SIGTERM.
const STOP_BOUND: Duration = Duration::from_secs(8);

/// What a host's process does because of the last fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Process {
    Running,
    Gone,
    Paused,
    /// It was sent SIGTERM.
    Stopping,
}

/// Injects overlapping faults and changes the plan meanwhile.
#[derive(Debug)]
pub struct Injector {
    pub fleet: Fleet,
    pub random: StdRng,
    processes: Vec<Process>,
    /// Until when no control replica may be lost, since one has lost its disk.
    settled_at: Instant,
    change: Option<JoinHandle<u64>>,
}

impl Injector {
    /// Starts to play the faults of a seed on a fleet.
    pub fn new(fleet: Fleet, seed: u64) -> Self {
        Self {
            processes: vec![Process::Running; fleet.hosts.len()],
            fleet,
            random: StdRng::seed_from_u64(seed),
            settled_at: Instant::now(),
            change: None,
        }
    }

    /// Injects a fault, or ends one.
    pub async fn step(&mut self) {
        let host = self.random.random_range(0..self.processes.len());
        match self.processes[host] {
            Process::Running if self.random.random_bool(0.25) => self.change_links(),
            Process::Running if self.random.random_bool(0.2) => self.change_limit(),
            Process::Running => self.interrupt(host),
            Process::Paused => {
                self.fleet.hosts[host].process.as_ref().unwrap().resume();
                self.processes[host] = Process::Running;
            }
            Process::Gone => {
                self.fleet.hosts[host].start();
                self.processes[host] = Process::Running;
            }
            Process::Stopping => self.restart(host).await,
        }
        if self.random.random_bool(0.3) {
            self.change_plan().await;
        }
    }

    /// Kills, pauses or stops a process that runs, unless too many control
    /// replicas would be lost.
    fn interrupt(&mut self, host: usize) {
        let now = Instant::now();
        let is_control = host < CONTROLS;
        let lost = self.processes[..CONTROLS]
            .iter()
            .filter(|process| **process != Process::Running)
            .count();
        if is_control && (lost >= MAX_LOST_CONTROLS || now < self.settled_at) {
            return;
        }
        let process = &mut self.fleet.hosts[host];
        self.processes[host] = match self.random.random_range(0..4) {
            0 => {
                process.kill();
                Process::Gone
            }
            1 => {
                process.process.as_ref().unwrap().pause();
                Process::Paused
            }
            2 if is_control && lost == 0 => {
                process.kill();
                process.delete_data();
                process.start();
                self.settled_at = now + CATCH_UP_TIME;
                Process::Running
            }
            _ => {
                process.process.as_ref().unwrap().terminate();
                Process::Stopping
            }
        };
        println!("host {host} {:?}", self.processes[host]);
    }

    /// Changes how the connections between a host and its target fail.
    fn change_links(&mut self) {
        let host = self.random.random_range(CONTROLS..self.processes.len());
        let fault = if self.random.random_bool(0.5) {
            LinkFault::None
        } else {
            LinkFault::ALL[self.random.random_range(0..LinkFault::ALL.len())]
        };
        println!("{fault:?} between host {host} and its target");
        self.fleet.inject_fault(host, fault);
    }

    /// Changes the limit that the server on a host names.
    fn change_limit(&mut self) {
        let host = self.random.random_range(CONTROLS..self.processes.len());
        let limit = LIMITS[self.random.random_range(0..LIMITS.len())];
        println!("limit {limit:?} of the server on host {host}");
        let header = limit.map(|limit| ("server-limit", limit));
        self.fleet.set_headers(host, header.as_slice());
    }

    async fn restart(&mut self, host: usize) {
        let process = &mut self.fleet.hosts[host];
        process.process.take().unwrap().wait(STOP_BOUND).await;
        process.start();
        self.processes[host] = Process::Running;
    }

    /// Starts a change of the plan after the previous one has been accepted.
    async fn change_plan(&mut self) {
        if let Some(change) = self.change.take() {
            self.fleet.version = change.await.unwrap();
        }
        let controls: Vec<_> = self.fleet.controls().collect();
        let base = self.fleet.version;
        let client = self.fleet.client.clone();
        self.change = Some(tokio::spawn(async move {
            put_plan(&client, &controls, base, RULE_TIMEOUT_S).await
        }));
    }

    /// Ends all faults and waits until the fleet serves by the last plan.
    pub async fn recover(&mut self) {
        for host in 0..self.processes.len() {
            match self.processes[host] {
                Process::Running => {}
                Process::Gone => self.fleet.hosts[host].start(),
                Process::Paused => self.fleet.hosts[host].process.as_ref().unwrap().resume(),
                Process::Stopping => self.restart(host).await,
            }
            if host >= CONTROLS {
                self.fleet.inject_fault(host, LinkFault::None);
                self.fleet.set_headers(host, &[]);
            }
        }
        if let Some(change) = self.change.take() {
            self.fleet.version = change.await.unwrap();
        }
        let version = self.fleet.version(RECOVERY_BOUND).await;
        assert_eq!(version, self.fleet.version);
        for host in CONTROLS..self.processes.len() {
            self.fleet.wait_until_served(host, 7, RECOVERY_BOUND).await;
        }
    }
}
