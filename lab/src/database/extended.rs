//! The extended query protocol: prepared statements and portals.

use std::sync::Arc;

use bytes::{BufMut, BytesMut};
use pgwire::messages::PgWireBackendMessage;
use pgwire::messages::data::{FieldDescription, NoData, ParameterDescription, RowDescription};
use pgwire::messages::extendedquery::{
    Bind, BindComplete, Close, CloseComplete, Describe, Execute, Parse, ParseComplete,
    PortalSuspended,
};
use pgwire::messages::response::EmptyQueryResponse;
use rusqlite::types::Value;

use super::error::{Result, SqlError};
use super::session::Session;
use super::sql::{Kind, Plan};
use super::store::ResultSet;
use super::types;
use super::value::{self, Oid};

/// Prepared statement, with the types of its parameters and results.
#[derive(Debug)]
pub(crate) struct PreparedStatement {
    text: String,
    plan: Plan,
    parameters: Vec<Oid>,
    names: Vec<String>,
    results: Vec<Oid>,
}

/// Portal: a prepared statement with bound parameters.
#[derive(Debug)]
pub(crate) struct Portal {
    prepared: Arc<PreparedStatement>,
    parameters: Vec<Value>,
    formats: Vec<i16>,
    /// Rows that are still to be sent. `None` until the portal is first executed.
    remaining_rows: Option<std::vec::IntoIter<Vec<Value>>>,
    tag: String,
}

impl Session {
    fn put_result(&mut self, result: Result<PgWireBackendMessage>) {
        match result {
            Ok(message) => self.put(&message),
            Err(error) => self.fail(&error),
        }
    }

    /// Sends an error and skips all further messages until `Sync`.
    pub(crate) fn fail(&mut self, error: &SqlError) {
        self.transaction.fail();
        self.skipping = true;
        self.put_error(error);
    }

    pub(crate) fn parse(&mut self, parse: Parse) {
        let name = parse.name.clone().unwrap_or_default();
        let result = self.prepare(parse).map(|prepared| {
            self.prepared.insert(name, Arc::new(prepared));
            PgWireBackendMessage::ParseComplete(ParseComplete::new())
        });
        self.put_result(result);
    }

    fn prepare(&mut self, parse: Parse) -> Result<PreparedStatement> {
        self.instance
            .checks
            .check_for_caller_keys(&self.instance.name, "statement", &parse.query);
        let mut plans = super::sql::parse(&parse.query)?;
        if plans.len() > 1 {
            return Err(SqlError::new(
                "42601",
                "cannot insert multiple commands into a prepared statement",
            ));
        }
        let plan = plans.remove(0);
        let mut prepared = PreparedStatement {
            text: parse.query,
            plan,
            parameters: Vec::new(),
            names: Vec::new(),
            results: Vec::new(),
        };
        let Some(statement) = &prepared.plan.statement else {
            return Ok(prepared);
        };
        let described = {
            let core = self.instance.core();
            let connection = self.tables(&core);
            let columns = types::Columns::of(statement, connection);
            prepared.parameters = types::parameters(statement, &columns, &parse.type_oids);
            describe_rows(connection, &prepared.plan, prepared.parameters.len())?
        };
        prepared.results = self.result_types(&prepared.plan, &described, &prepared.parameters);
        prepared.names = described.names;
        Ok(prepared)
    }

    pub(crate) fn bind(&mut self, bind: Bind) {
        let portal_name = bind.portal_name.clone().unwrap_or_default();
        let result = self.build_portal(bind).map(|portal| {
            self.portals.insert(portal_name, portal);
            PgWireBackendMessage::BindComplete(BindComplete::new())
        });
        self.put_result(result);
    }

