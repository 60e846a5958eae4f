//! Fake home on another VM with scripted responses.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::{BufMut, BytesMut};
use pgwire::messages::data::{NoData, ParameterDescription};
use pgwire::messages::response::{CommandComplete, TransactionStatus};

use super::super::reader::{HEADER_BYTES, Message, MessageReader, split_text};
use super::super::registry::CancelKey;
use super::super::response::{
    CallerError, LocalReply, Severity, put, put_error, put_ready, put_reply,
};
use crate::peer::HomeStream;
use crate::position::LogPosition;
use crate::traffic::{CallerFrame, ExchangeHead, HomeFrame, Refusal, RefusalReason};

/// Frame, message or request that reached the home.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum Arrival {
    Head(Box<ExchangeHead>),
    Definition(String),
    /// Type byte of a message, and the string at the start of its body.
    Message(u8, String),
    Cancel,
    Disconnected,
    /// Request from another VM to cancel a statement.
    PeerCancel(CancelKey),
}

/// Fake home: the text of a statement selects the response.
#[derive(Debug, Clone, Default)]
pub(super) struct FakeHome {
    arrivals: Arc<Mutex<Vec<Arrival>>>,
    refusals: Arc<Mutex<Vec<Refusal>>>,
}

struct Exchange {
    home: FakeHome,
    stream: HomeStream,
    out: BytesMut,
    status: TransactionStatus,
    failed: bool,
    /// Texts of prepared statements, by name.
    texts: HashMap<String, String>,
    /// Text of the statement that was bound last.
    bound: String,
    copy: Option<Copy>,
}

struct Copy {
    simple: bool,
    bytes: usize,
}

impl FakeHome {
    /// Queues a refusal; each one refuses one of the next exchanges, in order.
    pub(super) fn refuse(&self, refusal: Refusal) {
        self.refusals.lock().unwrap().insert(0, refusal);
    }

    /// Takes everything that has arrived.
    pub(super) fn take(&self) -> Vec<Arrival> {
        std::mem::take(&mut *self.arrivals.lock().unwrap())
    }

    /// Takes the heads of the exchanges that have arrived.
    pub(super) fn heads(&self) -> Vec<ExchangeHead> {
        let heads = self.take().into_iter().filter_map(|arrival| match arrival {
            Arrival::Head(head) => Some(*head),
            _ => None,
        });
        heads.collect()
    }

    /// Waits until something that matches has arrived.
    pub(super) async fn wait_for(&self, is_expected: impl Fn(&Arrival) -> bool) {
        while !self.arrivals.lock().unwrap().iter().any(&is_expected) {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    }

    pub(super) fn record_arrival(&self, arrival: Arrival) {
        self.arrivals.lock().unwrap().push(arrival);
    }

    /// Runs one exchange.
    pub(super) async fn run(self, head: ExchangeHead, mut stream: HomeStream) {
        self.record_arrival(Arrival::Head(Box::new(head)));
        let refusal = self.refusals.lock().unwrap().pop();
        if let Some(refusal) = refusal {
            let _ = stream.send(HomeFrame::Refused(refusal)).await;
            let _ = stream.send(HomeFrame::End).await;
            return;
        }
        let exchange = Exchange {
            home: self,
            stream,
            out: BytesMut::new(),
            status: TransactionStatus::Idle,
            failed: false,
            texts: HashMap::new(),
            bound: String::new(),
            copy: None,
        };
        exchange.run().await;
    }
}

impl Exchange {
    async fn run(mut self) {
        let mut reader = MessageReader::new(usize::MAX);
        while let Ok(frame) = self.stream.recv().await {
            match frame {
                CallerFrame::Messages(messages) => reader.buffer.extend_from_slice(&messages),
                CallerFrame::Definition { name, parse } => {
                    self.define(&parse[HEADER_BYTES..]);
                    self.home.record_arrival(Arrival::Definition(name));
                }
                CallerFrame::Cancel => {
                    self.home.record_arrival(Arrival::Cancel);
                    self.fail("57014");
                    put_ready(&mut self.out, self.status);
                }
                CallerFrame::Disconnected => {
                    self.home.record_arrival(Arrival::Disconnected);
                    return;
                }
            }
            while let Some(message) = reader.next().unwrap() {
                self.handle(&message);
            }
            if self.respond().await {
                return;
            }
        }
    }

