//! Runs three nodes on loopback with sample targets and rules.
//!
//! `cargo run --release --example quickstart` prints commands to try and runs
//! until Ctrl-C. With `--once` it sends a booking, resends it through another
//! node, reads from the catalogue and changes the rules. It exits 0 only if
//! every answer is as expected and the booking ran once.

mod support;

use std::{process::ExitCode, time::Duration};

use support::{
    client::{Answer, Error},
    cluster::{Cluster, Host, OPERATOR_TOKEN},
    target::Config,
};

/// Rules for the two pools that the example runs.
const RULES: &str = "\
llewellyn catalogue GET /designs/{key} repeat deadline=2s length=short weight=1 # Megan, stall app
llewellyn bookings GET /bookings/{key} repeat deadline=2s length=short weight=1 # Megan, market office
llewellyn bookings POST /bookings/{key} once deadline=5s length=learned weight=1 # Megan, deposits are taken
";

/// `RULES` with a deadline of 1 s instead of 2 s for catalogue reads.
const CHANGED_RULES: &str = "\
llewellyn catalogue GET /designs/{key} repeat deadline=1s length=short weight=1 # Megan, stall app
llewellyn bookings GET /bookings/{key} repeat deadline=2s length=short weight=1 # Megan, market office
llewellyn bookings POST /bookings/{key} once deadline=5s length=learned weight=1 # Megan, deposits are taken
";

#[tokio::main]
async fn main() -> ExitCode {
    let check_only = std::env::args().any(|argument| argument == "--once");
    match run(check_only).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("quickstart: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run(check_only: bool) -> Result<(), Error> {
    let data = tempfile::tempdir()?;
    let cluster = Cluster::start(&hosts(), 3, 3, "", data.path()).await?;
    cluster.wait_until_ready(Duration::from_secs(15)).await?;
    let version = cluster.apply("a1", RULES).await?;
    cluster
        .wait_until_in_force(version, Duration::from_secs(5))
        .await?;
    let outcome = if check_only {
        check_requests(&cluster).await
    } else {
        print_instructions(&cluster, data.path());
        tokio::signal::ctrl_c().await.map_err(Into::into)
    };
    for host in &cluster.hosts {
        host.stop.cancel();
    }
    outcome
}

fn hosts() -> Vec<Host> {
    [
        ("caerdydd-1", "caerdydd", "catalogue"),
        ("abertawe-1", "abertawe", "bookings"),
        ("bangor-1", "bangor", "bookings"),
    ]
    .into_iter()
    .map(|(name, data_centre, pool)| Host {
        name: name.to_owned(),
        data_centre: data_centre.to_owned(),
        target: Some(Config {
            pool: pool.to_owned(),
            slots: 12,
            connections: 110,
            fencing: true,
            service: Duration::from_millis(5),
        }),
    })
    .collect()
}

fn print_instructions(cluster: &Cluster, data: &std::path::Path) {
    let (caller, admin) = (cluster.hosts[0].caller, cluster.hosts[0].admin);
    println!("three nodes are up; data below {}\n", data.display());
    for host in &cluster.hosts {
        println!(
            "{}: callers {}, admin {}",
            host.name, host.caller, host.admin
        );
    }
    println!("\nTry:\n");
    println!("curl -i http://{caller}/designs/lantern-17");
    println!(
        "curl -i -X POST -H 'idempotency-key: booking-1' -d strings=4 http://{caller}/bookings/market-5"
    );
    println!("printf '%s' {OPERATOR_TOKEN} > token.txt");
    println!("wisteriactl --node {admin} status");
    println!("wisteriactl --node {admin} explain GET /designs/lantern-17");
    println!("wisteriactl --node {admin} rules show");
    println!("wisteriactl --node {admin} members");
    println!("\nPress Ctrl-C to stop.");
}

/// Sends a booking, its resend and a read, changes the rules, and checks every
/// answer and the number of executions of the booking.
async fn check_requests(cluster: &Cluster) -> Result<(), Error> {
    let client = &cluster.client;
    let [first, second, third] = [0, 1, 2].map(|host| cluster.hosts[host].caller);
    let key = [("idempotency-key", "booking-1")];
    let path = "/bookings/market-5";
    let booking = client.send(first, "POST", path, &key, "strings=4").await?;
    expect("booking", &booking, 200, "done")?;
    let resend = client.send(second, "POST", path, &key, "strings=4").await?;
    expect("resend of the booking", &resend, 200, "done")?;
    if resend.body != booking.body {
        return Err("the resend and the booking got different answers".into());
    }
    let read = client
        .send(third, "GET", "/designs/lantern-17", &[], "")
        .await?;
    expect("catalogue read", &read, 200, "done")?;
    let version = cluster.apply("a2", CHANGED_RULES).await?;
    cluster
        .wait_until_in_force(version, Duration::from_secs(5))
        .await?;
    println!("rule change: version {version} is in force on every node");
    let ran = cluster
        .hosts
        .iter()
        .filter_map(|host| host.target.as_ref())
        .flat_map(|target| target.executions())
        .filter(|execution| execution.idempotency_key.is_some())
        .count();
    if ran != 1 {
        return Err(format!("the booking ran {ran} times").into());
    }
    println!("the booking ran once");
    Ok(())
}

fn expect(name: &str, answer: &Answer, status: u16, outcome: &str) -> Result<(), Error> {
    print!(
        "{name}: {} {} {}",
        answer.status,
        answer.outcome(),
        answer.text()
    );
    if answer.status.as_u16() == status && answer.outcome() == outcome {
        Ok(())
    } else {
        println!();
        Err(format!("{name}: expected {status} {outcome}").into())
    }
}
