//! The control replica.

mod board;
mod group;
mod leader;
mod operator;
mod replica;

use std::{
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use tokio::time::{MissedTickBehavior, interval, sleep};
use tokio_util::sync::CancellationToken;
use tracing::info;
use wisteriaglade_wire::Clock;

use crate::{Dialect, Settings, frame::Hello, link, metrics::Metrics, metrics::Page, server};
use group::Group;
use leader::Leader;

/// How often the leader looks for work that no message announces.
const LOOK: Duration = Duration::from_millis(100);

/// How long a replica that ends goes on, so that responses reach their
/// callers.
const LINGER: Duration = Duration::from_millis(150);

/// Runs a control replica until the token is cancelled.
///
/// # Errors
///
/// When an address cannot be listened on or the data folder cannot be used.
pub(crate) async fn run<D: Dialect>(
    settings: Settings,
    stop: CancellationToken,
) -> std::io::Result<()> {
    let clock = Clock::new();
    let metrics = Metrics::new();
    let settings = Arc::new(settings);
    // The listeners outlive the request to stop, so that responses get out.
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
    group.attach();
    let operator = operator::Operator::<D>::new(handle.clone(), leader.clone());
    server::listen(settings.control, operator, ended.clone())?;
    server::listen(settings.metrics, Page(Arc::clone(&metrics)), ended.clone())?;
    info!(
        event = "start",
        role = "control",
        host = %settings.host,
        replica = id,
        link = %settings.link,
        first_start = settings.first_start,
        replicas = settings.replicas
    );
    let mut ticks = interval(LOOK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            () = stop.cancelled() => break,
            _ = ticks.tick() => {}
            () = handle.changed() => {}
        }
        leader.step();
        let board = handle.board();
        metrics.leading.set(i64::from(board.is_leading()));
        metrics.log_index.set(signed(board.applied()));
        metrics.plan.set(signed(board.state().plan().version));
    }
    info!(event = "stop", role = "control", host = %settings.host);
    handle.stop.store(true, Ordering::Relaxed);
    sleep(LINGER).await;
    ended.cancel();
    Ok(())
}

fn signed(number: u64) -> i64 {
    i64::try_from(number).unwrap_or(i64::MAX)
}

/// The address of a link as the number of the replica that starts there first.
///
/// Only the replicas named as seeds at the first start have such a number;
/// every later one draws its own, since its disk may have been lost.
fn seed_id(address: SocketAddr) -> u64 {
    match address {
        SocketAddr::V4(address) => {
            u64::from(u32::from(*address.ip())) << 16 | u64::from(address.port())
        }
        SocketAddr::V6(address) => xxhash_rust::xxh3::xxh3_64(&address.ip().octets()) >> 2,
    }
}
