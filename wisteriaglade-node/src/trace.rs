//! Passes the W3C trace context from hop to hop.

use http::{HeaderMap, HeaderName, HeaderValue};
use opentelemetry::{
    propagation::{Extractor, Injector, TextMapPropagator},
    trace::TraceContextExt,
};
use opentelemetry_sdk::propagation::TraceContextPropagator;
use tracing::Span;
use tracing_opentelemetry::OpenTelemetrySpanExt;

/// Makes the sender's span the parent of a span.
pub(crate) fn adopt(span: &Span, headers: &HeaderMap) {
    let parent = TraceContextPropagator::new().extract(&Reading(headers));
    if parent.span().span_context().is_valid() {
        // It fails when no traces are exported, and then nothing is lost.
        let _ = span.set_parent(parent);
    }
}

/// Names a span as the sender for the next hop. Without an exporter the
/// caller's header passes unchanged.
pub(crate) fn inject(span: &Span, headers: &mut HeaderMap) {
    let context = span.context();
    if context.span().span_context().is_valid() {
        TraceContextPropagator::new().inject_context(&context, &mut Writing(headers));
    }
}

struct Reading<'a>(&'a HeaderMap);

impl Extractor for Reading<'_> {
    fn get(&self, key: &str) -> Option<&str> {
        self.0.get(key)?.to_str().ok()
    }

    fn keys(&self) -> Vec<&str> {
        self.0.keys().map(HeaderName::as_str).collect()
    }
}

struct Writing<'a>(&'a mut HeaderMap);

impl Injector for Writing<'_> {
    fn set(&mut self, key: &str, value: String) {
        if let (Ok(name), Ok(value)) = (
            HeaderName::from_bytes(key.as_bytes()),
            HeaderValue::from_str(&value),
        ) {
            self.0.insert(name, value);
        }
    }
}
