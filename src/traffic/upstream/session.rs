//! Run-time settings of one connection, and how they are brought to those of the next caller.

use std::fmt::Write;
use std::time::Duration;

use super::{Connection, Result};
use crate::traffic::SessionSetting;

/// Run-time settings in force on a connection, beside those it started with.
#[derive(Debug, Default)]
pub(crate) struct SessionState {
    applied: Vec<SessionSetting>,
    /// Whether a caller has changed a setting itself, so that `applied` can't be trusted.
    pub(crate) is_changed: bool,
}

impl SessionState {
    /// Returns whether the settings are in force as they should be.
    pub(crate) fn matches(&self, wanted: &[SessionSetting]) -> bool {
        !self.is_changed && self.applied == wanted
    }

    /// Returns the statements that bring the settings from what they are to what is wanted.
    fn statements(&self, wanted: &[SessionSetting]) -> String {
        let same_name = |setting: &SessionSetting| wanted.iter().any(|w| w.name == setting.name);
        let reset = self.is_changed || !self.applied.iter().all(same_name);
        let mut sql = String::new();
        if reset {
            sql.push_str("RESET ALL;");
        }
        for setting in wanted {
            if reset || !self.applied.contains(setting) {
                // Writing to a string can't fail.
                let _ = write!(sql, "SET {} TO {};", setting.name, value_list(setting));
            }
        }
        sql
    }
}

/// Quotes the value of a setting; a search path is a list, each of whose names is quoted.
fn value_list(setting: &SessionSetting) -> String {
    if setting.name != "search_path" {
        return literal(&setting.value);
    }
    let names = setting.value.split(',');
    let names = names.map(|name| literal(name.trim().trim_matches('"')));
    names.collect::<Vec<_>>().join(", ")
}

/// Quotes text as an SQL literal.
pub(crate) fn literal(text: &str) -> String {
    if text.contains('\\') {
        format!("E'{}'", text.replace('\\', "\\\\").replace('\'', "''"))
    } else {
        format!("'{}'", text.replace('\'', "''"))
    }
}

impl Connection {
    /// Brings the run-time settings to what the next caller's session has.
    ///
    /// # Errors
    ///
    /// Fails when the instance refuses a setting, gives no answer in time, or the connection fails;
    /// the connection must then be closed.
    pub(crate) async fn apply_settings(
        &mut self,
        wanted: &[SessionSetting],
        limit: Duration,
    ) -> Result<()> {
        if self.session.matches(wanted) {
            return Ok(());
        }
        let sql = self.session.statements(wanted);
        self.session.is_changed = true;
        self.simple_query(&sql, limit).await?;
        self.session.applied = wanted.to_vec();
        self.session.is_changed = false;
        Ok(())
    }
}

#[cfg(test)]
mod tests;
