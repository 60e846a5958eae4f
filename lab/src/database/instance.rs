//! One instance: its log, tables, term and sessions.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicI32, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use currantlb::position::{LogPosition, Term};
use tokio::sync::{Notify, watch};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::checks::Checks;
use super::error::{Result, SqlError};
use super::log::{Entry, LoggedStatement, first_term, last_position};
use super::network::Network;
use super::store::{Store, WorkingCopy};

/// State that an instance reports.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// Highest term that the instance has adopted.
    pub adopted: Term,
    /// Whether it is the primary of that term.
    pub is_primary: bool,
    /// Position of the last entry in its log.
    pub last: LogPosition,
}

/// Handle by which other tasks cancel the statement of a session or end the session.
#[derive(Debug)]
pub(crate) struct SessionHandle {
    pub(crate) application_name: String,
    pub(crate) secret: i32,
    pub(crate) cancel: Arc<Notify>,
    pub(crate) end: CancellationToken,
}

/// Limits and delays of an instance.
#[derive(Debug, Clone)]
pub struct InstanceLimits {
    /// Number of statements that may run concurrently.
    pub slots: u32,
    /// Number of connections that may be open.
    pub connections: u32,
    /// Time to establish a connection, after the password was checked.
    pub connect_time_ms: u64,
    /// Delay added to each statement before it runs.
    pub service_time_ms: u64,
}

impl Default for InstanceLimits {
    fn default() -> Self {
        Self {
            slots: 3,
            connections: 20,
            connect_time_ms: 10,
            service_time_ms: 0,
        }
    }
}

/// Replicated state of an instance: its log and tables, and its term and role.
pub(crate) struct Core {
    pub(crate) store: Store,
    pub(crate) log: Vec<Arc<Entry>>,
    pub(crate) adopted: Term,
    pub(crate) is_primary: bool,
    pub(crate) followed_primary: Option<String>,
    /// Whether the log was compared with the primary's in this term, and entries that the primary
    /// doesn't have were removed.
    pub(crate) synced: bool,
    /// Incremented when the instance stops being the primary; write transactions of an older
    /// generation can no longer commit.
    pub(crate) generation: u64,
}

/// Write transaction in progress.
pub(crate) struct WriteTransaction {
    pub(crate) copy: WorkingCopy,
    pub(crate) generation: u64,
    pub(crate) statements: Vec<LoggedStatement>,
    now_ms: i64,
    seed: u64,
}

/// One instance of a group.
pub(crate) struct Instance {
    pub(crate) name: String,
    pub(crate) address: SocketAddr,
    pub(crate) limits: InstanceLimits,
    pub(crate) password: Option<String>,
    pub(crate) network: Network,
    pub(crate) checks: Arc<Checks>,
    pub(crate) sessions: Mutex<HashMap<i32, SessionHandle>>,
    pub(crate) running: AtomicU32,
    pub(crate) statements: AtomicU64,
    pub(crate) replica_statements: AtomicU64,
    /// Delay of each statement in addition to the one in `limits`.
    pub(crate) statement_delay_ms: AtomicU64,
    pub(crate) lag_ms: AtomicU64,
    /// Number of changes in the whole group. All replicas wait on it and check for new log entries
    /// when it changes.
    pub(crate) changed: watch::Sender<u64>,
    core: Mutex<Core>,
    report: watch::Sender<Report>,
    next_pid: AtomicI32,
    next_seed: AtomicU64,
}

impl std::fmt::Debug for Instance {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Instance")
            .field("name", &self.name)
            .field("address", &self.address)
            .finish_non_exhaustive()
    }
}

/// Values that an instance is created from.
#[derive(Debug)]
pub(crate) struct InstanceOptions {
    pub(crate) name: String,
    pub(crate) address: SocketAddr,
    pub(crate) limits: InstanceLimits,
    pub(crate) password: Option<String>,
    pub(crate) checks: Arc<Checks>,
    pub(crate) changed: watch::Sender<u64>,
    pub(crate) primary: String,
    pub(crate) lag: Duration,
    pub(crate) delay: Duration,
}

impl Instance {
    pub(crate) fn new(options: InstanceOptions) -> Result<Self> {
        let is_primary = options.name == options.primary;
        let report = Report {
            adopted: first_term(),
            is_primary,
            last: last_position(&[]),
        };
        let core = Core {
            store: Store::new()?,
            log: Vec::new(),
            adopted: first_term(),
            is_primary,
            followed_primary: (!is_primary).then_some(options.primary),
            synced: false,
            generation: 0,
        };
        Ok(Self {
            name: options.name,
            address: options.address,
            limits: options.limits,
            password: options.password,
            network: Network::new(options.delay),
            checks: options.checks,
            sessions: Mutex::default(),
            running: AtomicU32::new(0),
            statements: AtomicU64::new(0),
            replica_statements: AtomicU64::new(0),
            statement_delay_ms: AtomicU64::new(0),
            lag_ms: AtomicU64::new(options.lag.as_millis() as u64),
            changed: options.changed,
            core: Mutex::new(core),
            report: watch::Sender::new(report),
            next_pid: AtomicI32::new(1),
            next_seed: AtomicU64::new(1),
        })
    }

