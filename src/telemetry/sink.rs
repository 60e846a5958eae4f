//! Output of log lines that never blocks whoever logs.

use std::collections::HashMap;
use std::io::{self, Write};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::thread;
use std::time::{Duration, Instant};

/// Lines that may wait for the output; more are left out.
const QUEUE_LINES: usize = 1_024;

/// Lines of one event written in one [`WINDOW`]; more are left out.
const EVENT_LINES: u32 = 50;

/// Span over which lines of an event are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// Lines left out of one event.
#[derive(Debug, PartialEq, Eq)]
struct LeftOut {
    event: String,
    count: u32,
}

/// Lines of one event in the current window.
#[derive(Debug)]
struct Count {
    since: Instant,
    written: u32,
    left_out: u32,
}

/// Limits how many lines of each event are written.
#[derive(Debug, Default)]
struct Limiter {
    counts: HashMap<String, Count>,
}

impl Limiter {
    /// Returns whether a line is written, and what was left out of its event before.
    fn admit(&mut self, line: &str, now: Instant) -> (bool, Option<LeftOut>) {
        let event = event(line);
        let Some(count) = self.counts.get_mut(event) else {
            let count = Count {
                since: now,
                written: 1,
                left_out: 0,
            };
            self.counts.insert(event.to_owned(), count);
            return (true, None);
        };
        let mut left_out = None;
        if now.duration_since(count.since) >= WINDOW {
            left_out = (count.left_out > 0).then(|| LeftOut {
                event: event.to_owned(),
                count: count.left_out,
            });
            *count = Count {
                since: now,
                written: 0,
                left_out: 0,
            };
        }
        if count.written < EVENT_LINES {
            count.written += 1;
            return (true, left_out);
        }
        count.left_out += 1;
        (false, left_out)
    }
}

/// Returns the name of a line's event; empty when it has none.
fn event(line: &str) -> &str {
    let start = line
        .find("event=")
        .map_or(line.len(), |at| at + "event=".len());
    let rest = &line[start..];
    rest.split([' ', '\n']).next().unwrap_or_default()
}

/// Writer that passes lines on to a thread of its own.
///
/// A reader of the output that stands still costs lines, never time: what doesn't fit into the
/// queue is counted and told later.
#[derive(Debug)]
pub struct LineSink {
    lines: SyncSender<Vec<u8>>,
    limiter: Limiter,
    dropped: u64,
}

impl LineSink {
    /// Starts the thread that writes to `output`.
    ///
    /// # Errors
    ///
    /// Fails when the thread can't be started.
    pub fn start(output: impl Write + Send + 'static) -> io::Result<Self> {
        let (lines, waiting) = sync_channel(QUEUE_LINES);
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || copy(&waiting, output))?;
        Ok(Self {
            lines,
            limiter: Limiter::default(),
            dropped: 0,
        })
    }

    fn accept(&mut self, line: &[u8], now: Instant) {
        let text = String::from_utf8_lossy(line);
        let (admitted, left_out) = self.limiter.admit(&text, now);
        if let Some(left_out) = left_out {
            let LeftOut { event, count } = left_out;
            self.pass_on(format!("event=lines_left_out kind={event} count={count}\n").into());
        }
        if admitted {
            self.pass_on(line.to_vec());
        }
    }

    fn pass_on(&mut self, line: Vec<u8>) {
        if self.dropped > 0 {
            let dropped = self.dropped;
            let told = format!("event=lines_left_out kind=any count={dropped}\n");
            if self.lines.try_send(told.into()).is_ok() {
                self.dropped = 0;
            }
        }
        match self.lines.try_send(line) {
            Ok(()) => {}
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => self.dropped += 1,
        }
    }
}

impl Write for LineSink {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.accept(buf, Instant::now());
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes what is waiting, as much as there is at once. Ends with the sink, or with the output:
/// there is nowhere to report that the log itself can't be written.
fn copy(waiting: &Receiver<Vec<u8>>, mut output: impl Write) {
    while let Ok(mut lines) = waiting.recv() {
        for more in waiting.try_iter().take(QUEUE_LINES) {
            lines.extend_from_slice(&more);
        }
        if output
            .write_all(&lines)
            .and_then(|()| output.flush())
            .is_err()
        {
            return;
        }
    }
}

#[cfg(test)]
mod tests;
