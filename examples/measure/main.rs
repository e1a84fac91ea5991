//! Runs a deployment on loopback under load and measures latencies, outcomes,
//! availability under faults, and violations of the guarantees.
//!
//! `cargo run --release --example measure -- --workload llewellyn` starts the
//! release binary of the node once for each host; the targets and the callers
//! run in this process. `docs/measurements.md` describes the method.

#![allow(
    missing_docs,
    reason = "the modules of an example are described by their own comments"
)]

#[path = "../support/client.rs"]
#[allow(dead_code, reason = "this example uses a part of it")]
mod client;
mod cluster;
mod fault;
mod figures;
mod history;
mod load;
mod process;
mod relay;
mod report;
mod stage;
mod target;
mod workload;

use std::{path::PathBuf, process::ExitCode, sync::Arc, time::Duration};

use getopts::Options;
use tokio::{
    signal::unix::{SignalKind, signal},
    time::sleep,
};

use crate::{
    client::Error,
    cluster::Cluster,
    fault::{Fault, Injection},
    figures::{Figures, Stages},
    load::Load,
    report::Report,
    workload::Workload,
};

/// The exit code for a wrong command line.
const USAGE_EXIT_CODE: u8 = 2;

/// The default length of the load of one run, in seconds.
const DEFAULT_SECONDS: f64 = 12.0;

/// The parsed command line.
#[derive(Debug)]
struct Args {
    workloads: Vec<&'static str>,
    policies: Vec<&'static str>,
    fault: Fault,
    fault_name: String,
    seed: u64,
    seconds: f64,
    json: Option<PathBuf>,
}

fn options() -> Options {
    let faults = fault::FAULTS.map(|(name, _)| name).join(", ");
    let mut options = Options::new();
    options
        .optopt(
            "w",
            "workload",
            "the deployment (default: all)",
            "llewellyn|ribeira|all",
        )
        .optopt("s", "seed", "the seed of the load (default: 1)", "N")
        .optopt("t", "seconds", "the length of the load (default: 12)", "S")
        .optopt("f", "fault", &format!("one of {faults}"), "NAME")
        .optopt(
            "p",
            "policy",
            "one policy in place of both",
            "current|baseline",
        )
        .optopt("j", "json", "a file for the figures", "FILE")
        .optflag("h", "help", "print this help and exit");
    options
}

fn parse_args(arguments: impl Iterator<Item = String>) -> Result<Option<Args>, String> {
    let matches = options()
        .parse(arguments)
        .map_err(|error| error.to_string())?;
    if matches.opt_present("help") {
        return Ok(None);
    }
    if let Some(extra) = matches.free.first() {
        return Err(format!("unexpected argument `{extra}`"));
    }
    let workloads = match matches.opt_str("workload").as_deref() {
        None | Some("all") => vec!["llewellyn", "ribeira"],
        Some("llewellyn") => vec!["llewellyn"],
        Some("ribeira") => vec!["ribeira"],
        Some(other) => return Err(format!("--workload: unknown deployment `{other}`")),
    };
    let policies = match matches.opt_str("policy").as_deref() {
        None => vec!["current", "baseline"],
        Some("current") => vec!["current"],
        Some("baseline") => vec!["baseline"],
        Some(other) => return Err(format!("--policy: unknown policy `{other}`")),
    };
    let fault_name = matches.opt_str("fault").unwrap_or("none".to_owned());
    let fault = Fault::from_name(&fault_name)
        .ok_or_else(|| format!("--fault: unknown fault `{fault_name}`"))?;
    let seconds = parse_number(&matches, "seconds", DEFAULT_SECONDS)?;
    if !(4.0..=120.0).contains(&seconds) {
        return Err("--seconds: expected 4 to 120".to_owned());
    }
    Ok(Some(Args {
        workloads,
        policies,
        fault,
        fault_name,
        seed: parse_number(&matches, "seed", 1)?,
        seconds,
        json: matches.opt_str("json").map(PathBuf::from),
    }))
}

fn parse_number<T: std::str::FromStr>(
    matches: &getopts::Matches,
    name: &str,
    default: T,
) -> Result<T, String> {
    let Some(text) = matches.opt_str(name) else {
        return Ok(default);
    };
    text.parse()
        .map_err(|_| format!("--{name}: expected a number, got `{text}`"))
}

