//! Session of one logged-in connection: reads messages of the client and writes the responses.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use bytes::BytesMut;
use pgwire::messages::response::{ErrorResponse, NotificationResponse, ReadyForQuery};
use pgwire::messages::startup::ParameterStatus;
use pgwire::messages::{DecodeContext, Message, PgWireBackendMessage, PgWireFrontendMessage};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::Notify;

use super::copy::CopyIn;
use super::error::SqlError;
use super::extended::{Portal, PreparedStatement};
use super::instance::Instance;
use super::transaction::Transaction;

/// Size of the output buffer at which it is sent.
pub(crate) const FLUSH_BYTES: usize = 64 * 1024;

/// Parameter by which a session sends the log position to its client.
const POSITION_PARAMETER: &str = "currantlb.position";
/// Notification channel by which a listening session sends its instance's report.
const POSITION_CHANNEL: &str = "currantlb_position";

/// Whether the session continues after a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Next {
    Continue,
    End,
}

/// Session of a logged-in connection.
pub(crate) struct Session {
    pub(crate) instance: Arc<Instance>,
    pub(crate) pid: i32,
    /// Name of the VM that opened the connection, from its `application_name`.
    pub(crate) vm: String,
    pub(crate) cancel: Arc<Notify>,
    pub(crate) transaction: Transaction,
    pub(crate) prepared: HashMap<String, Arc<PreparedStatement>>,
    pub(crate) portals: HashMap<String, Portal>,
    pub(crate) settings: BTreeMap<String, String>,
    pub(crate) listening: bool,
    /// Whether messages are skipped until `Sync`, because an earlier one failed.
    pub(crate) skipping: bool,
    pub(crate) copy_in: Option<CopyIn>,
    pub(crate) out: BytesMut,
    sent_position: Option<String>,
    socket: TcpStream,
    inbox: BytesMut,
    context: DecodeContext,
}

impl Session {
    pub(crate) fn new(
        instance: Arc<Instance>,
        pid: i32,
        vm: String,
        cancel: Arc<Notify>,
        socket: TcpStream,
        inbox: BytesMut,
        context: DecodeContext,
    ) -> Self {
        Self {
            instance,
            pid,
            vm,
            cancel,
            transaction: Transaction::default(),
            prepared: HashMap::new(),
            portals: HashMap::new(),
            settings: BTreeMap::new(),
            listening: false,
            skipping: false,
            copy_in: None,
            out: BytesMut::new(),
            sent_position: None,
            socket,
            inbox,
            context,
        }
    }

    /// Serves the session until the connection ends.
    pub(crate) async fn run(&mut self) -> std::io::Result<()> {
        let mut reports = self.instance.reports();
        loop {
            while let Some(message) = self.decode()? {
                self.instance.network.wait_for_delivery(&self.vm).await;
                if self.handle(message).await? == Next::End {
                    return Ok(());
                }
            }
            self.flush().await?;
            tokio::select! {
                read = self.socket.read_buf(&mut self.inbox) => if read? == 0 { return Ok(()) },
                changed = reports.changed(), if self.listening => {
                    if changed.is_err() {
                        return Ok(());
                    }
                    reports.mark_unchanged();
                    self.push_report();
                }
            }
        }
    }

    fn decode(&mut self) -> std::io::Result<Option<PgWireFrontendMessage>> {
        if self.inbox.len() < 5 {
            return Ok(None);
        }
        PgWireFrontendMessage::decode(&mut self.inbox, &self.context).map_err(std::io::Error::other)
    }

    /// Sends the buffered output.
    pub(crate) async fn flush(&mut self) -> std::io::Result<()> {
        if self.out.is_empty() {
            return Ok(());
        }
        self.instance.network.wait_for_delivery(&self.vm).await;
        let out = self.out.split();
        self.socket.write_all(&out).await
    }

    async fn handle(&mut self, message: PgWireFrontendMessage) -> std::io::Result<Next> {
        use PgWireFrontendMessage as Frontend;
        match message {
            Frontend::Terminate(_) => return Ok(Next::End),
            Frontend::Query(query) => self.simple_query(&query.query).await?,
            // During a copy, the client also sends `Sync` before the data. Only the `Sync` after
            // the data ends the copy's transaction.
            Frontend::Sync(_) | Frontend::Flush(_) if self.copy_in.is_some() => {}
            Frontend::Sync(_) => self.sync(),
            Frontend::Flush(_) => self.flush().await?,
            Frontend::CopyData(data) => self.copy_data(&data.data),
            Frontend::CopyDone(_) => self.copy_done(),
            Frontend::CopyFail(fail) => self.copy_fail(&fail.message),
            _ if self.skipping => {}
            Frontend::Parse(parse) => self.parse(parse),
            Frontend::Bind(bind) => self.bind(bind),
            Frontend::Describe(describe) => self.describe(&describe),
            Frontend::Execute(execute) => self.execute(&execute).await?,
            Frontend::Close(close) => self.close(&close),
            _ => {
                let error = SqlError::new("08P01", "unexpected message");
                self.put_error(&error);
                self.flush().await?;
                return Ok(Next::End);
            }
        }
        Ok(Next::Continue)
    }

    /// Appends a message to the output.
    pub(crate) fn put(&mut self, message: &PgWireBackendMessage) {
        if let Err(error) = message.encode(&mut self.out) {
            log::error!(
                "event=encode_failed instance={} error={error:?}",
                self.instance.name
            );
        }
    }

    /// Appends an error to the output.
    pub(crate) fn put_error(&mut self, error: &SqlError) {
        let fields = vec![
            (b'S', "ERROR".to_owned()),
            (b'V', "ERROR".to_owned()),
            (b'C', error.sqlstate.to_owned()),
            (b'M', error.message.clone()),
        ];
        self.put(&PgWireBackendMessage::ErrorResponse(ErrorResponse::new(
            fields,
        )));
    }

    /// Appends the log position, if it has changed since it was last sent, and `ReadyForQuery`.
    pub(crate) fn put_ready(&mut self) {
        self.put_position();
        let status = self.transaction.status();
        self.put(&PgWireBackendMessage::ReadyForQuery(ReadyForQuery::new(
            status,
        )));
    }

    fn put_position(&mut self) {
        let position = self.instance.report().last.to_string();
        if self.sent_position.as_ref() != Some(&position) {
            self.sent_position = Some(position.clone());
            let status = ParameterStatus::new(POSITION_PARAMETER.to_owned(), position);
            self.put(&PgWireBackendMessage::ParameterStatus(status));
        }
    }

    fn push_report(&mut self) {
        let report = self.instance.report();
        let is_primary = if report.is_primary { "t" } else { "f" };
        let payload = format!("{} {is_primary} {}", report.adopted, report.last);
        let push = NotificationResponse::new(self.pid, POSITION_CHANNEL.to_owned(), payload);
        self.put(&PgWireBackendMessage::NotificationResponse(push));
    }

    fn sync(&mut self) {
        self.skipping = false;
        if !self.transaction.in_block
            && let Err(error) = self.transaction.commit(&self.instance)
        {
            self.put_error(&error);
        }
        if !self.transaction.in_block {
            self.portals.clear();
        }
        self.put_ready();
    }
}

/// Encodes a message into a buffer.
pub(crate) fn encode(out: &mut BytesMut, message: &impl Message) -> std::io::Result<()> {
    message.encode(out).map_err(std::io::Error::other)
}
