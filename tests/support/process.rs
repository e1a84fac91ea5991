//! One real process of the router.

use std::{
    fs::OpenOptions,
    path::{Path, PathBuf},
    process::{Child, Command, ExitStatus, Stdio},
    time::{Duration, Instant},
};

use rustix::process::{Pid, Signal, kill_process};

/// A running process. It ends with this value, also when a test panics.
#[derive(Debug)]
pub struct Process {
    child: Child,
    log: PathBuf,
}

/// Lines of a log that are shown when a test fails.
const SHOWN: usize = 40;

/// The length to which a line is cut. An assignment names every shard.
const WIDTH: usize = 240;

impl Process {
    /// Starts the binary with a settings file; its output is appended to `log`.
    pub fn start(settings: &Path, log: &Path) -> Self {
        let mut command = Command::new(env!("CARGO_BIN_EXE_wisteriaglade"));
        command.arg("--settings").arg(settings);
        Self::spawn(command, log)
    }

    /// Starts the binary with a settings file of the users' platform.
    pub fn platform(settings: &Path, log: &Path) -> Self {
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

    /// SIGKILL.
    pub fn kill(mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }

    /// SIGSTOP.
    pub fn pause(&self) {
        self.signal(Signal::STOP);
    }

    /// SIGCONT.
    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// SIGHUP.
    pub fn hang_up(&self) {
        self.signal(Signal::HUP);
    }

    /// SIGTERM.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// How the process ended, or none when it has not.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().unwrap()
    }

    /// Waits for the end of the process.
    pub async fn wait(&mut self, bound: Duration) -> ExitStatus {
        let start = Instant::now();
        loop {
            if let Some(status) = self.ended() {
                return status;
            }
            assert!(start.elapsed() < bound, "no end within {bound:?}");
            tokio::time::sleep(super::LOOK).await;
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // A process that has ended already makes these fail.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Prints the end of a log.
pub fn show(log: &Path) {
    let text = std::fs::read_to_string(log).unwrap_or_default();
    let lines: Vec<&str> = text.lines().collect();
    eprintln!("--- {}", log.display());
    for line in &lines[lines.len().saturating_sub(SHOWN)..] {
        eprintln!("{}", line.chars().take(WIDTH).collect::<String>());
    }
}
