//! Execution of planned statements in a session.

use std::sync::atomic::Ordering;

use currantlb::position::Term;
use pgwire::messages::PgWireBackendMessage;
use pgwire::messages::response::{CommandComplete, EmptyQueryResponse};
use rusqlite::Connection;
use rusqlite::types::Value;

use super::checks::{ViolationKind, caller_tag};
use super::error::{Result, SqlError};
use super::instance::Core;
use super::session::{FLUSH_BYTES, Session};
use super::sql::{Kind, Plan, TermCall};
use super::store::ResultSet;
use super::value::{self, Oid};

/// Result of a statement, before it is sent to the client.
#[derive(Debug, Default)]
pub(crate) struct Outcome {
    /// Result rows. `None` when the statement returns no rows.
    pub(crate) rows: Option<ResultSet>,
    /// Command tag of `CommandComplete`, including the row count.
    pub(crate) tag: String,
}

impl Session {
    /// Runs the statements of a simple query and sends their results.
    pub(crate) async fn simple_query(&mut self, text: &str) -> std::io::Result<()> {
        self.skipping = false;
        self.check_text(text);
        let result = match super::sql::parse(text) {
            Ok(plans) => self.run_all(&plans).await,
            Err(error) => Err(error),
        };
        if let Err(error) = result {
            self.transaction.fail();
            self.put_error(&error);
        }
        if self.copy_in.is_none() {
            self.end_simple_query();
        }
        Ok(())
    }

    /// Commits the implicit transaction, if there is one, and sends `ReadyForQuery`.
    pub(crate) fn end_simple_query(&mut self) {
        if !self.transaction.in_block
            && let Err(error) = self.transaction.commit(&self.instance)
        {
            self.put_error(&error);
        }
        self.put_ready();
    }

    async fn run_all(&mut self, plans: &[Plan]) -> Result<()> {
        for plan in plans {
            match &plan.kind {
                Kind::Empty => {
                    let empty = EmptyQueryResponse::new();
                    self.put(&PgWireBackendMessage::EmptyQueryResponse(empty));
                    continue;
                }
                Kind::CopyIn { .. } => return self.start_copy_in(plan, true),
                Kind::CopyOut => {
                    self.copy_out(plan).await?;
                    continue;
                }
                Kind::Series { bytes, rows } => {
                    self.put_series(*bytes, *rows).await;
                    continue;
                }
                _ => {}
            }
            let outcome = self.run_plan(plan, &[]).await?;
            if let Some(rows) = &outcome.rows {
                let oids = self.result_types(plan, rows, &[]);
                self.put_row_description(&rows.names, &oids, &[]);
                self.put_rows(&rows.rows, &oids, &[]).await;
            }
            self.put_complete(&outcome.tag);
        }
        Ok(())
    }

    async fn put_series(&mut self, bytes: usize, rows: u64) {
        self.put_row_description(&["repeat".to_owned()], &[value::TEXT], &[]);
        let row = vec![vec![Value::Text("x".repeat(bytes))]];
        for _ in 0..rows {
            self.put_rows(&row, &[value::TEXT], &[]).await;
        }
        self.put_complete(&format!("SELECT {rows}"));
    }

    /// Records a violation if a statement contains a caller's key, or if its caller differs from
    /// that of the open transaction.
    pub(crate) fn check_text(&mut self, text: &str) {
        let instance = &self.instance;
        instance
            .checks
            .check_for_caller_keys(&instance.name, "statement", text);
        let Some(caller) = caller_tag(text) else {
            return;
        };
        match &self.transaction.caller {
            Some(first) if self.transaction.in_block && first != caller => {
                let detail = format!("{caller} inside a transaction of {first}");
                instance
                    .checks
                    .record(ViolationKind::TransactionsMixed, &instance.name, detail);
            }
            _ => self.transaction.caller = Some(caller.to_owned()),
        }
    }

    /// Runs one statement.
    pub(crate) async fn run_plan(&mut self, plan: &Plan, parameters: &[Value]) -> Result<Outcome> {
        if self.transaction.failed
            && !matches!(plan.kind, Kind::Commit | Kind::Rollback | Kind::Savepoint)
        {
            return Err(SqlError::aborted());
        }
        match &plan.kind {
            Kind::Read | Kind::Write | Kind::Savepoint | Kind::Sleep { .. } => {
                self.run_sql(plan, parameters).await
            }
            Kind::Begin { read_only } => {
                self.transaction.begin(*read_only);
                Ok(tag_only(plan.tag))
            }
            Kind::Commit => {
                let committed = self.transaction.commit(&self.instance)?;
                Ok(tag_only(if committed { "COMMIT" } else { "ROLLBACK" }))
            }
            Kind::Rollback => {
                self.transaction.roll_back();
                Ok(tag_only(plan.tag))
            }
            Kind::Term(call) => self.run_term_call(call),
            Kind::Terminate { like, except } => Ok(self.terminate(like, except.as_deref())),
            _ => Ok(self.run_setting(plan)),
        }
    }

