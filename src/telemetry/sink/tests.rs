use std::io::{self, Write};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant};

use super::{EVENT_LINES, LeftOut, Limiter, LineSink, QUEUE_LINES, WINDOW, event};

/// Output that stands still until it is told to go on.
struct Stalled {
    go_on: Receiver<()>,
    written: Sender<Vec<u8>>,
}

impl Write for Stalled {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.go_on.recv().map_err(io::Error::other)?;
        self.written.send(buf.to_vec()).map_err(io::Error::other)?;
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes a line in one piece, as the logger does.
fn write_line(sink: &mut LineSink, line: &str) {
    sink.write_all(line.as_bytes()).unwrap();
}

#[test]
fn an_output_that_stands_still_costs_lines_and_no_time() {
    let (go_on, stalled) = channel();
    let (written, output) = channel();
    let mut sink = LineSink::start(Stalled {
        go_on: stalled,
        written,
    })
    .unwrap();
    for count in 0..10 * QUEUE_LINES {
        write_line(&mut sink, &format!("event=e{count} x=1\n"));
    }
    assert!(sink.dropped > 0);
    for _ in 0..4 {
        go_on.send(()).unwrap();
        output.recv_timeout(Duration::from_secs(10)).unwrap();
        write_line(&mut sink, "event=after x=1\n");
        if sink.dropped == 0 {
            return;
        }
    }
    panic!("the lines left out were never told");
}

#[test]
fn a_frequent_event_is_cut_and_the_cut_is_told() {
    let mut limiter = Limiter::default();
    let start = Instant::now();
    let line = "[INFO] event=request_refused id=1";
    for _ in 0..EVENT_LINES {
        assert_eq!(limiter.admit(line, start), (true, None));
    }
    assert_eq!(limiter.admit(line, start), (false, None));
    assert_eq!(limiter.admit("event=started vm=a", start), (true, None));
    let told = LeftOut {
        event: "request_refused".to_owned(),
        count: 1,
    };
    assert_eq!(limiter.admit(line, start + WINDOW), (true, Some(told)));
}

#[test]
fn the_event_of_a_line_is_found() {
    assert_eq!(event("[x] event=started vm=a"), "started");
    assert_eq!(event("event=stopped\n"), "stopped");
    assert_eq!(event("no name"), "");
}
