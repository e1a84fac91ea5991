//! Runs every host of a deployment on loopback, in one process.
//!
//! `cargo run --release --example deployment -- examples/llewellyn` starts each
//! host listed in the folder's `targets.txt` from its settings file, with a
//! sample target beside it, applies `rules.txt` and runs until Ctrl-C. With
//! `--once` it sends one request per rule and method through every host and
//! exits 0 only if all of them are answered 200 with the outcome `done`.

mod support;

use std::{path::PathBuf, process::ExitCode, time::Duration};

use support::{
    client::Error,
    cluster::{Cluster, OPERATOR_TOKEN},
};
use wisteriaglade::rules::{Execution, Set};

#[tokio::main]
async fn main() -> ExitCode {
    let check_only = std::env::args().any(|argument| argument == "--once");
    let folder = std::env::args()
        .skip(1)
        .find(|argument| argument != "--once");
    let Some(folder) = folder.map(PathBuf::from) else {
        eprintln!("usage: deployment FOLDER [--once]");
        return ExitCode::from(2);
    };
    match run(&folder, check_only).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("deployment: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run(folder: &std::path::Path, check_only: bool) -> Result<(), Error> {
    let data = tempfile::tempdir()?;
    let cluster = Cluster::from_folder(folder, data.path()).await?;
    cluster.wait_until_ready(Duration::from_secs(30)).await?;
    let rules = std::fs::read_to_string(folder.join("rules.txt"))?;
    let version = cluster.apply("a1", &rules).await?;
    cluster
        .wait_until_in_force(version, Duration::from_secs(5))
        .await?;
    println!(
        "{} hosts serve, rules version {version}",
        cluster.hosts.len()
    );
    let outcome = if check_only {
        check_requests(&cluster, &Set::parse(&rules)?).await
    } else {
        for host in &cluster.hosts {
            println!(
                "{}: callers {}, admin {}",
                host.name, host.caller, host.admin
            );
        }
        println!("operator token: {OPERATOR_TOKEN}\nPress Ctrl-C to stop.");
        tokio::signal::ctrl_c().await.map_err(Into::into)
    };
    for host in &cluster.hosts {
        host.stop.cancel();
    }
    outcome
}

/// Sends one request per rule and method through every host.
///
/// # Errors
///
/// Fails at the first request that is not answered 200 with the outcome `done`.
async fn check_requests(cluster: &Cluster, rules: &Set) -> Result<(), Error> {
    let mut sent = 0;
    for rule in rules.rules() {
        for method in rule.methods.iter() {
            let path = rule
                .template
                .as_str()
                .replace("{key}", "k-1")
                .replace("**", "x");
            for (position, host) in cluster.hosts.iter().enumerate() {
                let key = format!("{method:?}-{position}");
                let headers = [("idempotency-key", key.as_str())];
                let headers = if rule.execution == Execution::Once {
                    &headers[..]
                } else {
                    &[]
                };
                let answer = cluster
                    .client
                    .send(host.caller, method.as_str(), &path, headers, "")
                    .await?;
                if answer.status != 200 || answer.outcome() != "done" {
                    let (status, text) = (answer.status, answer.text());
                    return Err(format!(
                        "{} {path} at {}: {status} {text}",
                        method.as_str(),
                        host.name
                    )
                    .into());
                }
                sent += 1;
            }
        }
    }
    println!(
        "{sent} requests by {} rules answered 200 done",
        rules.rules().len()
    );
    Ok(())
}
