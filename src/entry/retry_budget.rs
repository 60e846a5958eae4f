//! Budget of internal retries: bounds the statements that a VM sends again by itself.
//!
//! When an instance or a gateway fails or rejects, each statement that is sent again takes capacity
//! from first attempts. Retries of VM, gateway and instance would multiply without a common bound.

use std::collections::HashMap;

use strum::{Display, IntoStaticStr};

use crate::name::DatabaseName;

/// Settings of [`RetryBudgets`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudgetSettings {
    /// Retries that each first attempt allows.
    pub per_first_attempt: f64,
    /// Retries that are allowed in addition: what is in flight at an instance or a gateway when it
    /// fails.
    pub reserve: f64,
    /// Maximum number of attempts for one statement, over VM, gateway and instance.
    pub max_attempts: u8,
}

impl Default for RetryBudgetSettings {
    fn default() -> Self {
        Self {
            per_first_attempt: 0.2,
            reserve: 20.0,
            max_attempts: 5,
        }
    }
}

/// Why a retry is denied.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Denial {
    /// The statement has had its attempts.
    Attempts,
    /// The retries of the database at this VM are used up.
    Budget,
}

/// Result of asking for a retry.
pub type Result<T, E = Denial> = std::result::Result<T, E>;

/// Budgets of the databases at one VM.
#[derive(Debug, Default)]
pub struct RetryBudgets {
    settings: RetryBudgetSettings,
    left: HashMap<DatabaseName, f64>,
}

impl RetryBudgets {
    /// Builds budgets that hold their reserve.
    pub fn new(settings: RetryBudgetSettings) -> Self {
        Self {
            settings,
            left: HashMap::new(),
        }
    }

    /// Records the first attempt of a statement.
    pub fn on_first_attempt(&mut self, database: &DatabaseName) {
        let reserve = self.settings.reserve;
        if let Some(left) = self.left.get_mut(database) {
            *left = (*left + self.settings.per_first_attempt).min(reserve);
        }
    }

    /// Takes a retry for a statement that has had `attempts` attempts.
    ///
    /// # Errors
    ///
    /// Fails when the statement has had its attempts, or the database's budget is used up.
    pub fn take(&mut self, database: &DatabaseName, attempts: u8) -> Result<()> {
        if attempts >= self.settings.max_attempts {
            return Err(Denial::Attempts);
        }
        let left = self.left.entry(database.clone());
        let left = left.or_insert(self.settings.reserve);
        if *left < 1.0 {
            return Err(Denial::Budget);
        }
        *left -= 1.0;
        Ok(())
    }
}

#[cfg(test)]
mod tests;
