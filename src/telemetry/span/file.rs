//! Exporter that appends spans to a file as JSON lines, for development.

use std::fs::{File, OpenOptions};
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::{SystemTime, UNIX_EPOCH};

use opentelemetry_sdk::error::{OTelSdkError, OTelSdkResult};
use opentelemetry_sdk::trace::{SpanData, SpanExporter};
use serde_json::{Map, Value, json};

/// Span exporter that writes one JSON object per line.
#[derive(Debug)]
pub(super) struct FileExporter {
    file: Mutex<File>,
}

impl FileExporter {
    /// Opens the file for appending, and creates it if it doesn't exist.
    pub(super) fn open(path: &Path) -> std::io::Result<Self> {
        let file = OpenOptions::new().create(true).append(true).open(path)?;
        Ok(Self {
            file: Mutex::new(file),
        })
    }
}

impl SpanExporter for FileExporter {
    async fn export(&self, batch: Vec<SpanData>) -> OTelSdkResult {
        let mut lines = String::new();
        for span in &batch {
            lines.push_str(&to_json(span).to_string());
            lines.push('\n');
        }
        let mut file = self
            .file
            .lock()
            .expect("no code panics while it holds the file");
        let written = file.write_all(lines.as_bytes());
        written.map_err(|error| OTelSdkError::InternalFailure(error.to_string()))
    }
}

fn to_json(span: &SpanData) -> Value {
    let attributes: Map<_, _> = span
        .attributes
        .iter()
        .map(|attribute| {
            (
                attribute.key.to_string(),
                json!(attribute.value.to_string()),
            )
        })
        .collect();
    json!({
        "trace_id": span.span_context.trace_id().to_string(),
        "span_id": span.span_context.span_id().to_string(),
        "parent_span_id": span.parent_span_id.to_string(),
        "name": span.name,
        "start_us": micros(span.start_time),
        "end_us": micros(span.end_time),
        "status": format!("{:?}", span.status),
        "attributes": attributes,
    })
}

fn micros(time: SystemTime) -> u64 {
    let since_epoch = time.duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since_epoch.as_micros()).unwrap_or(u64::MAX)
}
