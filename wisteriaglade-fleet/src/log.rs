//! Logs on standard output.

use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};

/// Lines that wait for the output. More are dropped, so that a slow reader of
/// the output delays no request.
const BUFFER: usize = 4096;

/// Starts to write one line of key=value pairs for each event.
///
/// The guard writes what waits when it is dropped.
///
/// # Errors
///
/// When the filter does not parse or logs are set up already.
pub fn start(filter: &str) -> Result<WorkerGuard, wisteriaglade_node::telemetry::Error> {
    let (writer, guard) = NonBlockingBuilder::default()
        .buffered_lines_limit(BUFFER)
        .lossy(true)
        .finish(std::io::stdout());
    wisteriaglade_node::telemetry::lines(filter, writer)?;
    Ok(guard)
}