    fn run_setting(&mut self, plan: &Plan) -> Outcome {
        match &plan.kind {
            Kind::Set { name, value } => {
                self.settings.insert(name.clone(), value.clone());
                if plan.tag == "SELECT" {
                    return single_text_row("set_config", value.clone());
                }
            }
            Kind::Reset => {
                self.settings.clear();
                if plan.tag.starts_with("DISCARD") {
                    self.prepared.clear();
                    self.listening = false;
                }
            }
            Kind::Show { name } => {
                return single_text_row(name, self.setting(name));
            }
            Kind::Listen { .. } => self.listening = true,
            Kind::Unlisten => self.listening = false,
            Kind::Deallocate { name: Some(name) } => {
                self.prepared.remove(name);
            }
            Kind::Deallocate { name: None } => self.prepared.clear(),
            _ => {}
        }
        tag_only(plan.tag)
    }

    fn setting(&self, name: &str) -> String {
        if let Some(value) = self.settings.get(name) {
            return value.clone();
        }
        let default = match name {
            "server_version" => "16.0",
            "transaction_isolation" | "transaction_isolation_level" => "read committed",
            "transaction_read_only" if !self.instance.report().is_primary => "on",
            "transaction_read_only" => "off",
            "timezone" => "UTC",
            "client_encoding" | "server_encoding" => "UTF8",
            "search_path" => "\"$user\", public",
            "standard_conforming_strings" => "on",
            _ => "",
        };
        default.to_owned()
    }

    fn run_term_call(&mut self, call: &TermCall) -> Result<Outcome> {
        let parse = |text: &str| {
            text.parse::<Term>()
                .map_err(|error| SqlError::new("22023", error.to_string()))
        };
        match call {
            TermCall::Status => {}
            TermCall::Adopt { term } => {
                self.instance.adopt(&parse(term)?);
            }
            TermCall::Promote { term } => self.instance.promote(&parse(term)?)?,
            TermCall::Follow { term, primary } => self.instance.follow(&parse(term)?, primary)?,
        }
        let report = self.instance.report();
        let is_primary = if report.is_primary { "t" } else { "f" };
        let texts = [
            report.adopted.to_string(),
            is_primary.to_owned(),
            report.last.to_string(),
        ];
        let rows = ResultSet {
            names: ["adopted", "is_primary", "last"]
                .map(str::to_owned)
                .to_vec(),
            rows: vec![texts.map(Value::Text).to_vec()],
            ..ResultSet::default()
        };
        Ok(Outcome {
            rows: Some(rows),
            tag: "SELECT 1".to_owned(),
        })
    }

    fn terminate(&self, like: &str, except: Option<&str>) -> Outcome {
        let prefix = like.trim_end_matches('%');
        let mut ended = 0;
        for (pid, session) in &*self.instance.sessions() {
            let name = &session.application_name;
            if *pid != self.pid && name.starts_with(prefix) && Some(name.as_str()) != except {
                session.end.cancel();
                ended += 1;
            }
        }
        let rows = ResultSet {
            names: vec!["pg_terminate_backend".to_owned()],
            rows: vec![vec![Value::Text("t".to_owned())]; ended],
            ..ResultSet::default()
        };
        Outcome {
            rows: Some(rows),
            tag: format!("SELECT {ended}"),
        }
    }

    async fn run_sql(&mut self, plan: &Plan, parameters: &[Value]) -> Result<Outcome> {
        let cancel = std::sync::Arc::clone(&self.cancel);
        let cancelled = cancel.notified();
        let running = RunningStatement::start(self);
        let work = async {
            let service = self.instance.service_time();
            if !service.is_zero() {
                tokio::time::sleep(service).await;
            }
            if let Kind::Sleep { seconds } = &plan.kind {
                let seconds = seconds.parse().unwrap_or(0.0_f64).clamp(0.0, 3600.0);
                tokio::time::sleep(std::time::Duration::from_secs_f64(seconds)).await;
            }
            if matches!(plan.kind, Kind::Write | Kind::Savepoint) {
                self.transaction.start_write(&self.instance)?;
            }
            Ok(())
        };
        let result = tokio::select! {
            result = work => result,
            () = cancelled => Err(SqlError::cancelled()),
        };
        drop(running);
        result?;
        self.run_in_store(plan, parameters)
    }

