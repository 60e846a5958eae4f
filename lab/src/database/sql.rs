//! Planning of statements: parsed as PostgreSQL, classified, and rewritten for SQLite.

use std::sync::Arc;

use sqlparser::ast::{
    CopySource, CopyTarget, Set, Statement, TransactionAccessMode, TransactionMode,
};
use sqlparser::dialect::PostgreSqlDialect;
use sqlparser::parser::Parser;

use super::error::{Result, SqlError};
use super::rewrite;

/// Parsed statement, ready to run.
#[derive(Debug)]
pub(crate) struct Plan {
    /// Kind of the statement, with its arguments.
    pub(crate) kind: Kind,
    /// The statement in the SQL dialect of SQLite.
    pub(crate) sql: Arc<str>,
    /// The statement as parsed, before it was rewritten for SQLite. `None` for an empty query.
    pub(crate) statement: Option<Statement>,
    /// Tag of `CommandComplete`, without the row count.
    pub(crate) tag: &'static str,
}

/// Kind of a statement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Kind {
    Empty,
    Read,
    Write,
    Begin {
        read_only: bool,
    },
    Commit,
    Rollback,
    Savepoint,
    Set {
        name: String,
        value: String,
    },
    Reset,
    Show {
        name: String,
    },
    Listen {
        channel: String,
    },
    Unlisten,
    CopyIn {
        table: String,
        columns: Vec<String>,
    },
    CopyOut,
    Deallocate {
        name: Option<String>,
    },
    Term(TermCall),
    Terminate {
        like: String,
        except: Option<String>,
    },
    Sleep {
        seconds: String,
    },
    /// Rows that all hold the same repeated text; generated while they are sent.
    Series {
        bytes: usize,
        rows: u64,
    },
    Ignored,
}

/// Call of one of the `currantlb_*` functions, which report or change the term.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum TermCall {
    Status,
    Adopt { term: String },
    Promote { term: String },
    Follow { term: String, primary: String },
}

/// Parses a text of one or more statements.
///
/// # Errors
///
/// Fails when the text is not valid PostgreSQL SQL, or when the stand-in doesn't support a
/// statement.
pub(crate) fn parse(text: &str) -> Result<Vec<Plan>> {
    let statements = Parser::parse_sql(&PostgreSqlDialect {}, text)
        .map_err(|error| SqlError::new("42601", error.to_string()))?;
    if statements.is_empty() {
        return Ok(vec![Plan {
            kind: Kind::Empty,
            sql: Arc::from(""),
            statement: None,
            tag: "",
        }]);
    }
    statements.into_iter().map(plan).collect()
}

fn plan(mut statement: Statement) -> Result<Plan> {
    let (kind, tag) = classify(&statement)?;
    let parsed = statement.clone();
    if matches!(
        kind,
        Kind::Read | Kind::Write | Kind::CopyOut | Kind::Sleep { .. }
    ) {
        rewrite::for_sqlite(&mut statement);
    }
    let sql = match &statement {
        Statement::Copy {
            source: CopySource::Query(query),
            ..
        } => query.to_string(),
        Statement::Copy {
            source:
                CopySource::Table {
                    table_name,
                    columns,
                },
            ..
        } => {
            let columns: Vec<_> = columns.iter().map(ToString::to_string).collect();
            let list = if columns.is_empty() {
                "*".to_owned()
            } else {
                columns.join(", ")
            };
            format!("SELECT {list} FROM {table_name}")
        }
        Statement::Truncate(truncate) => {
            let tables = &truncate.table_names;
            format!(
                "DELETE FROM {}",
                tables
                    .first()
                    .map_or(String::new(), |table| table.name.to_string())
            )
        }
        other => other.to_string(),
    };
    Ok(Plan {
        kind,
        sql: Arc::from(sql),
        statement: Some(parsed),
        tag,
    })
}

fn classify(statement: &Statement) -> Result<(Kind, &'static str)> {
    if let Some(tag) = write_tag(statement) {
        return Ok((Kind::Write, tag));
    }
    let classified = match statement {
        Statement::Query(query) => (classify_query(query), "SELECT"),
        Statement::StartTransaction { modes, .. } => {
            let read_only = TransactionMode::AccessMode(TransactionAccessMode::ReadOnly);
            (
                Kind::Begin {
                    read_only: modes.contains(&read_only),
                },
                "BEGIN",
            )
        }
        Statement::Commit { .. } => (Kind::Commit, "COMMIT"),
        Statement::Rollback {
            savepoint: None, ..
        } => (Kind::Rollback, "ROLLBACK"),
        Statement::Rollback { .. } => (Kind::Savepoint, "ROLLBACK"),
        Statement::Savepoint { .. } => (Kind::Savepoint, "SAVEPOINT"),
        Statement::ReleaseSavepoint { .. } => (Kind::Savepoint, "RELEASE"),
        Statement::Set(set) => (classify_set(set), "SET"),
        Statement::Reset(_) => (Kind::Reset, "RESET"),
        Statement::Discard { .. } => (Kind::Reset, "DISCARD ALL"),
        Statement::ShowVariable { variable } => {
            let words: Vec<_> = variable
                .iter()
                .map(|word| word.value.to_lowercase())
                .collect();
            (
                Kind::Show {
                    name: words.join("_"),
                },
                "SHOW",
            )
        }
        Statement::LISTEN { channel } => (
            Kind::Listen {
                channel: channel.value.clone(),
            },
            "LISTEN",
        ),
        Statement::UNLISTEN { .. } => (Kind::Unlisten, "UNLISTEN"),
        Statement::NOTIFY { .. } | Statement::Lock(_) => (Kind::Ignored, "NOTIFY"),
        Statement::Deallocate { name, .. } => {
            let all = name.value.eq_ignore_ascii_case("all");
            (
                Kind::Deallocate {
                    name: (!all).then(|| name.value.clone()),
                },
                "DEALLOCATE",
            )
        }
        Statement::Copy { .. } => (classify_copy(statement)?, "COPY"),
        other => {
            let message = format!("the stand-in database does not run this statement: {other}");
            return Err(SqlError::new("0A000", message));
        }
    };
    Ok(classified)
}

