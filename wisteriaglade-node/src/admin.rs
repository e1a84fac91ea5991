//! The HTTP listener for operators and for the target beside this process.
//!
//! [`start`] is called once, when the daemon starts. The endpoints are in
//! `operators` and `targets`, and their JSON documents in `document`.

mod api;
mod document;
mod operators;
mod targets;

use std::{fmt, sync::Arc};

use dropshot::{ApiDescription, ConfigDropshot, HandlerTaskMode, HttpServer, ServerBuilder};

use crate::context::Context;

/// The largest request body in bytes, which fits a rules file of a few
/// thousand lines.
const MAX_BODY_BYTES: usize = 1 << 20;

/// The cause for which the listener could not start.
#[derive(Debug)]
pub(crate) struct Error(String);

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "admin listener: {}", self.0)
    }
}

/// Starts the listener on the admin address of the context.
pub(crate) fn start(context: &Arc<Context>) -> Result<HttpServer<Arc<Context>>, Error> {
    let mut description = ApiDescription::new();
    api::register(&mut description).map_err(|error| Error(error.to_string()))?;
    let config = ConfigDropshot {
        bind_address: context.addresses.admin,
        default_request_body_max_bytes: MAX_BODY_BYTES,
        default_handler_task_mode: HandlerTaskMode::Detached,
        ..ConfigDropshot::default()
    };
    // The request log of the HTTP server would repeat what tracing records.
    let log = slog::Logger::root(slog::Discard, slog::o!());
    ServerBuilder::new(description, Arc::clone(context), log)
        .config(config)
        .start()
        .map_err(|error| Error(error.to_string()))
}
