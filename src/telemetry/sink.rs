//! Log output that never blocks the thread that logs.

use std::collections::HashMap;
use std::io::{self, Write};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::thread;
use std::time::{Duration, Instant};

/// Capacity of the queue to the output thread; further lines are dropped while it is full.
const MAX_QUEUED_LINES: usize = 1_024;

/// Lines of one event written in one [`WINDOW`]; further ones are suppressed.
const MAX_LINES_PER_EVENT: u32 = 50;

/// Period over which the lines of an event are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// Number of lines of one event that were suppressed in a window.
#[derive(Debug, PartialEq, Eq)]
struct Suppressed {
    event: String,
    count: u32,
}

/// Counts of one event in its current window.
#[derive(Debug)]
struct EventCount {
    started_at: Instant,
    written: u32,
    suppressed: u32,
}

/// Limits how many lines of each event are written in a window.
#[derive(Debug, Default)]
struct Limiter {
    counts: HashMap<String, EventCount>,
}

impl Limiter {
    /// Returns whether to write the line, and, for the first line of a new window, how many lines
    /// of the same event were suppressed in the previous one.
    fn admit(&mut self, line: &str, now: Instant) -> (bool, Option<Suppressed>) {
        let event = event_name(line);
        let Some(count) = self.counts.get_mut(event) else {
            let count = EventCount {
                started_at: now,
                written: 1,
                suppressed: 0,
            };
            self.counts.insert(event.to_owned(), count);
            return (true, None);
        };
        let mut suppressed = None;
        if now.duration_since(count.started_at) >= WINDOW {
            suppressed = (count.suppressed > 0).then(|| Suppressed {
                event: event.to_owned(),
                count: count.suppressed,
            });
            *count = EventCount {
                started_at: now,
                written: 0,
                suppressed: 0,
            };
        }
        if count.written < MAX_LINES_PER_EVENT {
            count.written += 1;
            return (true, suppressed);
        }
        count.suppressed += 1;
        (false, suppressed)
    }
}

/// Returns the event name of a line, or an empty string when it has none.
fn event_name(line: &str) -> &str {
    let start = line
        .find("event=")
        .map_or(line.len(), |at| at + "event=".len());
    let rest = &line[start..];
    rest.split([' ', '\n']).next().unwrap_or_default()
}

/// Writer that queues lines for a thread of its own.
///
/// When the reader of the output stalls, lines are lost but the threads that log don't wait: lines
/// that don't fit into the queue are counted, and the count is logged once there is room again.
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
        let (lines, queue) = sync_channel(MAX_QUEUED_LINES);
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_queued(&queue, output))?;
        Ok(Self {
            lines,
            limiter: Limiter::default(),
            dropped: 0,
        })
    }

    fn accept(&mut self, line: &[u8], now: Instant) {
        let text = String::from_utf8_lossy(line);
        let (admitted, suppressed) = self.limiter.admit(&text, now);
        if let Some(suppressed) = suppressed {
            let Suppressed { event, count } = suppressed;
            self.enqueue(format!("event=lines_left_out kind={event} count={count}\n").into());
        }
        if admitted {
            self.enqueue(line.to_vec());
        }
    }

    fn enqueue(&mut self, line: Vec<u8>) {
        if self.dropped > 0 {
            let dropped = self.dropped;
            let notice = format!("event=lines_left_out kind=any count={dropped}\n");
            if self.lines.try_send(notice.into()).is_ok() {
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

/// Writes queued lines in batches until the sink is dropped or the output fails. An error of the
/// output isn't reported, as the log itself is the place where it would be reported.
fn write_queued(queue: &Receiver<Vec<u8>>, mut output: impl Write) {
    while let Ok(mut lines) = queue.recv() {
        for more in queue.try_iter().take(MAX_QUEUED_LINES) {
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
