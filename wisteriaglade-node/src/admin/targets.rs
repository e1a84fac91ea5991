//! The endpoints for the target beside this process.

use std::{sync::Arc, time::Duration};

use dropshot::{HttpError, HttpResponseUpdatedNoContent, RequestContext, TypedBody, endpoint};
use tracing::info;
use wisteriaglade_control::Target;
use wisteriaglade_router::{Event, Report};

use super::document;
use crate::context::{Announcement, Context};

type Reply = Result<HttpResponseUpdatedNoContent, HttpError>;

/// The largest number of slots that a target may announce. The router counts
/// exactly up to it.
const MAX_SLOTS: u32 = 100_000;

/// Announces the target beside this process, or replaces its announcement.
#[endpoint { method = PUT, path = "/v1/target" }]
pub(super) async fn announce(
    request: RequestContext<Arc<Context>>,
    body: TypedBody<document::Target>,
) -> Reply {
    let context = request.context();
    let document = body.into_inner();
    if document.slots == 0 || document.slots > MAX_SLOTS || document.connections == 0 {
        return Err(bad_request(
            "slots: expected 1 to 100000, connections: at least 1",
        ));
    }
    if document.pool.is_empty() || document.pool.len() > 128 {
        return Err(bad_request("pool: expected 1 to 128 bytes"));
    }
    let cold_start = Duration::from_millis(document.cold_start_ms);
    info!(
        event = "target-announced",
        pool = document.pool,
        address = %document.address,
        slots = document.slots,
        connections = document.connections,
        fencing = document.fencing
    );
    let announced = Announcement {
        pool: document.pool.as_str().into(),
        target: Target {
            address: document.address,
            slots: document.slots,
            connections: document.connections,
            fencing: document.fencing,
            cold_start,
        },
        draining: false,
    };
    // A draining target may repeat its announcement, which does not end the
    // drain. Only leaving does.
    let known = context
        .announced
        .borrow()
        .as_ref()
        .is_some_and(|known| known.draining || *known == announced);
    if !known {
        if context.announced.borrow().is_none() {
            // Ends the drain of an earlier target.
            context.admission.set_capacity(None);
        }
        context.notices.forget_own();
        context.admission.event(Event::RateLimit(None));
        context.admission.set_capacity(Some(announced.capacity()));
        context.announced.send_replace(Some(announced));
    }
    Ok(HttpResponseUpdatedNoContent())
}

/// Reports the load of the target.
#[endpoint { method = POST, path = "/v1/target/load" }]
pub(super) async fn report(
    request: RequestContext<Arc<Context>>,
    body: TypedBody<document::Load>,
) -> Reply {
    let load = body.into_inner();
    request.context().admission.event(Event::Report(Report {
        running: load.running,
        queued: load.queued,
        healthy: load.healthy,
    }));
    Ok(HttpResponseUpdatedNoContent())
}

/// Starts to drain the target.
#[endpoint { method = POST, path = "/v1/target/drain" }]
pub(super) async fn drain(request: RequestContext<Arc<Context>>) -> Reply {
    request.context().drain_target();
    Ok(HttpResponseUpdatedNoContent())
}

/// Withdraws the announcement of the target.
#[endpoint { method = DELETE, path = "/v1/target" }]
pub(super) async fn leave(request: RequestContext<Arc<Context>>) -> Reply {
    let context = request.context();
    info!(event = "target-left");
    context.announced.send_replace(None);
    context.admission.event(Event::Drain);
    Ok(HttpResponseUpdatedNoContent())
}

/// An error with status 400.
fn bad_request(detail: &str) -> HttpError {
    HttpError::for_bad_request(None, detail.to_owned())
}
