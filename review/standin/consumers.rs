//! Consumers: sessions that read and write one after the other, and reconnect after a close.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::record::Record;

/// Host of the route and key of the tenant.
pub const HOST: &str = "orders";
pub const KEY: &str = "u6wsjnbanfqasnmgkcuy";

/// Time after which a consumer gives up an operation.
const PATIENCE: Duration = Duration::from_secs(2);

/// Pause of a session between two operations.
const PAUSE: Duration = Duration::from_millis(60);

/// Pause of a session inside a transaction.
const TRANSACTION_PAUSE: Duration = Duration::from_millis(250);

pub struct Consumers {
    record: Arc<Record>,
    served: AtomicU64,
    next: AtomicU64,
    /// Identifiers of the single statements and commits that have succeeded.
    succeeded: Mutex<Vec<String>>,
    /// Identifiers and texts of the statements sent.
    sent: Mutex<Vec<(String, String)>>,
}

impl Consumers {
    pub fn new(record: Arc<Record>) -> Arc<Self> {
        Arc::new(Self {
            record,
            served: AtomicU64::new(0),
            next: AtomicU64::new(0),
            succeeded: Mutex::default(),
            sent: Mutex::default(),
        })
    }

    /// Opens sessions at a VM that go on until the process ends.
    pub fn start(self: &Arc<Self>, vm: &str, address: SocketAddr, sessions: usize) {
        for _ in 0..sessions {
            let (consumers, vm) = (Arc::clone(self), vm.to_owned());
            thread::spawn(move || {
                loop {
                    let _ = consumers.session(&vm, address);
                    thread::sleep(Duration::from_millis(100));
                }
            });
        }
    }

    /// Returns the identifiers and texts of the statements sent.
    pub fn sent(&self) -> Vec<(String, String)> {
        self.sent.lock().unwrap().clone()
    }

    fn note_sent(&self, id: &str, text: &str) {
        let request = (id.to_owned(), text.to_owned());
        self.sent.lock().unwrap().push(request);
    }

    /// Sends one statement in a session of its own; returns the lines that arrive within a second.
    pub fn send_alone(&self, vm: SocketAddr, id: &str, text: &str) -> Result<Vec<String>, String> {
        let failed = |error: std::io::Error| error.to_string();
        let mut stream = TcpStream::connect_timeout(&vm, PATIENCE).map_err(failed)?;
        stream
            .set_read_timeout(Some(Duration::from_secs(1)))
            .map_err(failed)?;
        let mut reader = BufReader::new(stream.try_clone().map_err(failed)?);
        stream
            .write_all(format!("START {HOST} {KEY}\r\n").as_bytes())
            .map_err(failed)?;
        let mut line = String::new();
        reader.read_line(&mut line).map_err(failed)?;
        self.record.note(format!("consumer: {id} {text:?}"));
        self.note_sent(id, text);
        stream
            .write_all(format!("QUERY {id} {text}\r\n").as_bytes())
            .map_err(failed)?;
        let mut lines = Vec::new();
        loop {
            let mut line = String::new();
            match reader.read_line(&mut line) {
                Ok(length) if length > 0 => lines.push(line.trim_end().to_owned()),
                _ => return Ok(lines),
            }
        }
    }

    /// Waits until more operations have succeeded.
    pub fn await_served(&self, more: u64, within: Duration) -> Result<(), String> {
        let wanted = self.served.load(Ordering::SeqCst) + more;
        let end = Instant::now() + within;
        while Instant::now() < end {
            if self.served.load(Ordering::SeqCst) >= wanted {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(20));
        }
        Err("the consumers aren't served".to_owned())
    }

    fn session(&self, vm: &str, address: SocketAddr) -> Option<()> {
        let mut stream = TcpStream::connect_timeout(&address, PATIENCE).ok()?;
        stream.set_nodelay(true).ok()?;
        stream.set_read_timeout(Some(PATIENCE)).ok()?;
        let mut reader = BufReader::new(stream.try_clone().ok()?);
        stream
            .write_all(format!("START {HOST} {KEY}\r\n").as_bytes())
            .ok()?;
        let mut line = String::new();
        reader.read_line(&mut line).ok()?;
        if !line.starts_with("READY") {
            return None;
        }
        loop {
            let number = self.next.fetch_add(1, Ordering::SeqCst);
            if number % 3 == 0 {
                self.transaction(vm, &mut stream, &mut reader)?;
                continue;
            }
            let id = format!("{number:08x}");
            let text = if number % 2 == 0 {
                format!("WRITE 1a4 data{number}")
            } else {
                "READ 1a4".to_owned()
            };
            self.record.note(format!("consumer at {vm}: {id} {text}"));
            self.note_sent(&id, &text);
            stream
                .write_all(format!("QUERY {id} {text}\r\n").as_bytes())
                .ok()?;
            let answer = self.answer(&mut reader);
            let shown = answer.as_deref().unwrap_or("no answer");
            self.record
                .note(format!("consumer at {vm}: {id} <- {shown}"));
            if answer?.starts_with("DONE") {
                self.served.fetch_add(1, Ordering::SeqCst);
                self.succeeded.lock().unwrap().push(id);
            }
            thread::sleep(PAUSE);
        }
    }

    /// Runs a transaction of one write, with a pause before it commits. Returns nothing if the
    /// session must be opened anew.
    fn transaction(
        &self,
        vm: &str,
        stream: &mut TcpStream,
        reader: &mut BufReader<TcpStream>,
    ) -> Option<()> {
        for text in ["BEGIN", "WRITE 1a4 data", "COMMIT"] {
            if text == "COMMIT" {
                thread::sleep(TRANSACTION_PAUSE);
            }
            let id = format!("{:08x}", self.next.fetch_add(1, Ordering::SeqCst));
            self.record.note(format!("consumer at {vm}: {id} {text}"));
            self.note_sent(&id, text);
            stream
                .write_all(format!("QUERY {id} {text}\r\n").as_bytes())
                .ok()?;
            let answer = self.answer(reader);
            let shown = answer.as_deref().unwrap_or("no answer");
            self.record
                .note(format!("consumer at {vm}: {id} <- {shown}"));
            if !answer?.starts_with("DONE") {
                return None;
            }
            if text == "COMMIT" {
                self.served.fetch_add(1, Ordering::SeqCst);
                self.succeeded.lock().unwrap().push(id);
            }
        }
        Some(())
    }

    /// Returns the identifiers of the single statements and commits that have succeeded.
    pub fn succeeded(&self) -> Vec<String> {
        self.succeeded.lock().unwrap().clone()
    }

    /// Returns the line of the answer that says how the statement ended.
    fn answer(&self, reader: &mut BufReader<TcpStream>) -> Option<String> {
        let mut outcome = None;
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line).ok()? == 0 {
                return None;
            }
            let line = line.trim_end();
            if line.starts_with("READY") {
                return outcome;
            }
            if !line.starts_with("ROW") {
                outcome = Some(line.to_owned());
            }
        }
    }
}