fn write_tag(statement: &Statement) -> Option<&'static str> {
    match statement {
        Statement::Insert(_) => Some("INSERT 0"),
        Statement::Update(_) => Some("UPDATE"),
        Statement::Delete(_) => Some("DELETE"),
        Statement::CreateTable(_) => Some("CREATE TABLE"),
        Statement::CreateIndex(_) => Some("CREATE INDEX"),
        Statement::CreateView(_) => Some("CREATE VIEW"),
        Statement::AlterTable(_) => Some("ALTER TABLE"),
        Statement::Drop { .. } => Some("DROP TABLE"),
        Statement::Truncate(_) => Some("TRUNCATE TABLE"),
        _ => None,
    }
}

fn classify_query(query: &sqlparser::ast::Query) -> Kind {
    let text = query.to_string();
    if let Some(call) = term_call(&text) {
        return Kind::Term(call);
    }
    let mut literals = literals(&text).into_iter();
    if text.contains("set_config(") {
        let name = literals.next().unwrap_or_default();
        return Kind::Set {
            name,
            value: literals.next().unwrap_or_default(),
        };
    }
    if text.contains("pg_terminate_backend") && text.contains("pg_stat_activity") {
        let like = literals.next().unwrap_or_default();
        return Kind::Terminate {
            like,
            except: literals.next(),
        };
    }
    if let Some((_, rest)) = text.split_once("pg_sleep(") {
        let seconds = rest
            .split(')')
            .next()
            .unwrap_or_default()
            .trim_matches('\'');
        return Kind::Sleep {
            seconds: seconds.to_owned(),
        };
    }
    if let Some((bytes, rows)) = series(&text) {
        return Kind::Series { bytes, rows };
    }
    let writes = ["INSERT ", "UPDATE ", "DELETE "];
    if !query.locks.is_empty()
        || (query.with.is_some() && writes.iter().any(|word| text.contains(word)))
    {
        return Kind::Write;
    }
    Kind::Read
}

fn term_call(text: &str) -> Option<TermCall> {
    let (_, rest) = text.split_once("FROM currantlb_")?;
    let (function, _) = rest.split_once('(')?;
    let mut literals = literals(rest).into_iter();
    let mut next = || literals.next().unwrap_or_default();
    match function {
        "status" => Some(TermCall::Status),
        "adopt" => Some(TermCall::Adopt { term: next() }),
        "promote" => Some(TermCall::Promote { term: next() }),
        "follow" => Some(TermCall::Follow {
            term: next(),
            primary: next(),
        }),
        _ => None,
    }
}

/// Parses `SELECT repeat('x', BYTES) FROM generate_series(1, ROWS)`.
fn series(text: &str) -> Option<(usize, u64)> {
    let rest = text.strip_prefix("SELECT repeat('x', ")?;
    let (bytes, rest) = rest.split_once(") FROM generate_series(1, ")?;
    Some((bytes.parse().ok()?, rest.strip_suffix(')')?.parse().ok()?))
}

/// Returns the single-quoted literals of a statement, in order.
fn literals(text: &str) -> Vec<String> {
    text.split('\'')
        .skip(1)
        .step_by(2)
        .map(str::to_owned)
        .collect()
}

fn classify_set(set: &Set) -> Kind {
    let (name, value) = match set {
        Set::SingleAssignment {
            variable, values, ..
        } => {
            let values: Vec<_> = values.iter().map(ToString::to_string).collect();
            (variable.to_string().to_lowercase(), values.join(", "))
        }
        Set::SetTimeZone { value, .. } => ("timezone".to_owned(), value.to_string()),
        Set::SetNames { charset_name, .. } => {
            ("client_encoding".to_owned(), charset_name.value.clone())
        }
        _ => return Kind::Ignored,
    };
    Kind::Set {
        name,
        value: value.trim_matches('\'').to_owned(),
    }
}

fn classify_copy(statement: &Statement) -> Result<Kind> {
    let Statement::Copy {
        source, to, target, ..
    } = statement
    else {
        return Ok(Kind::Ignored);
    };
    match (to, target, source) {
        (true, CopyTarget::Stdout, _) => Ok(Kind::CopyOut),
        (
            false,
            CopyTarget::Stdin,
            CopySource::Table {
                table_name,
                columns,
            },
        ) => Ok(Kind::CopyIn {
            table: table_name.to_string(),
            columns: columns.iter().map(ToString::to_string).collect(),
        }),
        _ => Err(SqlError::new(
            "0A000",
            "the stand-in database copies only to STDOUT and from STDIN",
        )),
    }
}

#[cfg(test)]
mod tests;