#[tokio::main]
async fn main() -> ExitCode {
    let args = match parse_args(std::env::args().skip(1)) {
        Ok(Some(args)) => args,
        Ok(None) => {
            print!("{}", options().usage("Usage: measure [OPTIONS]"));
            return ExitCode::SUCCESS;
        }
        Err(error) => {
            eprintln!("measure: {error}");
            return ExitCode::from(USAGE_EXIT_CODE);
        }
    };
    let outcome = tokio::select! {
        outcome = measure(&args) => outcome,
        // Dropping the future of the run ends every process that it started.
        () = interrupted() => Err("interrupted".into()),
    };
    match outcome {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("measure: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn interrupted() {
    let kinds = [SignalKind::interrupt(), SignalKind::terminate()];
    match kinds.map(signal) {
        [Ok(mut interrupt), Ok(mut terminate)] => {
            tokio::select! {
                _ = interrupt.recv() => {}
                _ = terminate.recv() => {}
            }
        }
        _ => std::future::pending().await,
    }
}

/// Measures every workload and policy of the command line, and returns whether all
/// guarantees held.
async fn measure(args: &Args) -> Result<bool, Error> {
    let mut reports = Vec::new();
    for &name in &args.workloads {
        let mut report = Report {
            workload: name.to_owned(),
            fault: args.fault_name.clone(),
            seed: args.seed,
            seconds: args.seconds,
            runs: Vec::new(),
            bounds: Vec::new(),
        };
        for policy in &args.policies {
            let figures = run(args, name, policy).await?;
            report.bounds.extend(report::bounds(&figures));
            report.runs.push(figures);
        }
        report.print();
        reports.push(report);
    }
    if let Some(file) = &args.json {
        std::fs::write(file, serde_json::to_string_pretty(&reports)?)?;
    }
    let mut runs = reports.iter().flat_map(|report| &report.runs);
    Ok(runs.all(|run| run.violation_count == 0))
}

/// Runs one policy on a cluster of its own.
async fn run(args: &Args, name: &str, policy: &str) -> Result<Figures, Error> {
    let workload = Workload::from_name(name).ok_or("unknown workload")?;
    let data = tempfile::tempdir()?;
    let relayed = args.fault.relayed(&workload);
    let (cluster, relay) = Cluster::start(&workload, policy, relayed, data.path()).await?;
    let cluster = Arc::new(cluster);
    let version = cluster.apply("first", &workload.rules).await?;
    cluster.wait_until_in_force(version).await?;
    let load = Load::new(Arc::clone(&cluster), workload);
    let idle = stage::idle(&cluster).await;
    let mut injection = Injection::prepare(args.fault, &load, relay).await?;
    let begin = cluster.history.now();
    let at = |share: f64| Duration::from_secs_f64(share * args.seconds);
    let change = async {
        sleep(at(workload::RULE_CHANGE_AT)).await;
        let changed = load.workload.rules.replace("deadline=2s", "deadline=3s");
        let start = cluster.history.now();
        let version = cluster.apply("second", &changed).await?;
        cluster.wait_until_in_force(version).await?;
        Ok::<_, Error>(cluster.history.now().saturating_sub(start))
    };
    let fault = async {
        sleep(at(workload::FAULT_AT)).await;
        injection.run(&load).await
    };
    let limits = stage::LimitReadings::default();
    let run = async {
        tokio::select! {
            () = load.run(args.seconds, args.seed) => {}
            () = limits.poll(&cluster) => {}
        }
    };
    let ((), rule_change, fault) = tokio::join!(run, change, fault);
    fault?;
    // These stages run after the load, since nodes learn service times and these
    // requests need no work.
    let overhead = match args.fault {
        Fault::None => Some(stage::overhead(&load).await?),
        _ => None,
    };
    let saturation = match args.fault {
        Fault::None => Some(stage::saturation(&load).await?),
        _ => None,
    };
    let replay_missing = stage::replay(&load).await;
    let stages = Stages {
        overhead,
        idle,
        saturation,
        rule_change: rule_change?,
        replay_missing,
        limits: limits.take(),
        begin,
        seconds: args.seconds,
    };
    Ok(Figures::new(policy, &load, &injection, stages))
}