    fn build_portal(&self, bind: Bind) -> Result<Portal> {
        let name = bind.statement_name.unwrap_or_default();
        let prepared = self
            .prepared
            .get(&name)
            .ok_or_else(|| not_found_error("prepared statement", &name))?;
        let mut parameters = Vec::with_capacity(bind.parameters.len());
        for (index, bytes) in bind.parameters.iter().enumerate() {
            let oid = prepared
                .parameters
                .get(index)
                .copied()
                .unwrap_or(value::TEXT);
            let binary = format_of(&bind.parameter_format_codes, index) == 1;
            parameters.push(match bytes {
                Some(bytes) => value::decode(oid, binary, bytes)?,
                None => Value::Null,
            });
        }
        Ok(Portal {
            prepared: Arc::clone(prepared),
            parameters,
            formats: bind.result_column_format_codes,
            remaining_rows: None,
            tag: String::new(),
        })
    }

    pub(crate) fn describe(&mut self, describe: &Describe) {
        let name = describe.name.clone().unwrap_or_default();
        let (prepared, formats) = if describe.target_type == b'S' {
            let Some(prepared) = self.prepared.get(&name).cloned() else {
                return self.fail(&not_found_error("prepared statement", &name));
            };
            let types = ParameterDescription::new(prepared.parameters.clone());
            self.put(&PgWireBackendMessage::ParameterDescription(types));
            (prepared, Vec::new())
        } else {
            let Some(portal) = self.portals.get(&name) else {
                return self.fail(&not_found_error("portal", &name));
            };
            (Arc::clone(&portal.prepared), portal.formats.clone())
        };
        if prepared.names.is_empty() {
            return self.put(&PgWireBackendMessage::NoData(NoData::new()));
        }
        self.put_row_description(&prepared.names, &prepared.results, &formats);
    }

    pub(crate) async fn execute(&mut self, execute: &Execute) -> std::io::Result<()> {
        let name = execute.name.clone().unwrap_or_default();
        let Some(mut portal) = self.portals.remove(&name) else {
            self.fail(&not_found_error("portal", &name));
            return Ok(());
        };
        match self.execute_portal(&mut portal, execute.max_rows).await {
            Ok(()) => {
                self.portals.insert(name, portal);
            }
            Err(error) => self.fail(&error),
        }
        Ok(())
    }

    async fn execute_portal(&mut self, portal: &mut Portal, max_rows: i32) -> Result<()> {
        let prepared = Arc::clone(&portal.prepared);
        match &prepared.plan.kind {
            Kind::Empty => {
                self.put(&PgWireBackendMessage::EmptyQueryResponse(
                    EmptyQueryResponse::new(),
                ));
                return Ok(());
            }
            Kind::CopyIn { .. } => return self.start_copy_in(&prepared.plan, false),
            Kind::CopyOut => return self.copy_out(&prepared.plan).await,
            _ => {}
        }
        if portal.remaining_rows.is_none() {
            self.check_text(&prepared.text);
            let outcome = self.run_plan(&prepared.plan, &portal.parameters).await?;
            portal.tag = outcome.tag;
            portal.remaining_rows = Some(
                outcome
                    .rows
                    .map_or(Vec::new(), |rows| rows.rows)
                    .into_iter(),
            );
        }
        let remaining_rows = portal.remaining_rows.as_mut().expect("rows were set above");
        let limit = usize::try_from(max_rows)
            .ok()
            .filter(|limit| *limit > 0)
            .unwrap_or(usize::MAX);
        let batch: Vec<_> = remaining_rows.take(limit).collect();
        let suspended = remaining_rows.len() > 0;
        self.put_rows(&batch, &prepared.results, &portal.formats)
            .await;
        if suspended {
            self.put(&PgWireBackendMessage::PortalSuspended(
                PortalSuspended::new(),
            ));
        } else {
            self.put_complete(&portal.tag);
        }
        Ok(())
    }

    pub(crate) fn close(&mut self, close: &Close) {
        let name = close.name.clone().unwrap_or_default();
        if close.target_type == b'S' {
            self.prepared.remove(&name);
        } else {
            self.portals.remove(&name);
        }
        self.put(&PgWireBackendMessage::CloseComplete(CloseComplete::new()));
    }

