//! Sets up logging to standard output.

use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};

/// The number of lines that are buffered. Further lines are dropped, so that a
/// slow reader of standard output never blocks a request.
const MAX_BUFFERED_LINES: usize = 4096;

/// Starts to log to standard output, one line of `key=value` pairs per event.
///
/// A thread writes the lines. Dropping the returned guard flushes the buffer.
///
/// # Errors
///
/// When the filter does not parse, or when logging is already set up.
pub fn start(filter: &str) -> Result<WorkerGuard, wisteriaglade_node::telemetry::Error> {
    let (writer, guard) = NonBlockingBuilder::default()
        .buffered_lines_limit(MAX_BUFFERED_LINES)
        .lossy(true)
        .finish(std::io::stdout());
    wisteriaglade_node::telemetry::start_with_writer(filter, writer)?;
    Ok(guard)
}
