//! Logging and tracing.
//!
//! Log events are written as lines of key=value pairs. Spans are exported by
//! OTLP over HTTP when the settings name a collector.

use std::fmt;

use opentelemetry::{KeyValue, trace::TracerProvider as _};
use opentelemetry_otlp::{SpanExporter, WithExportConfig};
use opentelemetry_sdk::{Resource, trace::SdkTracerProvider};
use tracing::{Event, Subscriber, field::Field};
use tracing_subscriber::{
    EnvFilter, Layer,
    field::Visit,
    fmt::{
        FmtContext, FormatEvent, FormatFields, FormattedFields,
        format::Writer,
        time::{FormatTime, SystemTime},
    },
    layer::SubscriberExt,
    registry::LookupSpan,
    util::SubscriberInitExt,
};

use crate::settings::Settings;

/// An error that prevents the setup of logging or tracing.
#[derive(Debug)]
pub enum Error {
    /// The log filter cannot be parsed. Holds the cause.
    Filter(String),
    /// The trace exporter cannot be built. Holds the cause.
    Exporter(String),
    /// The process already has a global subscriber.
    Installed,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Filter(detail) => write!(f, "field `log`: {detail}"),
            Self::Exporter(detail) => write!(f, "field `traces`: {detail}"),
            Self::Installed => f.write_str("logging is set up already"),
        }
    }
}

impl std::error::Error for Error {}

/// Exports the remaining spans when it is dropped, so keep it until the
/// process ends.
#[derive(Debug)]
pub struct Guard {
    provider: Option<SdkTracerProvider>,
}

impl Drop for Guard {
    fn drop(&mut self) {
        if let Some(provider) = &self.provider {
            // Logging has ended, so a failure of the last export is not
            // reported.
            let _ = provider.shutdown();
        }
    }
}

/// Sets up logs on standard error and, when the settings name a collector,
/// traces.
///
/// # Errors
///
/// Returns an error when the filter cannot be parsed, the exporter cannot be
/// built or logging is already set up.
pub fn start(settings: &Settings) -> Result<Guard, Error> {
    let filter =
        EnvFilter::try_new(&settings.log).map_err(|error| Error::Filter(error.to_string()))?;
    let logs = tracing_subscriber::fmt::layer()
        .event_format(LineFormat)
        .with_writer(std::io::stderr)
        .with_filter(filter);
    let provider = settings
        .traces
        .as_deref()
        .map(|endpoint| provider(settings, endpoint))
        .transpose()?;
    let traces = provider.as_ref().map(|provider| {
        tracing_opentelemetry::layer().with_tracer(provider.tracer("wisteriaglade"))
    });
    tracing_subscriber::registry()
        .with(logs)
        .with(traces)
        .try_init()
        .map_err(|_| Error::Installed)?;
    Ok(Guard { provider })
}

/// Sets up logs as lines of key=value pairs on a writer.
///
/// # Errors
///
/// Returns an error when the filter cannot be parsed or logging is already set
/// up.
pub fn start_with_writer<W>(filter: &str, writer: W) -> Result<(), Error>
where
    W: for<'a> tracing_subscriber::fmt::MakeWriter<'a> + Send + Sync + 'static,
{
    let filter = EnvFilter::try_new(filter).map_err(|error| Error::Filter(error.to_string()))?;
    let logs = tracing_subscriber::fmt::layer()
        .event_format(LineFormat)
        .with_writer(writer)
        .with_filter(filter);
    tracing_subscriber::registry()
        .with(logs)
        .try_init()
        .map_err(|_| Error::Installed)
}

/// Builds the provider of spans, which names the service and the host.
fn provider(settings: &Settings, endpoint: &str) -> Result<SdkTracerProvider, Error> {
    let exporter = SpanExporter::builder()
        .with_http()
        .with_endpoint(endpoint)
        .build()
        .map_err(|error| Error::Exporter(error.to_string()))?;
    let resource = Resource::builder()
        .with_service_name("wisteriaglade")
        .with_attribute(KeyValue::new("host.name", settings.host.to_string()))
        .build();
    Ok(SdkTracerProvider::builder()
        .with_resource(resource)
        .with_batch_exporter(exporter)
        .build())
}

/// Formats each event as one line of key=value pairs, followed by the fields
/// of its spans.
struct LineFormat;

impl<S, N> FormatEvent<S, N> for LineFormat
where
    S: Subscriber + for<'a> LookupSpan<'a>,
    N: for<'a> FormatFields<'a> + 'static,
{
    fn format_event(
        &self,
        context: &FmtContext<'_, S, N>,
        mut writer: Writer<'_>,
        event: &Event<'_>,
    ) -> fmt::Result {
        writer.write_str("ts=")?;
        SystemTime.format_time(&mut writer)?;
        let level = event.metadata().level().as_str().to_ascii_lowercase();
        write!(writer, " level={level}")?;
        event.record(&mut FieldVisitor {
            writer: writer.by_ref(),
        });
        if let Some(scope) = context.event_scope() {
            for span in scope.from_root() {
                let extensions = span.extensions();
                if let Some(fields) = extensions.get::<FormattedFields<N>>()
                    && !fields.is_empty()
                {
                    write!(writer, " {fields}")?;
                }
            }
        }
        writeln!(writer)
    }
}

/// Writes the fields of an event as key=value pairs.
struct FieldVisitor<'a> {
    writer: Writer<'a>,
}

impl Visit for FieldVisitor<'_> {
    fn record_debug(&mut self, field: &Field, value: &dyn fmt::Debug) {
        // A failure to write to the log cannot be logged.
        let _ = write!(self.writer, " {}={value:?}", field.name());
    }
}
