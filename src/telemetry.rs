//! Metrics, spans, and the format and output of log lines.

pub mod limit_metrics;
pub mod metrics;
pub mod sink;
pub mod span;

use std::fmt::Write;

use crate::control::command::LogField;

/// Logs one event as a line of `key=value` pairs, starting with `event=NAME`.
pub fn log_line(level: log::Level, event: &str, fields: &[LogField]) {
    log::log!(level, "{}", format_line(event, fields));
}

fn format_line(event: &str, fields: &[LogField]) -> String {
    let mut line = format!("event={event}");
    for field in fields {
        // Writing to a `String` never fails.
        let _ = write!(line, " {}={}", field.name, quoted(&field.value));
    }
    line
}

/// Returns the value as it is, or as a quoted and escaped string when it is empty or contains
/// whitespace, control characters, `"`, `=` or non-ASCII characters.
fn quoted(value: &str) -> String {
    let plain = |c: char| c.is_ascii_graphic() && c != '"' && c != '=';
    if !value.is_empty() && value.chars().all(plain) {
        return value.to_owned();
    }
    format!("{value:?}")
}

#[cfg(test)]
mod tests;
