use std::io::{self, Write};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant};

use super::{
    Limiter, LineSink, MAX_LINES_PER_EVENT, MAX_QUEUED_LINES, Suppressed, WINDOW, event_name,
};

/// Output whose writes block until the test sends one message for each of them.
struct StalledOutput {
    resume: Receiver<()>,
    written: Sender<Vec<u8>>,
}

impl Write for StalledOutput {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.resume.recv().map_err(io::Error::other)?;
        self.written.send(buf.to_vec()).map_err(io::Error::other)?;
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes a whole line in one call, as the logger does.
fn write_line(sink: &mut LineSink, line: &str) {
    sink.write_all(line.as_bytes()).unwrap();
}

#[test]
fn a_stalled_output_drops_lines_without_blocking_and_their_count_is_logged() {
    let (resume, resumed) = channel();
    let (written, output) = channel();
    let mut sink = LineSink::start(StalledOutput {
        resume: resumed,
        written,
    })
    .unwrap();
    for count in 0..10 * MAX_QUEUED_LINES {
        write_line(&mut sink, &format!("event=e{count} x=1\n"));
    }
    assert!(sink.dropped > 0);
    for _ in 0..4 {
        resume.send(()).unwrap();
        output.recv_timeout(Duration::from_secs(10)).unwrap();
        write_line(&mut sink, "event=after x=1\n");
        if sink.dropped == 0 {
            return;
        }
    }
    panic!("the number of dropped lines was never logged");
}

#[test]
fn lines_over_the_limit_of_an_event_are_suppressed_and_counted() {
    let mut limiter = Limiter::default();
    let start = Instant::now();
    let line = "[INFO] event=request_refused id=1";
    for _ in 0..MAX_LINES_PER_EVENT {
        assert_eq!(limiter.admit(line, start), (true, None));
    }
    assert_eq!(limiter.admit(line, start), (false, None));
    assert_eq!(limiter.admit("event=started vm=a", start), (true, None));
    let suppressed = Suppressed {
        event: "request_refused".to_owned(),
        count: 1,
    };
    assert_eq!(
        limiter.admit(line, start + WINDOW),
        (true, Some(suppressed))
    );
}

#[test]
fn event_name_returns_the_event_of_a_line() {
    assert_eq!(event_name("[x] event=started vm=a"), "started");
    assert_eq!(event_name("event=stopped\n"), "stopped");
    assert_eq!(event_name("no name"), "");
}
