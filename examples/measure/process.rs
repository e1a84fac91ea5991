//! Starts, signals and measures a node that runs as a separate process.

use std::{
    fs::File,
    io,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    time::Duration,
};

use rustix::process::{Pid, Signal, kill_process};

/// The worker threads of each node, few because all nodes share the cores of one
/// machine.
const WORKER_THREADS: &str = "2";

/// Clock ticks per second in `/proc`, which Linux fixes at 100.
const CLOCK_TICKS_PER_SECOND: u64 = 100;

/// The listen addresses of a node.
#[derive(Debug, Clone, Copy)]
pub struct Addresses {
    pub caller: SocketAddr,
    pub peer: SocketAddr,
    pub admin: SocketAddr,
}

/// A running node. Dropping it kills the process.
#[derive(Debug)]
pub struct Process {
    child: Child,
    pub addresses: Addresses,
}

/// The CPU time of a process and its resident memory in bytes.
#[derive(Debug, Clone, Copy, Default)]
pub struct Usage {
    pub cpu: Duration,
    pub resident: u64,
}

/// Finds the node's binary in the build directory of this example.
pub fn binary() -> io::Result<PathBuf> {
    let own = std::env::current_exe()?;
    let folder = own.parent().and_then(Path::parent);
    let binary = folder.map(|folder| folder.join("wisteriaglade"));
    binary.filter(|binary| binary.is_file()).ok_or_else(|| {
        io::Error::other("the node's binary is missing: run `cargo build --release` first")
    })
}

impl Process {
    /// Starts a node with a settings file. Its output goes to a file of the same
    /// name with the extension `log`.
    pub fn start(binary: &Path, settings: &Path, addresses: Addresses) -> io::Result<Self> {
        let log = File::create(settings.with_extension("log"))?;
        let child = Command::new(binary)
            .arg("--settings")
            .arg(settings)
            .env("TOKIO_WORKER_THREADS", WORKER_THREADS)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        Ok(Self { child, addresses })
    }

    pub fn kill(&self) {
        self.signal(Signal::KILL);
    }

    pub fn pause(&self) {
        self.signal(Signal::STOP);
    }

    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    fn signal(&self, signal: Signal) {
        // The call fails if the process has ended, which needs no signal.
        let _ = kill_process(Pid::from_child(&self.child), signal);
    }

    /// Reads the CPU time so far and the resident memory from `/proc`.
    pub fn usage(&self) -> Usage {
        let folder = PathBuf::from(format!("/proc/{}", self.child.id()));
        let stat = std::fs::read_to_string(folder.join("stat")).unwrap_or_default();
        // The command name in parentheses may contain spaces. User and system
        // time are the 12th and 13th field after it.
        let fields = stat.rsplit(')').next().unwrap_or_default();
        let ticks: u64 = fields
            .split_whitespace()
            .skip(11)
            .take(2)
            .filter_map(|field| field.parse::<u64>().ok())
            .sum();
        let status = std::fs::read_to_string(folder.join("status")).unwrap_or_default();
        let resident = status
            .lines()
            .find_map(|line| line.strip_prefix("VmRSS:"))
            .and_then(|rest| rest.split_whitespace().next()?.parse::<u64>().ok());
        Usage {
            cpu: Duration::from_millis(ticks * 1_000 / CLOCK_TICKS_PER_SECOND),
            resident: resident.unwrap_or(0) * 1_024,
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // The call fails if an injected fault has killed the process already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
