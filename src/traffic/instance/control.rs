//! The control connection to one instance: probes, term commands and pushed reports.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use futures::future::{BoxFuture, OptionFuture};
use postgres_protocol::message::backend::{Message, NotificationResponseBody};
use postgres_protocol::message::frontend;
use snafu::ResultExt;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until, timeout};

use super::evidence::Evidence;
use super::question::{CHANNEL, Question, report_of_payload};
use super::{LeaseCheck, ReportHook, question};
use crate::control::event::InstanceReport;
use crate::time::Timestamp;
use crate::traffic::pool::Pool;
use crate::traffic::upstream::login::refused;
use crate::traffic::upstream::query::{Row, text_row};
use crate::traffic::upstream::session::literal;
use crate::traffic::upstream::{
    Connection, IoSnafu, Login, ProtocolSnafu, Result, TimeoutSnafu, UpstreamError,
};

/// Time without an answer after which the connection is given up and opened anew.
const REOPEN_AFTER: Duration = Duration::from_secs(1);

/// Pause before the connection is opened anew while nobody asks.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Pause before the lease is looked at again.
const LEASE_PAUSE: Duration = Duration::from_millis(20);

/// Largest number of questions without an answer.
const MAX_PENDING: usize = 64;

/// Question that waits for its answer.
#[derive(Debug)]
struct Pending {
    question: Question,
    asked_at: Timestamp,
    deadline: Instant,
    is_sent: bool,
    /// Whether its silence was posted already.
    is_given_up: bool,
}

/// Keeps one connection to an instance open, and puts the control code's questions to it.
pub(super) struct ControlConnection {
    login: Login,
    evidence: Arc<Evidence>,
    on_report: ReportHook,
    may_open: LeaseCheck,
    pool: Pool,
    answer_timeout: Duration,
    link: Option<Connection>,
    pending: VecDeque<Pending>,
    row: Option<Row>,
    refusal: Option<UpstreamError>,
}

impl ControlConnection {
    pub(super) fn new(
        login: Login,
        evidence: Arc<Evidence>,
        on_report: ReportHook,
        may_open: LeaseCheck,
        pool: Pool,
        answer_timeout: Duration,
    ) -> Self {
        Self {
            login,
            evidence,
            on_report,
            may_open,
            pool,
            answer_timeout,
            link: None,
            pending: VecDeque::new(),
            row: None,
            refusal: None,
        }
    }

    /// Runs until the sender of the questions is dropped.
    pub(super) async fn run(mut self, mut questions: mpsc::UnboundedReceiver<Question>) {
        let mut opening: Option<BoxFuture<'static, Result<Connection>>> = None;
        let mut retry_at = Instant::now();
        loop {
            if self.link.is_none() && opening.is_none() && retry_at <= Instant::now() {
                if (self.may_open)() {
                    opening = Some(Box::pin(open(self.login.clone())));
                } else {
                    retry_at = Instant::now() + LEASE_PAUSE;
                }
            }
            let is_down = self.link.is_none() && opening.is_none();
            let deadline = self.next_deadline();
            let has_pending = !self.pending.is_empty();
            tokio::select! {
                question = questions.recv() => match question {
                    Some(question) => {
                        self.ask(question);
                        retry_at = retry_at.min(Instant::now());
                    }
                    None => return,
                },
                opened = OptionFuture::from(opening.as_mut()), if opening.is_some() => {
                    opening = None;
                    retry_at = Instant::now() + RETRY_PAUSE;
                    // The branch runs only while a connection is opening.
                    if let Some(opened) = opened {
                        self.opened(opened);
                    }
                }
                result = progress(&mut self.link), if self.link.is_some() => {
                    if let Err(error) = result.and_then(|()| self.receive()) {
                        self.lost(&error);
                        retry_at = Instant::now() + RETRY_PAUSE;
                    }
                }
                () = sleep_until(deadline), if has_pending => self.expire(),
                () = sleep_until(retry_at), if is_down => {}
            }
        }
    }

    fn ask(&mut self, question: Question) {
        let pending = Pending {
            question,
            asked_at: self.evidence.now(),
            deadline: Instant::now() + self.answer_timeout,
            is_sent: false,
            is_given_up: false,
        };
        if self.pending.len() >= MAX_PENDING {
            self.give_up(&pending);
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
            if let Err(error) = frontend::query(&pending.question.sql, &mut link.outgoing) {
                log::warn!("event=question_invalid error=\"{error}\"");
            }
        }
        if let Err(error) = link.write_now() {
            self.lost(&error);
        }
    }

