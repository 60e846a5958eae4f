//! Control connection to one instance, for probes, term commands and pushed reports.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use futures::future::{BoxFuture, OptionFuture};
use postgres_protocol::message::backend::{Message, NotificationResponseBody};
use postgres_protocol::message::frontend;
use snafu::ResultExt;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until, timeout};

use super::health::HealthReporter;
use super::query::{CHANNEL, InstanceQuery, report_of_payload};
use super::{LeaseCheck, ReportHook, query};
use crate::control::event::InstanceReport;
use crate::time::Timestamp;
use crate::traffic::pool::Pool;
use crate::traffic::upstream::login::refused;
use crate::traffic::upstream::query::{Row, text_row};
use crate::traffic::upstream::session::literal;
use crate::traffic::upstream::{
    Connection, IoSnafu, Login, ProtocolSnafu, Result, TimeoutSnafu, UpstreamError,
};

/// Time beyond a query's deadline after which a connection without a response is dropped and
/// reopened.
const REOPEN_AFTER: Duration = Duration::from_secs(1);

/// Delay before the connection is reopened; a new query ends it early.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Delay before the lease is checked again.
const LEASE_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Maximum number of queries that wait for a response.
const MAX_PENDING: usize = 64;

/// Query that waits for its response.
#[derive(Debug)]
struct Pending {
    query: InstanceQuery,
    requested_at: Timestamp,
    deadline: Instant,
    is_sent: bool,
    /// Whether its timeout was already posted.
    is_timed_out: bool,
}

/// Keeps one connection to an instance open and sends the control code's queries on it.
pub(super) struct ControlConnection {
    login: Login,
    health: Arc<HealthReporter>,
    on_report: ReportHook,
    may_open: LeaseCheck,
    pool: Pool,
    response_timeout: Duration,
    link: Option<Connection>,
    pending: VecDeque<Pending>,
    row: Option<Row>,
    refusal: Option<UpstreamError>,
}

impl ControlConnection {
    pub(super) fn new(
        login: Login,
        health: Arc<HealthReporter>,
        on_report: ReportHook,
        may_open: LeaseCheck,
        pool: Pool,
        response_timeout: Duration,
    ) -> Self {
        Self {
            login,
            health,
            on_report,
            may_open,
            pool,
            response_timeout,
            link: None,
            pending: VecDeque::new(),
            row: None,
            refusal: None,
        }
    }

    /// Runs until the sender of the queries is dropped.
    pub(super) async fn run(mut self, mut queries: mpsc::UnboundedReceiver<InstanceQuery>) {
        let mut opening: Option<BoxFuture<'static, Result<Connection>>> = None;
        let mut retry_at = Instant::now();
        loop {
            if self.link.is_none() && opening.is_none() && retry_at <= Instant::now() {
                if (self.may_open)() {
                    opening = Some(Box::pin(open(self.login.clone())));
                } else {
                    retry_at = Instant::now() + LEASE_RETRY_DELAY;
                }
            }
            let is_down = self.link.is_none() && opening.is_none();
            let deadline = self.next_deadline();
            let has_pending = !self.pending.is_empty();
            tokio::select! {
                query = queries.recv() => match query {
                    Some(query) => {
                        self.enqueue(query);
                        retry_at = retry_at.min(Instant::now());
                    }
                    None => return,
                },
                opened = OptionFuture::from(opening.as_mut()), if opening.is_some() => {
                    opening = None;
                    retry_at = Instant::now() + RETRY_DELAY;
                    // The branch runs only while a connection is opening.
                    if let Some(opened) = opened {
                        self.opened(opened);
                    }
                }
                result = progress(&mut self.link), if self.link.is_some() => {
                    if let Err(error) = result.and_then(|()| self.receive()) {
                        self.connection_lost(&error);
                        retry_at = Instant::now() + RETRY_DELAY;
                    }
                }
                () = sleep_until(deadline), if has_pending => self.expire(),
                () = sleep_until(retry_at), if is_down => {}
            }
        }
    }

    fn enqueue(&mut self, query: InstanceQuery) {
        let pending = Pending {
            query,
            requested_at: self.health.now(),
            deadline: Instant::now() + self.response_timeout,
            is_sent: false,
            is_timed_out: false,
        };
        if self.pending.len() >= MAX_PENDING {
            self.post_timeout(&pending);
            return;
        }
        self.pending.push_back(pending);
        self.send_waiting();
    }

    fn send_waiting(&mut self) {
        let Some(link) = &mut self.link else {
            return;
        };
        for pending in self.pending.iter_mut().filter(|pending| !pending.is_sent) {
            pending.is_sent = true;
            if let Err(error) = frontend::query(&pending.query.sql, &mut link.outgoing) {
                log::warn!("event=query_invalid error=\"{error}\"");
            }
        }
        if let Err(error) = link.write_now() {
            self.connection_lost(&error);
        }
    }

    fn opened(&mut self, opened: Result<Connection>) {
        match opened {
            Ok(connection) => {
                self.link = Some(connection);
                self.pool.start();
                // The answer gate and read routing need an initial report, before the first change
                // makes the instance push one.
                self.enqueue(InstanceQuery::probe());
            }
            Err(error) => {
                self.health.post_failure(&error);
                self.drop_pending();
            }
        }
    }

