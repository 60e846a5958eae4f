//! Reads the settings file and reports all mistakes in it at once.

use std::fmt;
use std::path::{Path, PathBuf};

use jsonc_parser::ast::{Object, ObjectProp, Value};
use jsonc_parser::common::Ranged;
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast};
use serde_json::{Map, Value as Json};
use snafu::{ResultExt, Snafu};

use super::{Settings, check};

/// Result of reading settings.
pub type Result<T, E = FileError> = std::result::Result<T, E>;

/// Why settings can't be used.
#[derive(Debug, Snafu)]
pub enum FileError {
    /// The file can't be read.
    #[snafu(display("can't read the settings file {}; check its path: {source}", path.display()))]
    Read {
        /// Path of the file.
        path: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// The file has mistakes.
    #[snafu(display("{}", format_mistakes(path, mistakes)))]
    Mistakes {
        /// Path of the file.
        path: PathBuf,
        /// Every mistake, in the order of the file.
        mistakes: Vec<Mistake>,
    },
}

/// One mistake in a settings file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Mistake {
    /// Line of the mistake, counted from 1.
    pub line: usize,
    /// Name of the field, with its section, such as `callers.max_connections`.
    pub field: String,
    /// What is wrong.
    pub problem: String,
    /// What to do about it.
    pub remedy: String,
}

impl fmt::Display for Mistake {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "line {}: {}: {}; {}",
            self.line, self.field, self.problem, self.remedy
        )
    }
}

fn format_mistakes(path: &Path, mistakes: &[Mistake]) -> String {
    let lines: Vec<_> = mistakes
        .iter()
        .map(|mistake| format!("{}: {mistake}", path.display()))
        .collect();
    lines.join("\n")
}

/// Reads and validates a settings file.
///
/// # Errors
///
/// Fails when the file can't be read or has mistakes; all of them are reported.
pub fn load(path: &Path) -> Result<Settings> {
    let text = std::fs::read_to_string(path).context(ReadSnafu { path })?;
    parse(&text).or_else(|mistakes| MistakesSnafu { path, mistakes }.fail())
}

/// Parses and validates the text of a settings file.
///
/// # Errors
///
/// Returns every mistake in the text.
pub fn parse(text: &str) -> std::result::Result<Settings, Vec<Mistake>> {
    let parsed = parse_to_ast(text, &CollectOptions::default(), &ParseOptions::default());
    let value = parsed.map_err(|error| vec![syntax_mistake(&error)])?.value;
    let Some(Value::Object(root)) = value else {
        let remedy = "start from docs/operators/currantlb.sample.jsonc";
        return Err(vec![mistake(
            1,
            "(file)",
            "the top-level value is not an object",
            remedy,
        )]);
    };
    let mut validator = Validator {
        text,
        template: template(),
        mistakes: Vec::new(),
    };
    validator.check_sections(&root);
    if !validator.mistakes.is_empty() {
        return Err(validator.mistakes);
    }
    let json = Json::from(Value::Object(root.clone()));
    let settings = serde_json::from_value::<Settings>(json)
        .map_err(|error| vec![mistake(1, "(file)", &error.to_string(), CHECK_TYPE)])?;
    let problems = check::problems(&settings);
    if problems.is_empty() {
        return Ok(settings);
    }
    Err(problems
        .into_iter()
        .map(|problem| validator.locate(&root, &problem))
        .collect())
}

const CHECK_TYPE: &str = "give a value of the type shown in docs/operators/currantlb.sample.jsonc";

fn syntax_mistake(error: &jsonc_parser::errors::ParseError) -> Mistake {
    Mistake {
        line: error.line_display(),
        field: format!("(column {})", error.column_display()),
        problem: error.kind().to_string(),
        remedy: "correct the JSON".to_owned(),
    }
}

/// Returns the default settings as JSON, which show the sections and fields that a file may have.
fn template() -> Map<String, Json> {
    match serde_json::to_value(Settings::default()) {
        Ok(Json::Object(template)) => template,
        _ => unreachable!("settings are encoded as an object"),
    }
}

struct Validator<'t> {
    text: &'t str,
    template: Map<String, Json>,
    mistakes: Vec<Mistake>,
}

impl Validator<'_> {
    fn check_sections(&mut self, root: &Object<'_>) {
        for property in &root.properties {
            let name = property.name.as_str();
            let Some(Json::Object(known)) = self.template.get(name).cloned() else {
                let names: Vec<_> = self.template.keys().cloned().collect();
                self.report_unknown(property, name, &names);
                continue;
            };
            match &property.value {
                Value::Object(section) => self.check_fields(name, section, &known),
                other => self.report(other, name, "the section is not an object", CHECK_TYPE),
            }
        }
        let optional = ["telemetry", "control"];
        let sections: Vec<_> = self.template.keys().cloned().collect();
        for name in sections {
            if root.get(&name).is_none() && !optional.contains(&name.as_str()) {
                let remedy = format!("add \"{name}\": {{ … }}");
                self.mistakes
                    .push(mistake(1, &name, "the section is missing", &remedy));
            }
        }
    }

    fn check_fields(&mut self, section: &str, object: &Object<'_>, known: &Map<String, Json>) {
        for property in &object.properties {
            let name = property.name.as_str();
            let field = format!("{section}.{name}");
            if known.contains_key(name) {
                self.check_value(section, name, &property.value);
            } else {
                let names: Vec<_> = known.keys().cloned().collect();
                self.report_unknown(property, &field, &names);
            }
        }
        if section != "vm" {
            return;
        }
        for name in known.keys().filter(|name| object.get(name).is_none()) {
            let line = self.line(object.start());
            let field = format!("{section}.{name}");
            self.mistakes
                .push(mistake(line, &field, "the field is missing", "add it"));
        }
    }

    /// Checks the type of a value by decoding the default settings with the value in place of its
    /// default.
    fn check_value(&mut self, section: &str, name: &str, value: &Value<'_>) {
        let mut candidate = self.template.clone();
        if let Some(Json::Object(fields)) = candidate.get_mut(section) {
            fields.insert(name.to_owned(), Json::from(value.clone()));
        }
        if let Err(error) = serde_json::from_value::<Settings>(Json::Object(candidate)) {
            self.report(
                value,
                &format!("{section}.{name}"),
                &error.to_string(),
                CHECK_TYPE,
            );
        }
    }

    fn report_unknown(&mut self, property: &ObjectProp<'_>, field: &str, known: &[String]) {
        let remedy = format!("remove it, or use one of: {}", known.join(", "));
        let line = self.line(property.start());
        self.mistakes
            .push(mistake(line, field, "the field is not known", &remedy));
    }

    fn report(&mut self, value: &Value<'_>, field: &str, problem: &str, remedy: &str) {
        self.mistakes
            .push(mistake(self.line(value.start()), field, problem, remedy));
    }

    fn locate(&self, root: &Object<'_>, problem: &check::Problem) -> Mistake {
        let found = problem.field.split_once('.').and_then(|(section, name)| {
            let section = root.get_object(section)?;
            Some(section.get(name).map_or(section.start(), Ranged::start))
        });
        let line = found.map_or(1, |offset| self.line(offset));
        mistake(line, problem.field, &problem.message, &problem.remedy)
    }

    fn line(&self, offset: usize) -> usize {
        self.text[..offset].matches('\n').count() + 1
    }
}

fn mistake(line: usize, field: &str, problem: &str, remedy: &str) -> Mistake {
    Mistake {
        line,
        field: field.to_owned(),
        problem: problem.to_owned(),
        remedy: remedy.to_owned(),
    }
}

#[cfg(test)]
mod tests;