    fn opened(&mut self, opened: Result<Connection>) {
        match opened {
            Ok(connection) => {
                self.link = Some(connection);
                self.pool.start();
                // The gate and the routing of reads need a report before anything changes.
                self.ask(Question::probe());
            }
            Err(error) => {
                self.evidence.failed(&error);
                self.drop_pending();
            }
        }
    }

    /// Handles everything that was read.
    fn receive(&mut self) -> Result<()> {
        while let Some(link) = &mut self.link {
            let Some(message) = Message::parse(&mut link.incoming).context(IoSnafu)? else {
                return Ok(());
            };
            match message {
                Message::DataRow(body) => self.row = Some(text_row(&body)?),
                Message::ErrorResponse(body) => self.refusal = refused::<()>(&body).err(),
                Message::NotificationResponse(body) => self.notified(&body)?,
                Message::ReadyForQuery(_) => self.answered()?,
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
                (self.on_report)(&report, self.evidence.now());
                self.evidence.pushed(report);
            }
            Err(error) => log::warn!("event=report_invalid error=\"{error}\""),
        }
        Ok(())
    }

    /// Handles the end of the answer to the oldest question.
    fn answered(&mut self) -> Result<()> {
        let Some(pending) = self.pending.pop_front().filter(|pending| pending.is_sent) else {
            let what = "answer on the control connection without a question";
            return ProtocolSnafu { what }.fail();
        };
        let report = self.take_report();
        if let Some(report) = &report {
            (self.on_report)(report, pending.asked_at);
        }
        let is_command = !pending.question.is_probe() && !pending.is_given_up;
        match report {
            report if is_command => self
                .evidence
                .command_ended(pending.question.request, report),
            Some(report) => self.evidence.reported(report, pending.asked_at),
            None => {}
        }
        Ok(())
    }

    fn take_report(&mut self) -> Option<InstanceReport> {
        let row = self.row.take();
        if let Some(refusal) = self.refusal.take() {
            log::warn!("event=question_refused error=\"{refusal}\"");
            return None;
        }
        match question::report_of_row(&row?) {
            Ok(report) => Some(report),
            Err(error) => {
                log::warn!("event=report_invalid error=\"{error}\"");
                None
            }
        }
    }

    fn next_deadline(&self) -> Instant {
        let waiting = self.pending.iter().find(|pending| !pending.is_given_up);
        let give_up_at = waiting.map(|pending| pending.deadline);
        let oldest = self.pending.front().map(|pending| pending.deadline);
        let reopen_at = oldest.map(|deadline| deadline + REOPEN_AFTER);
        let at = give_up_at.into_iter().chain(reopen_at).min();
        at.unwrap_or_else(|| Instant::now() + REOPEN_AFTER)
    }

    /// Posts the silence of questions that are overdue, and gives up a connection that says nothing.
    fn expire(&mut self) {
        let now = Instant::now();
        let mut pending = std::mem::take(&mut self.pending);
        for overdue in pending
            .iter_mut()
            .filter(|p| p.deadline <= now && !p.is_given_up)
        {
            self.give_up(overdue);
            overdue.is_given_up = true;
        }
        // What was not sent has no answer to come.
        pending.retain(|pending| pending.is_sent || !pending.is_given_up);
        self.pending = pending;
        let oldest = self.pending.front().map(|pending| pending.deadline);
        if oldest.is_some_and(|deadline| deadline + REOPEN_AFTER <= now) {
            self.link = None;
            self.drop_pending();
        }
    }

    fn give_up(&self, pending: &Pending) {
        if pending.question.is_probe() {
            self.evidence.silent(pending.asked_at);
        } else {
            let request = pending.question.request.clone();
            self.evidence.command_ended(request, None);
        }
    }

    fn lost(&mut self, error: &UpstreamError) {
        self.link = None;
        self.evidence.failed(error);
        self.drop_pending();
    }

    /// Ends every question; none of them can be answered on another connection.
    fn drop_pending(&mut self) {
        self.row = None;
        self.refusal = None;
        for pending in std::mem::take(&mut self.pending) {
            if !pending.question.is_probe() && !pending.is_given_up {
                self.evidence.command_ended(pending.question.request, None);
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

/// Logs in, ends the connections that former homes left behind, and asks for pushed reports.
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
