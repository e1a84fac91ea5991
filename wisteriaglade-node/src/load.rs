//! Load reports from nodes to the control leader, whose planner uses them.

use std::{sync::Arc, time::Duration};

use wisteriaglade_control::planner::{self, Event};
use wisteriaglade_types::{Hash, Node};
use wisteriaglade_wire::Datagram as Sealed;

use crate::{
    context::Context,
    lock,
    message::{Datagram, Load},
};

/// Interval between reports.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Converts a received report to an event for the planner.
pub(crate) fn planner_event(node: Node, load: &Load) -> Event {
    if load.suspect {
        return Event::TargetUnresponsive { node };
    }
    Event::Load {
        node,
        report: planner::Load {
            utilisation: f64::from(load.busy) / 1_000.0,
            completions: f64::from(load.rate),
            latency: load.latency,
            hottest: load
                .hot
                .iter()
                .map(|&(hash, rate)| (Hash::new(hash), f64::from(rate)))
                .collect(),
        },
    }
}

/// Sends load reports until shutdown: one per interval, and one immediately
/// when the target stops responding. Also closes idle peer connections.
pub(crate) async fn report(context: Arc<Context>) {
    let mut ticks = tokio::time::interval(REPORT_INTERVAL);
    let mut last = Totals::default();
    loop {
        tokio::select! {
            () = context.shutdown.cancelled() => return,
            _ = ticks.tick() => {}
            () = context.admission.wait_until_suspect() => {}
        }
        context.pool.prune();
        let totals = Totals::read(&context);
        let load = totals.since(&last, &context);
        last = totals;
        let (Some(node), Some(leader)) = (context.node(), *lock(&context.leader)) else {
            continue;
        };
        let Some(replica) = context.settings.replicas.iter().find(|r| r.id == leader) else {
            continue;
        };
        if let Ok(bytes) = Sealed::seal(&context.key, &Datagram::Load { node, load }) {
            context.metrics.add_control_bytes(bytes.len() as u64);
            let _ = context.udp.send_to(&bytes, replica.peer).await;
        }
    }
}

/// Running totals of the admission queue over all members.
#[derive(Debug, Default, Clone, Copy)]
struct Totals {
    served: u64,
    /// Sum of the times that requests occupied slots.
    busy: Duration,
}

impl Totals {
    fn read(context: &Context) -> Self {
        context.admission.inspect(|router| {
            router
                .members()
                .values()
                .fold(Self::default(), |sum, usage| Self {
                    served: sum.served + usage.served,
                    busy: sum.busy + usage.busy,
                })
        })
    }

    /// Computes the report for the interval since `last`.
    fn since(&self, last: &Self, context: &Context) -> Load {
        let served = u32::try_from(self.served.saturating_sub(last.served)).unwrap_or(u32::MAX);
        let busy = self.busy.saturating_sub(last.busy);
        let slots = context
            .announced
            .borrow()
            .as_ref()
            .map_or(1, |announced| announced.target.slots.max(1));
        let capacity = REPORT_INTERVAL * slots;
        let thousandths = busy.as_millis() * 1_000 / capacity.as_millis().max(1);
        Load {
            busy: u32::try_from(thousandths).unwrap_or(u32::MAX),
            rate: served,
            latency: busy / served.max(1),
            suspect: context.admission.suspect(),
            hot: context.admission.take_hot_keys(REPORT_INTERVAL),
        }
    }
}
