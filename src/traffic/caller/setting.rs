//! Run-time settings that a caller may change, kept by its session.

use std::collections::BTreeMap;

use strum::IntoEnumIterator;
use strum::{Display, EnumIter, EnumString};

use crate::traffic::SessionSetting;

/// Longest accepted value of a setting, in bytes.
const MAX_VALUE_BYTES: usize = 256;

/// Run-time setting that is kept in the session and applied to each of its transactions.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, EnumString, EnumIter,
)]
#[strum(serialize_all = "snake_case", ascii_case_insensitive)]
pub(crate) enum Setting {
    ApplicationName,
    ByteaOutput,
    ClientEncoding,
    ClientMinMessages,
    #[strum(serialize = "datestyle")]
    DateStyle,
    DefaultTransactionDeferrable,
    DefaultTransactionIsolation,
    DefaultTransactionReadOnly,
    ExtraFloatDigits,
    IdleInTransactionSessionTimeout,
    #[strum(serialize = "intervalstyle")]
    IntervalStyle,
    LockTimeout,
    SearchPath,
    StandardConformingStrings,
    StatementTimeout,
    #[strum(serialize = "timezone")]
    TimeZone,
    WorkMem,
}

/// Change to the session's state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum SessionChange {
    /// Sets a setting to a value.
    Set(Setting, String),
    /// Resets a setting to its default.
    Reset(Setting),
    /// Resets every setting to its default.
    ResetAll,
    /// Resets every setting to its default and deallocates every prepared statement.
    DiscardAll,
    /// Deallocates one prepared statement.
    Deallocate(String),
    /// Deallocates every prepared statement.
    DeallocateAll,
    /// `UNLISTEN`, which has no effect, because `LISTEN` is refused.
    Unlisten,
}

impl SessionChange {
    /// Returns the tag of the `CommandComplete` message.
    pub(crate) const fn command_tag(&self) -> &'static str {
        match self {
            Self::Set(..) => "SET",
            Self::Reset(_) | Self::ResetAll => "RESET",
            Self::DiscardAll => "DISCARD ALL",
            Self::Deallocate(_) => "DEALLOCATE",
            Self::DeallocateAll => "DEALLOCATE ALL",
            Self::Unlisten => "UNLISTEN",
        }
    }

    /// Returns the `SET LOCAL` statement that has the same effect until the end of the transaction;
    /// `None` if there is none.
    pub(crate) fn local_statement(&self) -> Option<String> {
        match self {
            Self::Set(Setting::ApplicationName, _) | Self::Reset(Setting::ApplicationName) => None,
            Self::Set(setting, value) if *setting == Setting::SearchPath => {
                Some(format!("SET LOCAL search_path TO {}", list(value)))
            }
            Self::Set(setting, value) => Some(format!(
                "SET LOCAL {setting} TO '{}'",
                value.replace('\'', "''")
            )),
            Self::Reset(setting) => Some(format!("SET LOCAL {setting} TO DEFAULT")),
            _ => None,
        }
    }
}

fn list(value: &str) -> String {
    let quoted = value.split(',').map(|item| {
        let item = item.trim().trim_matches('"');
        format!("\"{}\"", item.replace('"', "\"\""))
    });
    let items: Vec<_> = quoted.collect();
    items.join(", ")
}

