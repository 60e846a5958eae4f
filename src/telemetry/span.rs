//! OpenTelemetry spans: one for each hop of a statement, linked by the W3C trace context.

mod file;

use std::sync::OnceLock;

use opentelemetry::trace::{
    Span as _, SpanContext, SpanId, SpanKind, Status, TraceContextExt, TraceFlags, TraceId,
    TraceState, Tracer, TracerProvider,
};
use opentelemetry::{Context, KeyValue};
use opentelemetry_otlp::{Protocol, SpanExporter, WithExportConfig};
use opentelemetry_sdk::Resource;
use opentelemetry_sdk::trace::{Sampler, SdkTracer, SdkTracerProvider, Span as SdkSpan};
use snafu::{ResultExt, Snafu};
use strum::IntoStaticStr;

use self::file::FileExporter;
use crate::settings::TelemetrySettings;

/// Result of [`start`].
pub type Result<T, E = SpanError> = std::result::Result<T, E>;

/// Error when the export of spans is set up.
#[derive(Debug, Snafu)]
pub enum SpanError {
    /// The span file can't be opened.
    #[snafu(display("can't open telemetry.span_file; check its path: {source}"))]
    File {
        /// The cause.
        source: std::io::Error,
    },
    /// The OTLP exporter can't be built.
    #[snafu(display("can't export to telemetry.otlp_endpoint; check its address: {message}"))]
    Otlp {
        /// The cause.
        message: String,
    },
}

/// Hop of a statement: a section of its path through the fleet that gets a span of its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Hop {
    /// From the caller's message to the complete response, at the VM that the caller connected to.
    Caller,
    /// From sending a transaction to the home of its database until it has ended there.
    Forward,
    /// From the arrival of a transaction at the home of its database to the complete response.
    Home,
    /// Waiting for admission and a slot.
    Queue,
    /// Execution on an instance.
    Instance,
    /// Waiting, before a save is acknowledged, for a second instance to have it.
    Gate,
}

struct Tracing {
    tracer: SdkTracer,
    provider: SdkTracerProvider,
}

static TRACING: OnceLock<Tracing> = OnceLock::new();

/// Starts the export of spans if the settings name a span file or an OTLP endpoint.
///
/// Only the first call in a process has an effect.
///
/// # Errors
///
/// Fails when the span file can't be opened or the OTLP exporter can't be built.
pub fn start(settings: &TelemetrySettings, vm: &str) -> Result<()> {
    if settings.otlp_endpoint.is_none() && settings.span_file.is_none() {
        return Ok(());
    }
    let resource = Resource::builder()
        .with_service_name("currantlb")
        .with_attribute(KeyValue::new("service.instance.id", vm.to_owned()))
        .build();
    let ratio = Sampler::TraceIdRatioBased(settings.span_sample_ratio);
    let mut builder = SdkTracerProvider::builder()
        .with_resource(resource)
        .with_sampler(Sampler::ParentBased(Box::new(ratio)));
    if let Some(path) = &settings.span_file {
        let exporter = FileExporter::open(path).context(FileSnafu)?;
        builder = builder.with_batch_exporter(exporter);
    }
    if let Some(endpoint) = &settings.otlp_endpoint {
        let exporter = SpanExporter::builder()
            .with_http()
            .with_endpoint(endpoint)
            .with_protocol(Protocol::HttpJson)
            .build();
        let otlp_error = |error: opentelemetry_otlp::ExporterBuildError| SpanError::Otlp {
            message: error.to_string(),
        };
        builder = builder.with_batch_exporter(exporter.map_err(otlp_error)?);
    }
    let provider = builder.build();
    let tracer = provider.tracer("currantlb");
    // A further daemon in the same process, as in a test, uses the exporter of the first one.
    let _ = TRACING.set(Tracing { tracer, provider });
    Ok(())
}

/// Exports all spans that have ended and are still buffered.
pub fn flush() {
    if let Some(tracing) = TRACING.get()
        && let Err(error) = tracing.provider.force_flush()
    {
        log::warn!("event=spans_lost error=\"{error}\"");
    }
}

/// Span of one hop, which ends when it is dropped.
#[derive(Debug, Default)]
pub struct Span {
    span: Option<SdkSpan>,
    /// Trace context of the previous hop, passed on unchanged when export is off.
    parent: Option<String>,
}

impl Span {
    /// Starts a span as a child of the W3C trace context `parent`, or as the root of a new trace
    /// when `parent` is missing or malformed.
    pub fn start(hop: Hop, parent: Option<&str>) -> Self {
        let Some(tracing) = TRACING.get() else {
            return Self {
                span: None,
                parent: parent.map(str::to_owned),
            };
        };
        let context = match parent.and_then(parse_traceparent) {
            Some(remote) => Context::new().with_remote_span_context(remote),
            None => Context::new(),
        };
        let name: &'static str = hop.into();
        let kind = match hop {
            Hop::Caller | Hop::Home => SpanKind::Server,
            Hop::Forward | Hop::Instance => SpanKind::Client,
            Hop::Queue | Hop::Gate => SpanKind::Internal,
        };
        let builder = tracing.tracer.span_builder(name).with_kind(kind);
        let span = tracing.tracer.build_with_context(builder, &context);
        Self {
            span: Some(span),
            parent: None,
        }
    }

    /// Returns the W3C trace context to send to the next hop.
    pub fn traceparent(&self) -> Option<String> {
        self.span
            .as_ref()
            .map(|span| format_traceparent(span.span_context()))
            .or_else(|| self.parent.clone())
    }

    /// Sets an attribute; does nothing when export is off.
    pub fn set(&mut self, name: &'static str, value: impl Into<opentelemetry::Value>) {
        if let Some(span) = &mut self.span {
            span.set_attribute(KeyValue::new(name, value));
        }
    }

    /// Sets the status of the span to an error with `reason` as its description.
    pub fn fail(&mut self, reason: &impl ToString) {
        if let Some(span) = &mut self.span {
            span.set_status(Status::error(reason.to_string()));
        }
    }
}

/// Parses a `traceparent` of version 00: version, trace id, span id and flags in hexadecimal,
/// separated by hyphens.
fn parse_traceparent(text: &str) -> Option<SpanContext> {
    let mut parts = text.split('-');
    let (version, trace, span, flags) =
        (parts.next()?, parts.next()?, parts.next()?, parts.next()?);
    let is_well_formed =
        version == "00" && trace.len() == 32 && span.len() == 16 && flags.len() == 2;
    if !is_well_formed || parts.next().is_some() {
        return None;
    }
    let flags = TraceFlags::new(u8::from_str_radix(flags, 16).ok()?);
    let trace = TraceId::from_hex(trace).ok()?;
    let span = SpanId::from_hex(span).ok()?;
    let context = SpanContext::new(trace, span, flags, true, TraceState::default());
    context.is_valid().then_some(context)
}

/// Formats a span context as a `traceparent` of version 00.
fn format_traceparent(context: &SpanContext) -> String {
    let flags = context.trace_flags().to_u8();
    format!(
        "00-{}-{}-{flags:02x}",
        context.trace_id(),
        context.span_id()
    )
}

#[cfg(test)]
mod tests;
