//! Tables of an instance: the committed tables, and a working copy for each open write transaction.

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

/// Copies all pages in one step of an SQLite backup.
const ALL_PAGES: i32 = -1;

/// Result of one statement.
#[derive(Debug, Default, Clone)]
pub(crate) struct ResultSet {
    /// Names of the columns.
    pub(crate) names: Vec<String>,
    /// Declared types of the columns. `None` for a column that is computed.
    pub(crate) declared: Vec<Option<String>>,
    /// Values of the rows.
    pub(crate) rows: Vec<Vec<Value>>,
    /// Number of rows that the statement changed.
    pub(crate) changed: usize,
}

/// Inputs of functions such as `now()` and `random()`. They are set from the log entry, so that
/// these functions return the same results on every instance.
#[derive(Debug, Default)]
struct FunctionInputs {
    now_ms: AtomicI64,
    seed: AtomicU64,
}

/// Tables of an instance.
pub(crate) struct Store {
    committed: Connection,
    function_inputs: Arc<FunctionInputs>,
}

/// Copy of the tables that a write transaction works on.
///
/// At commit, its statements run again on the committed tables. This way no transaction waits for
/// another.
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
        let function_inputs = Arc::new(FunctionInputs::default());
        let committed = connect(&function_inputs)?;
        Ok(Self {
            committed,
            function_inputs,
        })
    }

    /// Returns the committed tables.
    pub(crate) fn connection(&self) -> &Connection {
        &self.committed
    }

    /// Runs a statement that only reads on the committed tables.
    pub(crate) fn run(&self, sql: &str, parameters: &[Value]) -> Result<ResultSet> {
        run(&self.committed, sql, parameters)
    }

    /// Copies the committed tables for a write transaction.
    pub(crate) fn working_copy(&self, now_ms: i64, seed: u64) -> Result<WorkingCopy> {
        let function_inputs = Arc::new(FunctionInputs::default());
        function_inputs.set(now_ms, seed);
        let mut connection = connect(&function_inputs)?;
        let backup = Backup::new(&self.committed, &mut connection)?;
        backup.step(ALL_PAGES)?;
        drop(backup);
        connection.execute_batch("BEGIN")?;
        Ok(WorkingCopy { connection })
    }

    /// Applies a log entry to the committed tables.
    ///
    /// # Errors
    ///
    /// Fails, and leaves the tables unchanged, when the entry conflicts with one applied before.
    pub(crate) fn apply(&self, entry: &Entry) -> Result<()> {
        let applied = apply(&self.committed, &self.function_inputs, entry);
        if applied.is_err() {
            // This fails only if SQLite has already rolled back the transaction.
            let _ = self.committed.execute_batch("ROLLBACK");
        }
        applied
    }

    /// Rebuilds the tables by applying all entries of a log.
    pub(crate) fn rebuild(&mut self, log: &[Arc<Entry>]) -> Result<()> {
        *self = Self::new()?;
        log.iter().try_for_each(|entry| self.apply(entry))
    }
}

impl FunctionInputs {
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

fn apply(connection: &Connection, function_inputs: &FunctionInputs, entry: &Entry) -> Result<()> {
    function_inputs.set(entry.now_ms, entry.seed);
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
    let parameter_count = statement.parameter_count().min(parameters.len());
    let mut found = Vec::new();
    let mut rows = statement.query(params_from_iter(&parameters[..parameter_count]))?;
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

fn connect(function_inputs: &Arc<FunctionInputs>) -> Result<Connection> {
    let connection = Connection::open_in_memory()?;
    connection.set_prepared_statement_cache_capacity(256);
    let constant = FunctionFlags::SQLITE_UTF8 | FunctionFlags::SQLITE_DETERMINISTIC;
    let text_functions = [
        ("version", "PostgreSQL 16.0 (currantlb stand-in)"),
        ("current_database", "stand-in"),
    ];
    for (name, text) in text_functions {
        connection.create_scalar_function(name, 0, constant, move |_| Ok(text))?;
    }
    for name in ["pg_advisory_xact_lock", "pg_sleep"] {
        connection.create_scalar_function(name, 1, constant, |_| Ok(""))?;
    }
    connection.create_scalar_function("repeat", 2, constant, |context| {
        Ok(context
            .get::<String>(0)?
            .repeat(context.get::<i64>(1)?.max(0) as usize))
    })?;
    let clock = Arc::clone(function_inputs);
    connection.create_scalar_function("now", 0, FunctionFlags::SQLITE_UTF8, move |_| {
        Ok(clock.now_ms.load(Ordering::Relaxed).to_string())
    })?;
    let source = Arc::clone(function_inputs);
    connection.create_scalar_function("random", 0, FunctionFlags::SQLITE_UTF8, move |_| {
        Ok((source.next_random() >> 11) as f64 / (1_u64 << 53) as f64)
    })?;
    let source = Arc::clone(function_inputs);
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