impl Setting {
    /// Returns the `ParameterStatus` name of the setting; `None` if it is not reported.
    pub(crate) const fn reported_name(self) -> Option<&'static str> {
        match self {
            Self::ApplicationName => Some("application_name"),
            Self::ClientEncoding => Some("client_encoding"),
            Self::DateStyle => Some("DateStyle"),
            Self::DefaultTransactionReadOnly => Some("default_transaction_read_only"),
            Self::IntervalStyle => Some("IntervalStyle"),
            Self::StandardConformingStrings => Some("standard_conforming_strings"),
            Self::TimeZone => Some("TimeZone"),
            _ => None,
        }
    }

    /// Returns every setting that is reported by `ParameterStatus`, with its reported name.
    pub(crate) fn all_reported() -> impl Iterator<Item = (Self, &'static str)> {
        Self::iter().filter_map(|setting| Some((setting, setting.reported_name()?)))
    }

    const fn reported_default(self) -> &'static str {
        match self {
            Self::ClientEncoding => "UTF8",
            Self::DateStyle => "ISO, MDY",
            Self::DefaultTransactionReadOnly => "off",
            Self::IntervalStyle => "postgres",
            Self::StandardConformingStrings => "on",
            Self::TimeZone => "UTC",
            _ => "",
        }
    }

    /// Returns whether the session accepts this value for the setting.
    pub(crate) fn accepts(self, value: &str) -> bool {
        let lower = value.to_ascii_lowercase();
        if value.len() > MAX_VALUE_BYTES || value.contains(['\0', '\\']) {
            return false;
        }
        match self {
            Self::ApplicationName | Self::SearchPath => true,
            // Another encoding would change the meaning of a statement's bytes.
            Self::ClientEncoding => matches!(&*lower, "utf8" | "utf-8" | "unicode"),
            Self::StandardConformingStrings => matches!(&*lower, "on" | "true" | "1"),
            Self::ByteaOutput => matches!(&*lower, "hex" | "escape"),
            Self::ClientMinMessages => matches!(
                &*lower,
                "debug5"
                    | "debug4"
                    | "debug3"
                    | "debug2"
                    | "debug1"
                    | "log"
                    | "notice"
                    | "warning"
                    | "error"
            ),
            Self::DefaultTransactionIsolation => matches!(
                &*lower,
                "serializable" | "repeatable read" | "read committed" | "read uncommitted"
            ),
            Self::DefaultTransactionDeferrable | Self::DefaultTransactionReadOnly => {
                matches!(&*lower, "on" | "off" | "true" | "false" | "0" | "1")
            }
            Self::ExtraFloatDigits => value
                .parse()
                .is_ok_and(|digits: i32| (-15..=3).contains(&digits)),
            Self::IntervalStyle => matches!(
                &*lower,
                "postgres" | "postgres_verbose" | "sql_standard" | "iso_8601"
            ),
            Self::DateStyle => accepts_date_style(&lower),
            Self::TimeZone => !value.is_empty() && value.chars().all(is_time_zone_char),
            Self::IdleInTransactionSessionTimeout | Self::LockTimeout | Self::StatementTimeout => {
                accepts_number(&lower, &["", "us", "ms", "s", "min", "h", "d"])
            }
            Self::WorkMem => accepts_number(&lower, &["", "b", "kb", "mb"]),
        }
    }
}

impl Setting {
    /// Returns a value in the form in which it is reported.
    pub(crate) fn normalized(self, value: &str) -> &str {
        match self {
            Self::ClientEncoding => "UTF8",
            Self::StandardConformingStrings => "on",
            Self::DateStyle if value.eq_ignore_ascii_case("iso") => "ISO, MDY",
            _ => value,
        }
    }
}

fn accepts_date_style(lower: &str) -> bool {
    let known = ["iso", "sql", "postgres", "german", "mdy", "dmy", "ymd"];
    lower.split(',').all(|part| known.contains(&part.trim()))
}

fn is_time_zone_char(c: char) -> bool {
    c.is_ascii_alphanumeric() || matches!(c, '/' | '_' | '+' | '-' | ':')
}

fn accepts_number(lower: &str, units: &[&str]) -> bool {
    let digits = lower.trim_end_matches(|c: char| c.is_ascii_alphabetic());
    let unit = &lower[digits.len()..];
    digits.trim().parse::<u32>().is_ok() && units.contains(&unit)
}

/// Settings that were changed in a session.
#[derive(Debug, Clone, Default)]
pub(crate) struct SessionSettings {
    values: BTreeMap<Setting, String>,
}

impl SessionSettings {
    /// Applies a change to the settings; changes to prepared statements are ignored here.
    pub(crate) fn apply(&mut self, change: &SessionChange) {
        match change {
            SessionChange::Set(setting, value) => {
                self.values.insert(*setting, value.clone());
            }
            SessionChange::Reset(setting) => {
                self.values.remove(setting);
            }
            SessionChange::ResetAll | SessionChange::DiscardAll => self.values.clear(),
            SessionChange::Deallocate(_)
            | SessionChange::DeallocateAll
            | SessionChange::Unlisten => {}
        }
    }

    /// Returns the settings to apply to each transaction, sorted by name.
    pub(crate) fn for_exchange(&self) -> Vec<SessionSetting> {
        // Connections to instances have the VM's own `application_name`; the other two settings
        // accept only one value.
        let upstream = |setting: &Setting| {
            !matches!(
                setting,
                Setting::ApplicationName
                    | Setting::ClientEncoding
                    | Setting::StandardConformingStrings
            )
        };
        let changed = self.values.iter().filter(|(setting, _)| upstream(setting));
        let mut settings: Vec<_> = changed
            .map(|(setting, value)| SessionSetting {
                name: setting.to_string(),
                value: value.clone(),
            })
            .collect();
        settings.sort();
        settings
    }

    /// Returns the value that is reported for a setting.
    pub(crate) fn reported(&self, setting: Setting) -> &str {
        self.values
            .get(&setting)
            .map_or(setting.reported_default(), String::as_str)
    }
}

#[cfg(test)]
mod tests;
