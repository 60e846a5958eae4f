//! Run-time settings of one connection, and the statements that change them for the next caller.

use std::fmt::Write;
use std::time::Duration;

use super::{Connection, Result};
use crate::traffic::SessionSetting;

/// Run-time settings applied to a connection, in addition to those it was opened with.
#[derive(Debug, Default)]
pub(crate) struct SessionState {
    applied: Vec<SessionSetting>,
    /// Whether a caller's own statement has changed a setting, so that `applied` is unreliable.
    pub(crate) is_changed: bool,
}

impl SessionState {
    /// Returns whether exactly the required settings are applied.
    pub(crate) fn matches(&self, required: &[SessionSetting]) -> bool {
        !self.is_changed && self.applied == required
    }

    /// Returns the SQL statements that change the applied settings to the required ones.
    fn statements(&self, required: &[SessionSetting]) -> String {
        let same_name = |setting: &SessionSetting| required.iter().any(|w| w.name == setting.name);
        let reset = self.is_changed || !self.applied.iter().all(same_name);
        let mut sql = String::new();
        if reset {
            sql.push_str("RESET ALL;");
        }
        for setting in required {
            if reset || !self.applied.contains(setting) {
                // Writing to a string can't fail.
                let _ = write!(sql, "SET {} TO {};", setting.name, value_list(setting));
            }
        }
        sql
    }
}

/// Quotes the value of a setting. The value of `search_path` is a list, in which each name is
/// quoted separately.
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
    /// Changes the run-time settings to those of the next caller's session.
    ///
    /// # Errors
    ///
    /// Fails when the instance refuses a setting, does not respond in time, or the connection
    /// fails; the connection must then be closed.
    pub(crate) async fn apply_settings(
        &mut self,
        required: &[SessionSetting],
        limit: Duration,
    ) -> Result<()> {
        if self.session.matches(required) {
            return Ok(());
        }
        let sql = self.session.statements(required);
        self.session.is_changed = true;
        self.simple_query(&sql, limit).await?;
        self.session.applied = required.to_vec();
        self.session.is_changed = false;
        Ok(())
    }
}

#[cfg(test)]
mod tests;
