//! The HTTP listener for the target beside this process and for operators.

mod api;
mod document;
mod operators;
mod targets;

use std::{fmt, sync::Arc};

use dropshot::{ApiDescription, ConfigDropshot, HandlerTaskMode, HttpServer, ServerBuilder};

use crate::context::Context;

/// A rules file of a few thousand lines fits.
const BODY: usize = 1 << 20;

/// Why the listener could not start.
#[derive(Debug)]
pub(crate) struct Error(String);

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "admin listener: {}", self.0)
    }
}

/// Starts the listener.
pub(crate) fn start(context: &Arc<Context>) -> Result<HttpServer<Arc<Context>>, Error> {
    let mut description = ApiDescription::new();
    api::register(&mut description).map_err(|error| Error(error.to_string()))?;
    let config = ConfigDropshot {
        bind_address: context.addresses.admin,
        default_request_body_max_bytes: BODY,
        default_handler_task_mode: HandlerTaskMode::Detached,
        ..ConfigDropshot::default()
    };
    // The listener's own request log would repeat what tracing records.
    let log = slog::Logger::root(slog::Discard, slog::o!());
    ServerBuilder::new(description, Arc::clone(context), log)
        .config(config)
        .start()
        .map_err(|error| Error(error.to_string()))
}
