//! Starts, signals and stops one real router process.

use std::{
    fs::OpenOptions,
    path::{Path, PathBuf},
    process::{Child, Command, ExitStatus, Stdio},
    time::{Duration, Instant},
};

use rustix::process::{Pid, Signal, kill_process};

/// A router process. Dropping it kills the process, also when a test panics.
#[derive(Debug)]
pub struct Process {
    child: Child,
    log: PathBuf,
}

/// The number of lines at the end of a log that are printed when a test fails.
const MAX_LOG_LINES: usize = 40;

/// The length in characters to which a printed line is truncated; a line about
/// an assignment lists every shard.
const MAX_LINE_CHARS: usize = 240;

impl Process {
    /// Starts the router with a settings file and appends its output to `log`.
    pub fn start(settings: &Path, log: &Path) -> Self {
        let mut command = Command::new(env!("CARGO_BIN_EXE_wisteriaglade"));
        command.arg("--settings").arg(settings);
        Self::spawn(command, log)
    }

    /// Starts the router in platform mode, with its settings file named by
    /// `WISTERIAGLADE_CONFIG`.
    pub fn start_platform(settings: &Path, log: &Path) -> Self {
        let mut command = Command::new(env!("CARGO_BIN_EXE_wisteriaglade"));
        command.arg("--platform");
        command.env("WISTERIAGLADE_CONFIG", settings);
        Self::spawn(command, log)
    }

    fn spawn(mut command: Command, log: &Path) -> Self {
        let output = OpenOptions::new().create(true).append(true).open(log);
        let output = output.unwrap();
        let child = command
            .stdin(Stdio::null())
            .stdout(output.try_clone().unwrap())
            .stderr(output)
            .spawn()
            .unwrap();
        Self {
            child,
            log: log.to_owned(),
        }
    }

    fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.child), signal).unwrap();
    }

    /// Sends SIGKILL and waits for the process to exit.
    pub fn kill(mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }

    /// Returns the resident memory of the process in KiB.
    pub fn resident_kib(&self) -> u64 {
        let path = format!("/proc/{}/status", self.child.id());
        let text = std::fs::read_to_string(path).unwrap();
        let line = text.lines().find(|line| line.starts_with("VmRSS:"));
        let number = line.and_then(|line| line.split_whitespace().nth(1));
        number.unwrap().parse().unwrap()
    }

    /// Sends SIGSTOP.
    pub fn pause(&self) {
        self.signal(Signal::STOP);
    }

    /// Sends SIGCONT.
    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Sends SIGHUP.
    pub fn hang_up(&self) {
        self.signal(Signal::HUP);
    }

    /// Sends SIGTERM, which starts a graceful shutdown.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// The exit status, or `None` while the process runs.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().unwrap()
    }

    /// Waits until the process exits, and fails the test after `bound`.
    pub async fn wait(&mut self, bound: Duration) -> ExitStatus {
        let start = Instant::now();
        loop {
            if let Some(status) = self.exit_status() {
                return status;
            }
            assert!(
                start.elapsed() < bound,
                "the process did not exit within {bound:?}"
            );
            tokio::time::sleep(super::POLL_INTERVAL).await;
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Both calls fail if the process has already exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Prints the last lines of a log file to stderr.
pub fn print_log_tail(log: &Path) {
    let text = std::fs::read_to_string(log).unwrap_or_default();
    let lines: Vec<&str> = text.lines().collect();
    eprintln!("--- {}", log.display());
    for line in &lines[lines.len().saturating_sub(MAX_LOG_LINES)..] {
        eprintln!("{}", line.chars().take(MAX_LINE_CHARS).collect::<String>());
    }
}
