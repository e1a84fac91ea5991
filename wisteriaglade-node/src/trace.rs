//! Propagation of the W3C trace context in request headers.

use http::{HeaderMap, HeaderName, HeaderValue};
use opentelemetry::{
    propagation::{Extractor, Injector, TextMapPropagator},
    trace::TraceContextExt,
};
use opentelemetry_sdk::propagation::TraceContextPropagator;
use tracing::Span;
use tracing_opentelemetry::OpenTelemetrySpanExt;

/// Sets the span that the headers name as the parent of `span`.
pub(crate) fn set_parent(span: &Span, headers: &HeaderMap) {
    let parent = TraceContextPropagator::new().extract(&HeaderExtractor(headers));
    if parent.span().span_context().is_valid() {
        // Fails only when no traces are exported, where the parent isn't needed.
        let _ = span.set_parent(parent);
    }
}

/// Writes the context of `span` to the headers, for the next hop. Without a
/// trace exporter the headers stay unchanged, and with them the caller's
/// context.
pub(crate) fn inject(span: &Span, headers: &mut HeaderMap) {
    let context = span.context();
    if context.span().span_context().is_valid() {
        TraceContextPropagator::new().inject_context(&context, &mut HeaderInjector(headers));
    }
}

/// Reads the trace context from headers.
struct HeaderExtractor<'a>(&'a HeaderMap);

impl Extractor for HeaderExtractor<'_> {
    fn get(&self, key: &str) -> Option<&str> {
        self.0.get(key)?.to_str().ok()
    }

    fn keys(&self) -> Vec<&str> {
        self.0.keys().map(HeaderName::as_str).collect()
    }
}

/// Writes the trace context to headers.
struct HeaderInjector<'a>(&'a mut HeaderMap);

impl Injector for HeaderInjector<'_> {
    fn set(&mut self, key: &str, value: String) {
        if let (Ok(name), Ok(value)) = (
            HeaderName::from_bytes(key.as_bytes()),
            HeaderValue::from_str(&value),
        ) {
            self.0.insert(name, value);
        }
    }
}
