//! The control replica: a member of the group that replicates the control log.
//!
//! [`replica`] runs the consensus on its own thread and shows its state as a
//! [`status`]. [`group`] holds the links to the other replicas. While the replica is
//! the leader, [`leader`] answers the hosts' reports and publishes to them.
//! [`operator`] serves the operators' calls.

mod group;
mod leader;
mod operator;
mod replica;
mod status;

use std::{
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use tokio::time::{MissedTickBehavior, interval, sleep};
use tokio_util::sync::CancellationToken;
use tracing::info;
use wisteriaglade_wire::Clock;

use crate::{Dialect, Settings, frame::Hello, link, metrics::Endpoint, metrics::Metrics, server};
use group::Group;
use leader::Leader;

/// The longest interval between calls of [`Leader::step`]. Most of them follow a
/// change of the replica's state; timeouts depend on this interval.
const STEP_INTERVAL: Duration = Duration::from_millis(100);

/// How long the listeners stay open after the replica has stopped, so that
/// responses still reach their callers.
const SHUTDOWN_DELAY: Duration = Duration::from_millis(150);

/// Runs a control replica until the token is cancelled.
///
/// # Errors
///
/// When an address cannot be bound, or when the data folder is missing in the
/// settings or cannot be used.
pub(crate) async fn run<D: Dialect>(
    settings: Settings,
    stop: CancellationToken,
) -> std::io::Result<()> {
    let clock = Clock::new();
    let metrics = Metrics::new();
    let settings = Arc::new(settings);
    // Cancelled later than `stop`, so that responses in progress are sent.
    let ended = CancellationToken::new();
    let (handle, id) = replica::start(&settings, clock)?;
    let hello = Hello {
        session: crate::host::session(),
        address: settings.link,
        replica: Some(id),
    };
    let group = Group::new(hello.clone(), handle.clone(), ended.clone());
    let leader = Leader::new(Arc::clone(&settings), clock, handle.clone(), group.clone());
    link::listen(settings.link, hello, leader.clone(), ended.clone())?;
    group.start_sender();
    let operator = operator::Operator::<D>::new(handle.clone(), leader.clone());
    server::listen(settings.control, operator, ended.clone())?;
    server::listen(
        settings.metrics,
        Endpoint(Arc::clone(&metrics)),
        ended.clone(),
    )?;
    info!(
        event = "start",
        role = "control",
        host = %settings.host,
        replica = id,
        link = %settings.link,
        first_start = settings.first_start,
        replicas = settings.replicas
    );
    let mut ticks = interval(STEP_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            () = stop.cancelled() => break,
            _ = ticks.tick() => {}
            () = handle.changed() => {}
        }
        leader.step();
        let status = handle.status();
        metrics.leading.set(i64::from(status.is_leading()));
        metrics.log_index.set(gauge_value(status.applied()));
        metrics
            .plan_version
            .set(gauge_value(status.state().plan().version));
    }
    info!(event = "stop", role = "control", host = %settings.host);
    handle.stop.store(true, Ordering::Relaxed);
    sleep(SHUTDOWN_DELAY).await;
    ended.cancel();
    Ok(())
}

/// Converts a number for a gauge.
fn gauge_value(number: u64) -> i64 {
    i64::try_from(number).unwrap_or(i64::MAX)
}

/// The number of the replica that runs at a link address when the fleet starts
/// for the first time.
///
/// It is derived from the address, so that all seeds know each other's numbers.
/// A replica that starts later draws a random number: if it replaces one whose
/// disk was lost, it must not vote under the old number.
fn seed_id(address: SocketAddr) -> u64 {
    match address {
        SocketAddr::V4(address) => {
            u64::from(u32::from(*address.ip())) << 16 | u64::from(address.port())
        }
        SocketAddr::V6(address) => xxhash_rust::xxh3::xxh3_64(&address.ip().octets()) >> 2,
    }
}