    pub(crate) fn core(&self) -> MutexGuard<'_, Core> {
        self.core
            .lock()
            .expect("no code panics while it holds the lock")
    }

    pub(crate) fn sessions(&self) -> MutexGuard<'_, HashMap<i32, SessionHandle>> {
        self.sessions
            .lock()
            .expect("no code panics while it holds the lock")
    }

    pub(crate) fn next_pid(&self) -> i32 {
        self.next_pid.fetch_add(1, Ordering::Relaxed)
    }

    pub(crate) fn report(&self) -> Report {
        self.report.borrow().clone()
    }

    pub(crate) fn reports(&self) -> watch::Receiver<Report> {
        self.report.subscribe()
    }

    /// Publishes the current report to the sessions, and wakes all replicas of the group.
    pub(crate) fn notify_changed(&self, core: &Core) {
        let report = Report {
            adopted: core.adopted.clone(),
            is_primary: core.is_primary,
            last: last_position(&core.log),
        };
        self.report.send_if_modified(|current| {
            let differs = *current != report;
            *current = report;
            differs
        });
        self.changed.send_modify(|count| *count += 1);
    }

    /// Starts a write transaction.
    ///
    /// # Errors
    ///
    /// Fails when the instance is not the primary.
    pub(crate) fn begin_write(&self) -> Result<WriteTransaction> {
        let core = self.core();
        if !core.is_primary {
            return Err(SqlError::read_only());
        }
        let now_ms = now_ms();
        let seed = seed_of(&self.name, self.next_seed.fetch_add(1, Ordering::Relaxed));
        let copy = core.store.working_copy(now_ms, seed)?;
        Ok(WriteTransaction {
            copy,
            generation: core.generation,
            now_ms,
            seed,
            statements: Vec::new(),
        })
    }

    /// Commits a write transaction.
    ///
    /// # Errors
    ///
    /// Fails when the instance has stopped being the primary since the transaction began, or when
    /// the transaction conflicts with one that has committed since.
    pub(crate) fn commit(&self, write: WriteTransaction) -> Result<()> {
        let WriteTransaction {
            generation,
            now_ms,
            seed,
            statements,
            ..
        } = write;
        let mut core = self.core();
        if core.generation != generation {
            return Err(SqlError::read_only());
        }
        if statements.is_empty() {
            return Ok(());
        }
        let position = LogPosition {
            term: core.adopted.clone(),
            position: core.log.len() as u64 + 1,
        };
        let entry = Entry {
            position,
            statements,
            now_ms,
            seed,
            committed_at: Instant::now(),
        };
        core.store.apply(&entry)?;
        core.log.push(Arc::new(entry));
        self.notify_changed(&core);
        Ok(())
    }

    /// Adopts a term if it is higher than the current one, and stops being the primary. Returns
    /// whether the term was adopted.
    pub(crate) fn adopt(&self, term: &Term) -> bool {
        let mut core = self.core();
        if *term <= core.adopted {
            return false;
        }
        core.adopted = term.clone();
        core.synced = false;
        core.followed_primary = None;
        if std::mem::take(&mut core.is_primary) {
            core.generation += 1;
        }
        self.notify_changed(&core);
        true
    }

    /// Becomes the primary of the adopted term, and appends an empty entry that starts the term in
    /// the log. Does nothing when another term is adopted, or when the instance already is the
    /// primary or follows one.
    ///
    /// # Errors
    ///
    /// Fails when the store can't apply the entry.
    pub(crate) fn promote(&self, term: &Term) -> Result<()> {
        let mut core = self.core();
        if core.adopted != *term || core.followed_primary.is_some() || core.is_primary {
            return Ok(());
        }
        let entry = Entry {
            position: LogPosition {
                term: term.clone(),
                position: core.log.len() as u64 + 1,
            },
            statements: Vec::new(),
            now_ms: now_ms(),
            seed: 0,
            committed_at: Instant::now(),
        };
        core.store.apply(&entry)?;
        core.log.push(Arc::new(entry));
        core.is_primary = true;
        self.notify_changed(&core);
        Ok(())
    }

    /// Starts replicating from the primary of a term, which is adopted first if it is higher.
    ///
    /// # Errors
    ///
    /// Fails when a higher term is already adopted.
    pub(crate) fn follow(&self, term: &Term, primary: &str) -> Result<()> {
        self.adopt(term);
        let mut core = self.core();
        if core.adopted > *term {
            return Err(SqlError::new(
                "55000",
                format!("term {} has been adopted", core.adopted),
            ));
        }
        if !core.is_primary && primary != self.name {
            core.followed_primary = Some(primary.to_owned());
            self.notify_changed(&core);
        }
        Ok(())
    }

    /// Closes all sessions immediately, as if the process had died.
    pub(crate) fn drop_sessions(&self) {
        for session in self.sessions().values() {
            session.end.cancel();
        }
    }

    /// Returns the delay added to each statement before it runs.
    pub(crate) fn service_time(&self) -> Duration {
        Duration::from_millis(
            self.limits.service_time_ms + self.statement_delay_ms.load(Ordering::Relaxed),
        )
    }
}

fn now_ms() -> i64 {
    let elapsed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    elapsed.as_millis() as i64
}

fn seed_of(name: &str, number: u64) -> u64 {
    name.bytes().fold(number * 1_000_003, |seed, byte| {
        seed.wrapping_mul(31).wrapping_add(byte.into())
    })
}
