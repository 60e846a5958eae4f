//! The tables of one instance: what is committed, and a copy for each open transaction.

use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};
use std::sync::Arc;
use std::sync::atomic::{AtomicI64, AtomicU64, Ordering};

use rusqlite::backup::Backup;
use rusqlite::functions::FunctionFlags;
use rusqlite::types::Value;
use rusqlite::{Connection, params_from_iter};

use super::error::Result;
use super::log::{Entry, LoggedStatement};

/// Pages that one step of a copy takes: all of them.
const ALL_PAGES: i32 = -1;

/// Answer of one statement.
#[derive(Debug, Default, Clone)]
pub(crate) struct ResultSet {
    /// Names of the columns.
    pub(crate) names: Vec<String>,
    /// Types that the columns were declared with.
    pub(crate) declared: Vec<Option<String>>,
    /// The rows.
    pub(crate) rows: Vec<Vec<Value>>,
    /// Rows that the statement changed.
    pub(crate) changed: usize,
}

/// What makes functions such as `now()` give the same result on every instance.
#[derive(Debug, Default)]
struct Determinism {
    now_ms: AtomicI64,
    seed: AtomicU64,
}

/// The tables of one instance.
pub(crate) struct Store {
    committed: Connection,
    determinism: Arc<Determinism>,
}

/// Copy of the tables that one write transaction works on.
///
/// Its statements run again on the committed tables when it commits, so that no transaction waits
/// for another one.
pub(crate) struct WorkingCopy {
    connection: Connection,
}

impl WorkingCopy {
    pub(crate) fn connection(&self) -> &Connection {
        &self.connection
    }

    /// Runs one statement.
    pub(crate) fn run(&self, sql: &str, parameters: &[Value]) -> Result<ResultSet> {
        run(&self.connection, sql, parameters)
    }
}

impl Store {
    pub(crate) fn new() -> Result<Self> {
        let determinism = Arc::new(Determinism::default());
        let committed = connect(&determinism)?;
        Ok(Self {
            committed,
            determinism,
        })
    }

    /// Returns the committed tables.
    pub(crate) fn connection(&self) -> &Connection {
        &self.committed
    }

    /// Runs one statement that reads.
    pub(crate) fn run(&self, sql: &str, parameters: &[Value]) -> Result<ResultSet> {
        run(&self.committed, sql, parameters)
    }

    /// Copies the committed tables for a transaction that writes.
    pub(crate) fn working_copy(&self, now_ms: i64, seed: u64) -> Result<WorkingCopy> {
        let determinism = Arc::new(Determinism::default());
        determinism.set(now_ms, seed);
        let mut connection = connect(&determinism)?;
        let backup = Backup::new(&self.committed, &mut connection)?;
        backup.step(ALL_PAGES)?;
        drop(backup);
        connection.execute_batch("BEGIN")?;
        Ok(WorkingCopy { connection })
    }

    /// Applies an entry of the log.
    ///
    /// # Errors
    ///
    /// Fails, without effect, when another transaction has committed what contradicts the entry.
    pub(crate) fn apply(&self, entry: &Entry) -> Result<()> {
        let applied = apply(&self.committed, &self.determinism, entry);
        if applied.is_err() {
            // SQLite has ended the transaction itself when this fails.
            let _ = self.committed.execute_batch("ROLLBACK");
        }
        applied
    }

    /// Builds the tables anew from a log.
    pub(crate) fn rebuild(&mut self, log: &[Arc<Entry>]) -> Result<()> {
        *self = Self::new()?;
        log.iter().try_for_each(|entry| self.apply(entry))
    }
}

impl Determinism {
    fn set(&self, now_ms: i64, seed: u64) {
        self.now_ms.store(now_ms, Ordering::Relaxed);
        self.seed.store(seed, Ordering::Relaxed);
    }

    fn next_random(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        self.seed.fetch_add(1, Ordering::Relaxed).hash(&mut hasher);
        hasher.finish()
    }
}

fn apply(connection: &Connection, determinism: &Determinism, entry: &Entry) -> Result<()> {
    determinism.set(entry.now_ms, entry.seed);
    connection.execute_batch("BEGIN")?;
    for LoggedStatement { sql, parameters } in &entry.statements {
        run(connection, sql, parameters)?;
    }
    connection.execute_batch("COMMIT")?;
    Ok(())
}

fn run(connection: &Connection, sql: &str, parameters: &[Value]) -> Result<ResultSet> {
    let mut statement = connection.prepare_cached(sql)?;
    let columns = statement.columns();
    let names: Vec<_> = columns.map(|column| column.name().to_owned()).collect();
    let declared = statement
        .columns()
        .map(|column| column.decl_type().map(str::to_owned))
        .collect();
    let wanted = statement.parameter_count().min(parameters.len());
    let mut found = Vec::new();
    let mut rows = statement.query(params_from_iter(&parameters[..wanted]))?;
    while let Some(row) = rows.next()? {
        let values: rusqlite::Result<Vec<Value>> =
            (0..names.len()).map(|index| row.get(index)).collect();
        found.push(values?);
    }
    drop(rows);
    let changed = if statement.readonly() {
        0
    } else {
        connection.changes() as usize
    };
    Ok(ResultSet {
        names,
        declared,
        rows: found,
        changed,
    })
}

fn connect(determinism: &Arc<Determinism>) -> Result<Connection> {
    let connection = Connection::open_in_memory()?;
    connection.set_prepared_statement_cache_capacity(256);
    let constant = FunctionFlags::SQLITE_UTF8 | FunctionFlags::SQLITE_DETERMINISTIC;
    let text_functions = [
        ("version", "PostgreSQL 16.0 (currantlb stand-in)"),
        ("current_database", "stand-in"),
    ];
    for (name, answer) in text_functions {
        connection.create_scalar_function(name, 0, constant, move |_| Ok(answer))?;
    }
    for name in ["pg_advisory_xact_lock", "pg_sleep"] {
        connection.create_scalar_function(name, 1, constant, |_| Ok(""))?;
    }
    connection.create_scalar_function("repeat", 2, constant, |context| {
        Ok(context
            .get::<String>(0)?
            .repeat(context.get::<i64>(1)?.max(0) as usize))
    })?;
    let clock = Arc::clone(determinism);
    connection.create_scalar_function("now", 0, FunctionFlags::SQLITE_UTF8, move |_| {
        Ok(clock.now_ms.load(Ordering::Relaxed).to_string())
    })?;
    let source = Arc::clone(determinism);
    connection.create_scalar_function("random", 0, FunctionFlags::SQLITE_UTF8, move |_| {
        Ok((source.next_random() >> 11) as f64 / (1_u64 << 53) as f64)
    })?;
    let source = Arc::clone(determinism);
    connection.create_scalar_function(
        "gen_random_uuid",
        0,
        FunctionFlags::SQLITE_UTF8,
        move |_| {
            let (high, low) = (source.next_random(), source.next_random());
            Ok(format!(
                "{:08x}-{:04x}-4{:03x}-8{:03x}-{:012x}",
                high >> 32,
                (high >> 16) & 0xffff,
                high & 0xfff,
                low >> 52,
                low & 0xffff_ffff_ffff
            ))
        },
    )?;
    Ok(connection)
}