    /// Appends a `RowDescription` message to the output.
    pub(crate) fn put_row_description(&mut self, names: &[String], oids: &[Oid], formats: &[i16]) {
        let field = |(index, name): (usize, &String)| {
            let oid = oids[index];
            let format = format_of(formats, index);
            FieldDescription::new(name.clone(), 0, 0, oid, value::type_size(oid), -1, format)
        };
        let fields = names.iter().enumerate().map(field).collect();
        self.put(&PgWireBackendMessage::RowDescription(RowDescription::new(
            fields,
        )));
    }
}

/// Returns the column names and declared types of a statement's results, without running a write.
fn describe_rows(
    connection: &rusqlite::Connection,
    plan: &Plan,
    parameters: usize,
) -> Result<ResultSet> {
    match &plan.kind {
        Kind::Read | Kind::Write | Kind::Sleep { .. } => {}
        Kind::Show { name } => {
            return Ok(ResultSet {
                names: vec![name.clone()],
                ..ResultSet::default()
            });
        }
        Kind::Term(_) => {
            let names = ["adopted", "is_primary", "last"]
                .map(str::to_owned)
                .to_vec();
            return Ok(ResultSet {
                names,
                ..ResultSet::default()
            });
        }
        Kind::Set { .. } if plan.tag == "SELECT" => {
            return Ok(ResultSet {
                names: vec!["set_config".to_owned()],
                ..ResultSet::default()
            });
        }
        Kind::Terminate { .. } => {
            return Ok(ResultSet {
                names: vec!["pg_terminate_backend".to_owned()],
                ..ResultSet::default()
            });
        }
        _ => return Ok(ResultSet::default()),
    }
    let mut statement = connection.prepare_cached(&plan.sql)?;
    let names: Vec<_> = statement
        .columns()
        .map(|column| column.name().to_owned())
        .collect();
    let declared: Vec<_> = statement
        .columns()
        .map(|column| column.decl_type().map(str::to_owned))
        .collect();
    let mut rows = Vec::new();
    if plan.kind == Kind::Read && declared.contains(&None) {
        // Columns without a declared type take their type from the values of the first row.
        let nulls = vec![Value::Null; parameters.min(statement.parameter_count())];
        let mut found = statement.query(rusqlite::params_from_iter(nulls))?;
        if let Some(row) = found.next()? {
            let values: rusqlite::Result<Vec<Value>> =
                (0..names.len()).map(|index| row.get(index)).collect();
            rows.push(values?);
        }
    }
    Ok(ResultSet {
        names,
        declared,
        rows,
        changed: 0,
    })
}

fn not_found_error(kind: &str, name: &str) -> SqlError {
    let sqlstate = if kind == "portal" { "34000" } else { "26000" };
    SqlError::new(sqlstate, format!("{kind} \"{name}\" does not exist"))
}

/// Returns the format code of a column or parameter: 0 (text) when there are no codes, a single
/// code applies to all, otherwise there is one code for each.
pub(crate) fn format_of(formats: &[i16], index: usize) -> i16 {
    match formats {
        [] => 0,
        [one] => *one,
        many => many.get(index).copied().unwrap_or(0),
    }
}

/// Appends a `DataRow` message to the output.
pub(crate) fn put_row(out: &mut BytesMut, row: &[Value], oids: &[Oid], formats: &[i16]) {
    out.put_u8(b'D');
    let start = out.len();
    out.put_i32(0);
    out.put_i16(row.len() as i16);
    for (index, value) in row.iter().enumerate() {
        value::encode(out, oids[index], format_of(formats, index) == 1, value);
    }
    let length = (out.len() - start) as i32;
    out[start..start + 4].copy_from_slice(&length.to_be_bytes());
}
