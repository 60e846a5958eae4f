//! Transactions of one session.

use std::sync::Arc;

use pgwire::messages::response::TransactionStatus;
use rusqlite::types::Value;

use super::error::{Result, SqlError};
use super::instance::{Instance, Write};
use super::log::LoggedStatement;
use super::store::WorkingCopy;

/// Transaction state of one session.
#[derive(Default)]
pub(crate) struct Transaction {
    /// Whether a block was begun.
    pub(crate) in_block: bool,
    /// Whether a statement of the block failed.
    pub(crate) failed: bool,
    read_only: bool,
    write: Option<Write>,
    /// Caller that the block's statements are tagged with.
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

    /// Makes sure that a write transaction is open.
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

    /// Fails when the open write transaction was ended by a change of term.
    pub(crate) fn check_generation(&self, current: u64) -> Result<()> {
        match &self.write {
            Some(write) if write.generation != current => Err(SqlError::read_only()),
            _ => Ok(()),
        }
    }

    /// Returns the tables that the transaction works on, when it writes.
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

    /// Ends the block or the implicit transaction; returns whether it was committed.
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

    /// Ends the block or the implicit transaction without effect.
    pub(crate) fn roll_back(&mut self) {
        *self = Self::default();
    }

    /// Notes that a statement failed: a block waits for its end, anything else is undone.
    pub(crate) fn fail(&mut self) {
        if self.in_block {
            self.failed = true;
        } else {
            self.roll_back();
        }
    }
}