    fn run_in_store(&mut self, plan: &Plan, parameters: &[Value]) -> Result<Outcome> {
        let rows = {
            let core = self.instance.core();
            self.transaction.check_generation(core.generation)?;
            self.run_on_tables(&core, &plan.sql, parameters)?
        };
        if plan.kind == Kind::Savepoint {
            self.transaction.failed = false;
        }
        if matches!(plan.kind, Kind::Write | Kind::Savepoint) && !plan.sql.starts_with("SELECT") {
            self.transaction.log(&plan.sql, parameters);
        }
        let counted = matches!(plan.tag, "SELECT" | "INSERT 0" | "UPDATE" | "DELETE");
        let count = if plan.tag == "SELECT" {
            rows.rows.len()
        } else {
            rows.changed
        };
        let tag = if counted {
            format!("{} {count}", plan.tag)
        } else {
            plan.tag.to_owned()
        };
        let rows = (!rows.names.is_empty()).then_some(rows);
        Ok(Outcome { rows, tag })
    }

    /// Returns the tables that a statement runs on: the working copy of a transaction that writes,
    /// otherwise the committed tables.
    pub(crate) fn tables<'a>(&'a self, core: &'a Core) -> &'a Connection {
        match self.transaction.copy() {
            Some(copy) => copy.connection(),
            None => core.store.connection(),
        }
    }

    /// Runs a statement on the tables that [`Self::tables`] returns.
    pub(crate) fn run_on_tables(
        &self,
        core: &Core,
        sql: &str,
        parameters: &[Value],
    ) -> Result<ResultSet> {
        match self.transaction.copy() {
            Some(copy) => copy.run(sql, parameters),
            None => core.store.run(sql, parameters),
        }
    }

    /// Returns the types of a statement's result columns.
    pub(crate) fn result_types(
        &self,
        plan: &Plan,
        rows: &ResultSet,
        parameters: &[Oid],
    ) -> Vec<Oid> {
        let hints = match &plan.statement {
            Some(statement) => {
                let core = self.instance.core();
                let connection = self.tables(&core);
                let columns = super::types::Columns::of(statement, connection);
                super::types::results(statement, &columns, parameters)
            }
            None => Vec::new(),
        };
        let oid = |index: usize| {
            if plan.kind
                == (Kind::Sleep {
                    seconds: String::new(),
                })
            {
                return value::VOID;
            }
            let declared = rows.declared.get(index).and_then(Option::as_deref);
            let hint = hints.get(index).copied().flatten();
            let first = || {
                rows.rows
                    .first()
                    .map(|row| value::oid_of_value(&row[index]))
            };
            declared
                .map(value::oid_of_declaration)
                .or(hint)
                .or_else(first)
                .unwrap_or(value::TEXT)
        };
        (0..rows.names.len()).map(oid).collect()
    }

    /// Appends rows to the output, and sends the output each time it reaches `FLUSH_BYTES`.
    pub(crate) async fn put_rows(&mut self, rows: &[Vec<Value>], oids: &[Oid], formats: &[i16]) {
        for row in rows {
            super::extended::put_row(&mut self.out, row, oids, formats);
            if self.out.len() >= FLUSH_BYTES && self.flush().await.is_err() {
                // The connection is broken; the next read from it ends the session.
                return;
            }
        }
    }

    /// Appends a `CommandComplete` message to the output.
    pub(crate) fn put_complete(&mut self, tag: &str) {
        let complete = CommandComplete::new(tag.to_owned());
        self.put(&PgWireBackendMessage::CommandComplete(complete));
    }
}

fn single_text_row(name: &str, value: String) -> Outcome {
    let rows = ResultSet {
        names: vec![name.to_owned()],
        rows: vec![vec![Value::Text(value)]],
        ..ResultSet::default()
    };
    Outcome {
        rows: Some(rows),
        tag: "SELECT 1".to_owned(),
    }
}

fn tag_only(tag: &str) -> Outcome {
    Outcome {
        rows: None,
        tag: tag.to_owned(),
    }
}

/// Counts a statement as running until dropped.
struct RunningStatement {
    instance: std::sync::Arc<super::instance::Instance>,
}

impl RunningStatement {
    fn start(session: &Session) -> Self {
        let instance = std::sync::Arc::clone(&session.instance);
        instance.statements.fetch_add(1, Ordering::Relaxed);
        if !instance.report().is_primary {
            instance.replica_statements.fetch_add(1, Ordering::Relaxed);
        }
        let before = instance.running.fetch_add(1, Ordering::AcqRel);
        if before >= instance.limits.slots && !session.vm.is_empty() {
            let detail = format!("{} statements run", before + 1);
            instance
                .checks
                .record(ViolationKind::TooManyStatements, &instance.name, detail);
        }
        Self { instance }
    }
}

impl Drop for RunningStatement {
    fn drop(&mut self) {
        self.instance.running.fetch_sub(1, Ordering::AcqRel);
    }
}
