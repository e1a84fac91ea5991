//! The history of executions at all targets, and the checks of the guarantees
//! that it must satisfy.

use std::{
    collections::HashMap,
    sync::Mutex,
    time::{Duration, Instant},
};

/// One execution of a request at a target. Times count from the start of the
/// history.
#[derive(Debug, Clone)]
pub struct Execution {
    /// The position of the target's host in the workload.
    pub host: usize,
    pub pool: usize,
    pub key: usize,
    pub shard: u32,
    pub epoch: u64,
    /// Identifies the operation; every resend has the same number.
    pub operation: u64,
    /// Identifies one request of a caller to a node.
    pub attempt: u64,
    pub once: bool,
    pub begin: Duration,
    /// Absent while the execution runs.
    pub end: Option<Duration>,
    /// Whether the work ran to its end and its response was returned.
    pub completed: bool,
}

/// The executions at all targets, with times on one clock.
#[derive(Debug)]
pub struct History {
    start: Instant,
    executions: Mutex<Vec<Execution>>,
}

impl History {
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
            executions: Mutex::default(),
        }
    }

    /// The time since the start of the history.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Records the start of an execution and returns its position in the history.
    pub fn begin(&self, execution: Execution) -> usize {
        let mut executions = self.executions.lock().expect("not poisoned");
        executions.push(execution);
        executions.len() - 1
    }

    /// Records the end of the execution at `position`.
    pub fn end(&self, position: usize, completed: bool) {
        let now = self.now();
        let mut executions = self.executions.lock().expect("not poisoned");
        executions[position].end = Some(now);
        executions[position].completed = completed;
    }

    /// Every execution so far, in the order of their starts.
    pub fn executions(&self) -> Vec<Execution> {
        self.executions.lock().expect("not poisoned").clone()
    }
}

/// Violations of the guarantees by kind. Each count must be 0.
#[derive(Debug, Default, Clone, serde::Serialize)]
pub struct Violations {
    /// Executions of a key that overlap one of the same key on another target.
    pub two_owners: usize,
    /// Executions of an at-most-once operation after its first one.
    pub executed_twice: usize,
    /// At-most-once operations answered with `done` that have no completed
    /// execution or whose response is not replayed.
    pub acknowledged_missing: usize,
    /// Attempts answered with `not-run` that were executed.
    #[serde(rename = "not_run_ran")]
    pub executed_after_not_run: usize,
    /// Responses whose body belongs to another request.
    pub wrong_answer: usize,
    /// Requests that failed without a whole response although no process was
    /// lost.
    #[serde(rename = "cut")]
    pub failed_requests: usize,
    /// Descriptions of the first few violations.
    pub samples: Vec<String>,
}

/// The number of violations that are described in a report.
const MAX_SAMPLES: usize = 8;

impl Violations {
    pub const fn total(&self) -> usize {
        self.two_owners
            + self.executed_twice
            + self.acknowledged_missing
            + self.executed_after_not_run
            + self.wrong_answer
            + self.failed_requests
    }

    pub fn add_sample(&mut self, sample: impl FnOnce() -> String) {
        if self.samples.len() < MAX_SAMPLES {
            self.samples.push(sample());
        }
    }

    /// Counts executions of a key that overlap one on another target. Executions
    /// without an end are taken to run until `now`.
    pub fn check_single_owner(&mut self, executions: &[Execution], now: Duration) {
        let mut keys: HashMap<(usize, usize), Vec<&Execution>> = HashMap::new();
        for execution in executions {
            let key = (execution.pool, execution.key);
            keys.entry(key).or_default().push(execution);
        }
        for mut runs in keys.into_values() {
            runs.sort_by_key(|run| run.begin);
            // For each target, the execution so far that ends last.
            let mut last: HashMap<usize, &Execution> = HashMap::new();
            for run in runs {
                let other = last
                    .values()
                    .find(|other| other.host != run.host && other.end.unwrap_or(now) > run.begin);
                if let Some(other) = other {
                    self.two_owners += 1;
                    self.add_sample(|| format!("two owners: {other:?} and {run:?}"));
                }
                let longest = last.entry(run.host).or_insert(run);
                if run.end.unwrap_or(now) > longest.end.unwrap_or(now) {
                    *longest = run;
                }
            }
        }
    }

    /// Counts repeated executions of at-most-once operations.
    pub fn check_at_most_once(&mut self, executions: &[Execution]) {
        let mut first: HashMap<u64, &Execution> = HashMap::new();
        for run in executions.iter().filter(|run| run.once) {
            if let Some(before) = first.insert(run.operation, run) {
                self.executed_twice += 1;
                self.add_sample(|| format!("executed twice: {before:?} and {run:?}"));
            }
        }
    }
}