    /// Sends the buffered responses; returns whether the exchange has ended.
    async fn respond(&mut self) -> bool {
        if self.out.is_empty() {
            return false;
        }
        let is_ready = self.out.ends_with(b"I") && self.out[self.out.len() - 6] == b'Z';
        let ended = is_ready && self.status == TransactionStatus::Idle;
        if ended {
            let seen: LogPosition = "1@vm-2:7".parse().unwrap();
            let _ = self.stream.send(HomeFrame::Seen(seen)).await;
        }
        let out = std::mem::take(&mut self.out).freeze();
        let _ = self.stream.send(HomeFrame::Messages(out)).await;
        if ended {
            let _ = self.stream.send(HomeFrame::End).await;
        }
        ended
    }

    fn fail(&mut self, sqlstate: &'static str) {
        put_error(
            &mut self.out,
            Severity::Error,
            &CallerError::new(sqlstate, "scripted"),
        );
        if self.status == TransactionStatus::Transaction {
            self.status = TransactionStatus::Error;
        }
    }

    fn handle(&mut self, message: &Message) {
        let text = split_text(message.body(), "any").map_or("", |(text, _)| text);
        self.home
            .record_arrival(Arrival::Message(message.tag, text.to_owned()));
        if self.failed && message.tag != b'S' {
            return;
        }
        match message.tag {
            b'Q' => {
                let text = text.to_owned();
                self.execute(&text, true);
            }
            b'P' => {
                if self.define(message.body()).contains("syntax") {
                    self.fail("42601");
                    self.failed = true;
                } else {
                    put_reply(&mut self.out, &LocalReply::ParseComplete);
                }
            }
            b'B' => {
                let (_, rest) = split_text(message.body(), "Bind").unwrap();
                let (name, _) = split_text(rest, "Bind").unwrap();
                self.bound = self.texts[name].clone();
                put_reply(&mut self.out, &LocalReply::BindComplete);
            }
            b'D' => {
                if message.body()[0] == b'S' {
                    put(&mut self.out, &ParameterDescription::new(Vec::new()));
                }
                put(&mut self.out, &NoData::new());
            }
            b'E' => {
                let text = self.bound.clone();
                self.execute(&text, false);
            }
            b'C' => put_reply(&mut self.out, &LocalReply::CloseComplete),
            // PostgreSQL ignores `Sync` during `COPY FROM STDIN`.
            b'S' if self.copy.is_some() => {}
            b'S' => {
                self.failed = false;
                put_ready(&mut self.out, self.status);
            }
            b'd' => self.copy.as_mut().unwrap().bytes += message.body().len(),
            b'c' => self.end_copy(),
            _ => {}
        }
    }

    fn define(&mut self, parse: &[u8]) -> String {
        let (name, rest) = split_text(parse, "Parse").unwrap();
        let text = split_text(rest, "Parse").unwrap().0.to_owned();
        self.texts.insert(name.to_owned(), text.clone());
        text
    }

    fn end_copy(&mut self) {
        let copy = self.copy.take().unwrap();
        let tag = format!("COPY {}", copy.bytes);
        put(&mut self.out, &CommandComplete::new(tag));
        if copy.simple {
            put_ready(&mut self.out, self.status);
        }
    }

    fn execute(&mut self, text: &str, simple: bool) {
        let first = text.split_whitespace().next().unwrap_or_default();
        match first {
            "HANG" => return,
            "FAIL" => {
                self.fail("22012");
                self.failed = !simple;
            }
            "COPY" => {
                self.out.put_slice(&[b'G', 0, 0, 0, 7, 0, 0, 0]);
                self.copy = Some(Copy { simple, bytes: 0 });
                return;
            }
            "BEGIN" => self.status = TransactionStatus::Transaction,
            "COMMIT" | "ROLLBACK" => self.status = TransactionStatus::Idle,
            _ => {}
        }
        if first != "FAIL" {
            let tag = match first {
                "SELECT" => "SELECT 0",
                "INSERT" => "INSERT 0 1",
                other => other,
            };
            put(&mut self.out, &CommandComplete::new(tag.to_owned()));
        }
        if simple {
            put_ready(&mut self.out, self.status);
        }
    }
}

/// Refusal by a VM that is not, or no longer, the home of the database.
pub(super) fn unknown_home_refusal() -> Refusal {
    Refusal::without_retry(RefusalReason::HomeUnknown)
}