    /// Handles all complete messages that were read.
    fn receive(&mut self) -> Result<()> {
        while let Some(link) = &mut self.link {
            let Some(message) = Message::parse(&mut link.incoming).context(IoSnafu)? else {
                return Ok(());
            };
            match message {
                Message::DataRow(body) => self.row = Some(text_row(&body)?),
                Message::ErrorResponse(body) => self.refusal = refused::<()>(&body).err(),
                Message::NotificationResponse(body) => self.notified(&body)?,
                Message::ReadyForQuery(_) => self.query_completed()?,
                _ => {}
            }
        }
        Ok(())
    }

    fn notified(&self, body: &NotificationResponseBody) -> Result<()> {
        if body.channel().context(IoSnafu)? != CHANNEL {
            return Ok(());
        }
        let payload = body.message().context(IoSnafu)?;
        match report_of_payload(payload) {
            Ok(report) => {
                (self.on_report)(&report, self.health.now());
                self.health.post_pushed_report(report);
            }
            Err(error) => log::warn!("event=report_invalid error=\"{error}\""),
        }
        Ok(())
    }

    /// Handles the end of the response to the oldest query.
    fn query_completed(&mut self) -> Result<()> {
        let Some(pending) = self.pending.pop_front().filter(|pending| pending.is_sent) else {
            let what = "response on the control connection without a query";
            return ProtocolSnafu { what }.fail();
        };
        let report = self.take_report();
        if let Some(report) = &report {
            (self.on_report)(report, pending.requested_at);
        }
        let is_command = !pending.query.is_probe() && !pending.is_timed_out;
        match report {
            report if is_command => self
                .health
                .post_command_ended(pending.query.request, report),
            Some(report) => self.health.post_report(report, pending.requested_at),
            None => {}
        }
        Ok(())
    }

    fn take_report(&mut self) -> Option<InstanceReport> {
        let row = self.row.take();
        if let Some(refusal) = self.refusal.take() {
            log::warn!("event=query_refused error=\"{refusal}\"");
            return None;
        }
        match query::report_of_row(&row?) {
            Ok(report) => Some(report),
            Err(error) => {
                log::warn!("event=report_invalid error=\"{error}\"");
                None
            }
        }
    }

    fn next_deadline(&self) -> Instant {
        let waiting = self.pending.iter().find(|pending| !pending.is_timed_out);
        let times_out_at = waiting.map(|pending| pending.deadline);
        let oldest = self.pending.front().map(|pending| pending.deadline);
        let reopen_at = oldest.map(|deadline| deadline + REOPEN_AFTER);
        let at = times_out_at.into_iter().chain(reopen_at).min();
        at.unwrap_or_else(|| Instant::now() + REOPEN_AFTER)
    }

    /// Posts a timeout for each overdue query, and drops a connection whose oldest query has been
    /// overdue for `REOPEN_AFTER`.
    fn expire(&mut self) {
        let now = Instant::now();
        let mut pending = std::mem::take(&mut self.pending);
        for overdue in pending
            .iter_mut()
            .filter(|p| p.deadline <= now && !p.is_timed_out)
        {
            self.post_timeout(overdue);
            overdue.is_timed_out = true;
        }
        // A query that was not sent will get no response.
        pending.retain(|pending| pending.is_sent || !pending.is_timed_out);
        self.pending = pending;
        let oldest = self.pending.front().map(|pending| pending.deadline);
        if oldest.is_some_and(|deadline| deadline + REOPEN_AFTER <= now) {
            self.link = None;
            self.drop_pending();
        }
    }

    fn post_timeout(&self, pending: &Pending) {
        if pending.query.is_probe() {
            self.health.post_no_response(pending.requested_at);
        } else {
            let request = pending.query.request.clone();
            self.health.post_command_ended(request, None);
        }
    }

    fn connection_lost(&mut self, error: &UpstreamError) {
        self.link = None;
        self.health.post_failure(error);
        self.drop_pending();
    }

    /// Drops all pending queries; their responses can't arrive on another connection.
    fn drop_pending(&mut self) {
        self.row = None;
        self.refusal = None;
        for pending in std::mem::take(&mut self.pending) {
            if !pending.query.is_probe() && !pending.is_timed_out {
                self.health.post_command_ended(pending.query.request, None);
            }
        }
    }
}

async fn progress(link: &mut Option<Connection>) -> Result<()> {
    match link {
        Some(link) => link.progress().await,
        None => std::future::pending().await,
    }
}

/// Logs in, terminates the connections that previous homes left open, and subscribes to pushed
/// reports.
async fn open(login: Login) -> Result<Connection> {
    let limit = login.timeout;
    let opening = async {
        let mut connection = login.connect().await?;
        let own = literal(&login.application_name);
        let fence = format!(
            "SELECT pg_terminate_backend(pid) FROM pg_stat_activity \
             WHERE application_name LIKE 'currantlb/%' AND application_name <> {own}"
        );
        connection.simple_query(&fence, limit).await?;
        connection
            .simple_query(&format!("LISTEN {CHANNEL}"), limit)
            .await?;
        Ok(connection)
    };
    match timeout(limit, opening).await {
        Ok(result) => result,
        Err(_elapsed) => TimeoutSnafu {
            timeout_ms: limit.as_millis(),
        }
        .fail(),
    }
}
