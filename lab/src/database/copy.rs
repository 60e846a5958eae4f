//! `COPY FROM STDIN` and `COPY TO STDOUT`, in text format.

use std::sync::Arc;

use bytes::Bytes;
use pgwire::messages::PgWireBackendMessage;
use pgwire::messages::copy::{CopyData, CopyDone, CopyInResponse, CopyOutResponse};
use rusqlite::types::Value;

use super::error::{Result, SqlError};
use super::session::{FLUSH_BYTES, Session};
use super::sql::{Kind, Plan};
use super::value::{self, Oid};

/// `COPY FROM STDIN` in progress.
#[derive(Debug)]
pub(crate) struct CopyIn {
    insert: Arc<str>,
    oids: Vec<Oid>,
    data: Vec<u8>,
    /// Whether a simple query started it; the end of the copy then also ends that query.
    simple: bool,
}

impl Session {
    /// Starts `COPY FROM STDIN`.
    pub(crate) fn start_copy_in(&mut self, plan: &Plan, simple: bool) -> Result<()> {
        let Kind::CopyIn { table, columns } = &plan.kind else {
            return Err(SqlError::new("XX000", "not a COPY FROM STDIN"));
        };
        let known = {
            let core = self.instance.core();
            super::types::table_columns(self.tables(&core), table)
        };
        if known.is_empty() {
            return Err(SqlError::new(
                "42P01",
                format!("relation \"{table}\" does not exist"),
            ));
        }
        let target_columns: Vec<_> = if columns.is_empty() {
            known.clone()
        } else {
            let find = |name: &String| known.iter().find(|(known, _)| known == name).cloned();
            columns.iter().filter_map(find).collect()
        };
        let names: Vec<_> = target_columns
            .iter()
            .map(|(name, _)| name.as_str())
            .collect();
        let placeholders: Vec<_> = (1..=names.len())
            .map(|number| format!("?{number}"))
            .collect();
        let insert = format!(
            "INSERT INTO {table} ({}) VALUES ({})",
            names.join(", "),
            placeholders.join(", ")
        );
        let formats = vec![0; target_columns.len()];
        let response = CopyInResponse::new(0, target_columns.len() as i16, formats);
        self.put(&PgWireBackendMessage::CopyInResponse(response));
        self.copy_in = Some(CopyIn {
            insert: Arc::from(insert),
            oids: target_columns.into_iter().map(|(_, oid)| oid).collect(),
            data: Vec::new(),
            simple,
        });
        Ok(())
    }

    pub(crate) fn copy_data(&mut self, data: &Bytes) {
        if let Some(copy) = &mut self.copy_in {
            copy.data.extend_from_slice(data);
        }
    }

    pub(crate) fn copy_done(&mut self) {
        let Some(copy) = self.copy_in.take() else {
            return;
        };
        let result = self.insert_lines(&copy);
        match result {
            Ok(count) => self.put_complete(&format!("COPY {count}")),
            Err(error) => self.fail(&error),
        }
        self.end_copy(&copy);
    }

    pub(crate) fn copy_fail(&mut self, message: &str) {
        let Some(copy) = self.copy_in.take() else {
            return;
        };
        self.fail(&SqlError::new(
            "57014",
            format!("COPY from stdin failed: {message}"),
        ));
        self.end_copy(&copy);
    }

    fn end_copy(&mut self, copy: &CopyIn) {
        if copy.simple {
            self.skipping = false;
            self.end_simple_query();
        }
    }

    fn insert_lines(&mut self, copy: &CopyIn) -> Result<usize> {
        let instance = Arc::clone(&self.instance);
        self.transaction.start_write(&instance)?;
        let text = std::str::from_utf8(&copy.data)
            .map_err(|error| SqlError::new("22021", error.to_string()))?;
        let mut count = 0;
        for line in text.lines().take_while(|line| *line != "\\.") {
            let values = decode_line(line, &copy.oids)?;
            {
                let core = instance.core();
                self.transaction.check_generation(core.generation)?;
                self.run_on_tables(&core, &copy.insert, &values)?;
            }
            self.transaction.log(&copy.insert, &values);
            count += 1;
        }
        Ok(count)
    }

    /// Runs `COPY TO STDOUT`.
    pub(crate) async fn copy_out(&mut self, plan: &Plan) -> Result<()> {
        let rows = {
            let core = self.instance.core();
            self.run_on_tables(&core, &plan.sql, &[])?
        };
        let oids = self.result_types(plan, &rows, &[]);
        let response = CopyOutResponse::new(0, oids.len() as i16, vec![0; oids.len()]);
        self.put(&PgWireBackendMessage::CopyOutResponse(response));
        for row in &rows.rows {
            let data = CopyData::new(Bytes::from(encode_line(row, &oids)));
            self.put(&PgWireBackendMessage::CopyData(data));
            if self.out.len() >= FLUSH_BYTES && self.flush().await.is_err() {
                break;
            }
        }
        self.put(&PgWireBackendMessage::CopyDone(CopyDone::new()));
        self.put_complete(&format!("COPY {}", rows.rows.len()));
        Ok(())
    }
}

fn decode_line(line: &str, oids: &[Oid]) -> Result<Vec<Value>> {
    let fields: Vec<_> = line.split('\t').collect();
    if fields.len() != oids.len() {
        let message = format!(
            "expected {} columns in a COPY line, found {}",
            oids.len(),
            fields.len()
        );
        return Err(SqlError::new("22P04", message));
    }
    let value = |(field, oid): (&&str, &Oid)| {
        if *field == "\\N" {
            return Ok(Value::Null);
        }
        value::decode_text(*oid, &unescape(field)).ok_or_else(|| {
            SqlError::new("22P02", format!("invalid value for a column of type {oid}"))
        })
    };
    fields.iter().zip(oids).map(value).collect()
}

fn unescape(field: &str) -> String {
    let mut text = String::with_capacity(field.len());
    let mut characters = field.chars();
    while let Some(character) = characters.next() {
        if character != '\\' {
            text.push(character);
            continue;
        }
        match characters.next() {
            Some('n') => text.push('\n'),
            Some('t') => text.push('\t'),
            Some('r') => text.push('\r'),
            Some(other) => text.push(other),
            None => {}
        }
    }
    text
}

fn encode_line(row: &[Value], oids: &[Oid]) -> String {
    let field = |(value, oid): (&Value, &Oid)| match value {
        Value::Null => "\\N".to_owned(),
        value => value::text_of(*oid, value)
            .replace('\\', "\\\\")
            .replace('\t', "\\t")
            .replace('\n', "\\n")
            .replace('\r', "\\r"),
    };
    let fields: Vec<_> = row.iter().zip(oids).map(field).collect();
    fields.join("\t") + "\n"
}
