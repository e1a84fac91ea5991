//! What the targets ran, and the promises that it must keep.

use std::{
    collections::HashMap,
    sync::Mutex,
    time::{Duration, Instant},
};

/// One execution at a target.
#[derive(Debug, Clone)]
pub struct Execution {
    /// The host of the target.
    pub host: usize,
    pub pool: usize,
    pub key: usize,
    pub shard: u32,
    pub epoch: u64,
    /// The operation: the same for every resend.
    pub operation: u64,
    /// The attempt: one request of a caller.
    pub attempt: u64,
    pub once: bool,
    pub begin: Duration,
    /// Absent while it runs.
    pub end: Option<Duration>,
    /// Whether its response was handed to the connection.
    pub completed: bool,
}

/// Every execution at every target, on one clock.
#[derive(Debug)]
pub struct Book {
    start: Instant,
    executions: Mutex<Vec<Execution>>,
}

impl Book {
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
            executions: Mutex::default(),
        }
    }

    /// The time since the start of the book.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Notes the start of an execution and returns its position.
    pub fn begin(&self, execution: Execution) -> usize {
        let mut executions = self.executions.lock().expect("not poisoned");
        executions.push(execution);
        executions.len() - 1
    }

    /// Notes the end of an execution.
    pub fn end(&self, position: usize, completed: bool) {
        let now = self.now();
        let mut executions = self.executions.lock().expect("not poisoned");
        executions[position].end = Some(now);
        executions[position].completed = completed;
    }

    /// Every execution so far.
    pub fn executions(&self) -> Vec<Execution> {
        self.executions.lock().expect("not poisoned").clone()
    }
}

/// Broken promises by kind. Each must be 0.
#[derive(Debug, Default, Clone, serde::Serialize)]
pub struct Broken {
    /// Executions of one key that overlap on two targets.
    pub two_owners: usize,
    /// Operations of at-most-once rules that ran more than once.
    pub executed_twice: usize,
    /// Acknowledged operations of at-most-once rules that never completed.
    pub acknowledged_missing: usize,
    /// Attempts answered with `not-run` that ran.
    pub not_run_ran: usize,
    /// Responses that belong to another request.
    pub wrong_answer: usize,
    /// Responses that ended early although no process was lost.
    pub cut: usize,
    /// What was seen, for a few cases.
    pub samples: Vec<String>,
}

/// Cases that are described in a report.
const SAMPLES: usize = 8;

impl Broken {
    pub const fn total(&self) -> usize {
        self.two_owners
            + self.executed_twice
            + self.acknowledged_missing
            + self.not_run_ran
            + self.wrong_answer
            + self.cut
    }

    pub fn note(&mut self, sample: impl FnOnce() -> String) {
        if self.samples.len() < SAMPLES {
            self.samples.push(sample());
        }
    }

    /// Looks for overlapping executions of a key on two targets.
    pub fn overlaps(&mut self, executions: &[Execution], now: Duration) {
        let mut keys: HashMap<(usize, usize), Vec<&Execution>> = HashMap::new();
        for execution in executions {
            let key = (execution.pool, execution.key);
            keys.entry(key).or_default().push(execution);
        }
        for mut runs in keys.into_values() {
            runs.sort_by_key(|run| run.begin);
            // The execution that ends last, for each target.
            let mut last: HashMap<usize, &Execution> = HashMap::new();
            for run in runs {
                let other = last
                    .values()
                    .find(|other| other.host != run.host && other.end.unwrap_or(now) > run.begin);
                if let Some(other) = other {
                    self.two_owners += 1;
                    self.note(|| format!("two owners: {other:?} and {run:?}"));
                }
                let longest = last.entry(run.host).or_insert(run);
                if run.end.unwrap_or(now) > longest.end.unwrap_or(now) {
                    *longest = run;
                }
            }
        }
    }

    /// Looks for at-most-once operations that ran more than once.
    pub fn repeats(&mut self, executions: &[Execution]) {
        let mut first: HashMap<u64, &Execution> = HashMap::new();
        for run in executions.iter().filter(|run| run.once) {
            if let Some(before) = first.insert(run.operation, run) {
                self.executed_twice += 1;
                self.note(|| format!("executed twice: {before:?} and {run:?}"));
            }
        }
    }
}
