//! Checks the invariants of the system, using only what targets executed and
//! what callers received.

use std::collections::{BTreeMap, HashSet};

use super::{
    calls::{Call, CallResult},
    target::Execution,
};

/// An execution together with the index of the target that ran it.
pub type TargetExecution = (usize, Execution);

/// Returns a description of every violation in the records of one test.
///
/// `exclusive` is true if the targets check no fencing tokens. Then two targets
/// must never work on a key at the same time.
pub fn violations(executions: &[TargetExecution], calls: &[Call], exclusive: bool) -> Vec<String> {
    let mut found = Vec::new();
    check_ownership(executions, exclusive, &mut found);
    check_at_most_once(executions, calls, &mut found);
    check_answers(executions, calls, &mut found);
    found
}

/// Invariant 1: a key has at most one owner at a time, so the epochs of a
/// shard's executions never decrease.
fn check_ownership(executions: &[TargetExecution], exclusive: bool, found: &mut Vec<String>) {
    let mut shards: BTreeMap<&str, Vec<&TargetExecution>> = BTreeMap::new();
    let mut paths: BTreeMap<&str, Vec<&TargetExecution>> = BTreeMap::new();
    for ran in executions {
        shards.entry(&ran.1.shard).or_default().push(ran);
        paths.entry(&ran.1.path).or_default().push(ran);
    }
    for (shard, mut runs) in shards {
        runs.sort_by_key(|(_, execution)| execution.start);
        for pair in runs.windows(2) {
            if pair[1].1.epoch < pair[0].1.epoch {
                found.push(format!(
                    "older epoch after a newer one in {shard}: {pair:?}"
                ));
            }
        }
    }
    for runs in paths.values().filter(|_| exclusive) {
        for (position, (target, one)) in runs.iter().enumerate() {
            for (other, two) in &runs[position + 1..] {
                let apart = one.end.is_some_and(|end| end <= two.start)
                    || two.end.is_some_and(|end| end <= one.start);
                if target != other && !apart {
                    found.push(format!("one key on two targets at once: {one:?} {two:?}"));
                }
            }
        }
    }
}

/// Invariants 2 and 5: a request with an idempotency key runs at most once, and
/// acknowledged work did run.
fn check_at_most_once(executions: &[TargetExecution], calls: &[Call], found: &mut Vec<String>) {
    let mut runs: BTreeMap<&str, Vec<&TargetExecution>> = BTreeMap::new();
    for ran in executions {
        if let Some(key) = &ran.1.idempotency_key {
            runs.entry(key).or_default().push(ran);
        }
    }
    for (key, runs) in &runs {
        if runs.len() > 1 {
            found.push(format!("{key} ran {} times: {runs:?}", runs.len()));
        }
    }
    for call in calls.iter().filter(|call| call.outcome() == "done") {
        let Some(key) = &call.idempotency_key else {
            continue;
        };
        let complete = |runs: &Vec<&TargetExecution>| runs.iter().any(|(_, run)| run.complete);
        if !runs.get(key.as_str()).is_some_and(complete) {
            found.push(format!("{key} was acknowledged and did not run: {call:?}"));
        }
    }
}

/// Invariants 3 and 4: a response belongs to its request, and a request that
/// was answered `not-run` did not run.
fn check_answers(executions: &[TargetExecution], calls: &[Call], found: &mut Vec<String>) {
    let ran: HashSet<&str> = executions
        .iter()
        .filter_map(|(_, execution)| execution.token.as_deref())
        .collect();
    for call in calls {
        let CallResult::Answer(reply) = &call.result else {
            continue;
        };
        if reply.outcome == "not-run" && ran.contains(call.token.as_str()) {
            found.push(format!("answered not-run and ran: {call:?}"));
        }
        if reply.outcome.is_empty() {
            found.push(format!("an answer without an outcome: {call:?}"));
        }
        if !call.served() {
            continue;
        }
        // A replayed response carries the token of the attempt that ran.
        let own = reply.token == call.token;
        let earlier = reply.replayed
            && calls.iter().any(|other| {
                other.token == reply.token
                    && other.idempotency_key == call.idempotency_key
                    && other.path == call.path
            });
        if !own && !earlier {
            found.push(format!("the answer of another request: {call:?}"));
        }
    }
}

/// Returns the calls that a graceful shutdown interrupted (invariant 7): the
/// node accepted the connection and did not answer, or the outcome is unknown
/// because the response of work that ran was lost.
pub fn interrupted(calls: &[Call]) -> Vec<&Call> {
    let interrupted = |call: &&Call| matches!(call.outcome(), "cut" | "unknown");
    calls.iter().filter(interrupted).collect()
}
