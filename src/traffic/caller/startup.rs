//! Parameters of the startup message.

use std::collections::BTreeMap;

use super::response::CallerError;
use super::setting::{SessionChange, SessionSettings, Setting};
use super::tag::Tags;

/// Prefix of options that set tags for all requests of the connection.
const TAG_PREFIX: &str = "currantlb.";
/// Prefix of protocol extensions, none of which is supported.
const EXTENSION_PREFIX: &str = "_pq_.";

/// Contents of a startup message.
#[derive(Debug, Default)]
pub(super) struct StartupOptions {
    /// Name of the workspace.
    pub(super) user: String,
    /// Name of the database; defaults to that of the workspace.
    pub(super) database: String,
    /// Tags for the connection's requests.
    pub(super) tags: Tags,
    /// Initial settings of the session.
    pub(super) settings: SessionSettings,
    /// Protocol extensions that the caller requested.
    pub(super) extensions: Vec<String>,
}

impl StartupOptions {
    /// Parses the parameters.
    ///
    /// # Errors
    ///
    /// Fails when no user is given, or an option or its value is not supported.
    pub(super) fn read(parameters: &BTreeMap<String, String>) -> Result<Self, CallerError> {
        let mut options = Self::default();
        for (name, value) in parameters {
            match name.as_str() {
                "user" => options.user.clone_from(value),
                "database" => options.database.clone_from(value),
                "options" => {
                    for (name, value) in command_line(value)? {
                        options.set(&name, &value)?;
                    }
                }
                name if name.starts_with(EXTENSION_PREFIX) => {
                    options.extensions.push(name.to_owned());
                }
                name => options.set(name, value)?,
            }
        }
        if options.user.is_empty() {
            return Err(CallerError::new("28000", "no user; log in as a workspace"));
        }
        if options.database.is_empty() {
            options.database.clone_from(&options.user);
        }
        Ok(options)
    }

    fn set(&mut self, name: &str, value: &str) -> Result<(), CallerError> {
        if let Some(tag) = name.strip_prefix(TAG_PREFIX) {
            self.tags.set(tag, value);
            return Ok(());
        }
        match name.parse::<Setting>() {
            Ok(setting) if setting.accepts(value) => {
                let value = setting.normalized(value);
                if value != self.settings.reported(setting) {
                    self.settings
                        .apply(&SessionChange::Set(setting, value.to_owned()));
                }
                Ok(())
            }
            Ok(_) => Err(unsupported(&format!(
                "the value of {name} is not supported; leave it out"
            ))),
            Err(_unknown) if name == "replication" && is_off(value) => Ok(()),
            Err(_unknown) => Err(unsupported(&format!(
                "the option {name} is not supported; leave it out"
            ))),
        }
    }
}

fn is_off(value: &str) -> bool {
    matches!(value, "false" | "off" | "no" | "0")
}

fn unsupported(message: &str) -> CallerError {
    CallerError::new("0A000", message)
}

/// Parses the command line options `-c name=value` and `--name=value`, in which a backslash escapes
/// a blank.
fn command_line(text: &str) -> Result<Vec<(String, String)>, CallerError> {
    let mut options = Vec::new();
    let mut words = split_words(text).into_iter();
    while let Some(word) = words.next() {
        let option = if word == "-c" {
            words.next().unwrap_or_default()
        } else if let Some(option) = word.strip_prefix("--") {
            option.to_owned()
        } else if let Some(option) = word.strip_prefix("-c") {
            option.to_owned()
        } else {
            return Err(unsupported("only -c name=value is supported in options"));
        };
        let Some((name, value)) = option.split_once('=') else {
            return Err(unsupported("only -c name=value is supported in options"));
        };
        options.push((name.replace('-', "_"), value.to_owned()));
    }
    Ok(options)
}

fn split_words(text: &str) -> Vec<String> {
    let mut words = Vec::new();
    let mut word = String::new();
    let mut chars = text.chars();
    while let Some(c) = chars.next() {
        match c {
            '\\' => word.extend(chars.next()),
            c if c.is_ascii_whitespace() => words.push(std::mem::take(&mut word)),
            c => word.push(c),
        }
    }
    words.push(word);
    words.retain(|word| !word.is_empty());
    words
}

#[cfg(test)]
mod tests;
