//! Transaction state of a session.

use std::sync::Arc;

use pgwire::messages::response::TransactionStatus;
use rusqlite::types::Value;

use super::error::{Result, SqlError};
use super::instance::{Instance, WriteTransaction};
use super::log::LoggedStatement;
use super::store::WorkingCopy;

/// Transaction of a session: an explicit transaction block, or an implicit transaction.
#[derive(Default)]
pub(crate) struct Transaction {
    /// Whether a transaction block is open.
    pub(crate) in_block: bool,
    /// Whether a statement of the block has failed.
    pub(crate) failed: bool,
    read_only: bool,
    write: Option<WriteTransaction>,
    /// Caller named in the tags of the transaction's statements.
    pub(crate) caller: Option<String>,
}

impl Transaction {
    pub(crate) fn status(&self) -> TransactionStatus {
        match (self.in_block, self.failed) {
            (false, _) => TransactionStatus::Idle,
            (true, false) => TransactionStatus::Transaction,
            (true, true) => TransactionStatus::Error,
        }
    }

    pub(crate) fn begin(&mut self, read_only: bool) {
        self.in_block = true;
        self.read_only = read_only;
    }

    /// Starts a write transaction unless one is already open.
    pub(crate) fn start_write(&mut self, instance: &Instance) -> Result<()> {
        if self.read_only && self.in_block {
            return Err(SqlError::new(
                "25006",
                "cannot execute a write in a read-only transaction",
            ));
        }
        if self.write.is_none() {
            self.write = Some(instance.begin_write()?);
        }
        Ok(())
    }

    /// Fails when the instance has stopped being the primary since the open write transaction
    /// began; `current` is the instance's generation.
    pub(crate) fn check_generation(&self, current: u64) -> Result<()> {
        match &self.write {
            Some(write) if write.generation != current => Err(SqlError::read_only()),
            _ => Ok(()),
        }
    }

    /// Returns the working copy of the tables. `None` when the transaction hasn't written.
    pub(crate) fn copy(&self) -> Option<&WorkingCopy> {
        self.write.as_ref().map(|write| &write.copy)
    }

    pub(crate) fn log(&mut self, sql: &Arc<str>, parameters: &[Value]) {
        if let Some(write) = &mut self.write {
            let parameters = parameters.to_vec();
            write.statements.push(LoggedStatement {
                sql: Arc::clone(sql),
                parameters,
            });
        }
    }

    /// Commits the block or the implicit transaction, or rolls it back if a statement has failed.
    /// Returns whether it was committed.
    pub(crate) fn commit(&mut self, instance: &Instance) -> Result<bool> {
        let ended = std::mem::take(self);
        if ended.failed {
            return Ok(false);
        }
        if let Some(write) = ended.write {
            instance.commit(write)?;
        }
        Ok(true)
    }

    /// Rolls back the block or the implicit transaction.
    pub(crate) fn roll_back(&mut self) {
        *self = Self::default();
    }

    /// Handles a failed statement: a transaction block is marked as failed until the client ends
    /// it, an implicit transaction is rolled back.
    pub(crate) fn fail(&mut self) {
        if self.in_block {
            self.failed = true;
        } else {
            self.roll_back();
        }
    }
}
