//! Output of results: tables for people, JSON for programs.

use currantlb::admin::model::{DatabaseStatus, Difference, KeyBody, Status, VmView, WorkspaceView};
use currantlb::name::DatabaseName;
use serde::Serialize;

/// Prints a value to standard output as indented JSON.
pub(crate) fn print_json(value: &impl Serialize) {
    match serde_json::to_string_pretty(value) {
        Ok(text) => println!("{text}"),
        Err(error) => eprintln!("can't encode the response as JSON: {error}"),
    }
}

/// Text table with a heading and left-aligned columns.
#[derive(Debug)]
pub(crate) struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table with a heading and no rows.
    pub(crate) fn new(heading: &[&str]) -> Self {
        Self {
            rows: vec![heading.iter().map(|&text| text.to_owned()).collect()],
        }
    }

    /// Adds a row.
    pub(crate) fn row(&mut self, cells: Vec<String>) {
        self.rows.push(cells);
    }

    /// Returns the table as text, with two spaces between columns.
    pub(crate) fn render(&self) -> String {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or_default();
        let width = |column: usize| {
            let cells = self.rows.iter().filter_map(|row| row.get(column));
            cells
                .map(|cell: &String| cell.chars().count())
                .max()
                .unwrap_or_default()
        };
        let widths: Vec<_> = (0..columns).map(width).collect();
        let mut text = String::new();
        for row in &self.rows {
            let cells = row
                .iter()
                .zip(&widths)
                .map(|(cell, &width)| format!("{cell:width$}"));
            text.push_str(cells.collect::<Vec<_>>().join("  ").trim_end());
            text.push('\n');
        }
        text
    }
}

/// Formats the state of the fleet: a summary, then the table of databases.
pub(crate) fn status(status: &Status) -> String {
    let preset = status
        .preset
        .as_ref()
        .map_or("none", |preset| preset.as_str());
    let revision = status.revision;
    let everywhere = if status.revision_everywhere >= revision {
        "in force everywhere".to_owned()
    } else {
        format!("everywhere up to {}", status.revision_everywhere)
    };
    format!(
        "vm {} of cell {}: {}\npreset {preset} (version {})\nrevision {revision}, {everywhere}\n\n{}",
        status.vm,
        status.cell,
        status.standing,
        status.preset_version,
        databases(&status.databases)
    )
}

/// Formats databases as a table with a row per instance.
pub(crate) fn databases(databases: &[DatabaseStatus]) -> String {
    let mut table = Table::new(&["DATABASE", "HOME", "TERM", "INSTANCE", "ROLE", "STATE"]);
    for database in databases {
        let home = database
            .home
            .as_ref()
            .map_or("-", |home| home.as_str())
            .to_owned();
        let term = database.term.clone().unwrap_or_else(|| "-".to_owned());
        if database.instances.is_empty() {
            table.row(vec![database.name.to_string(), home, term]);
            continue;
        }
        for instance in &database.instances {
            let role = if instance.is_primary {
                "primary"
            } else {
                "replica"
            };
            let state = match (instance.is_reachable, instance.accepts_work) {
                (false, _) => "unreachable",
                (true, false) => "drained",
                (true, true) => "live",
            };
            table.row(vec![
                database.name.to_string(),
                home.clone(),
                term.clone(),
                instance.name.to_string(),
                role.to_owned(),
                state.to_owned(),
            ]);
        }
    }
    table.render()
}

/// Formats VMs as a table.
pub(crate) fn vms(vms: &[VmView]) -> String {
    let mut table = Table::new(&["VM", "AVAILABILITY ZONE", "ADDRESS", "HOME OF"]);
    for vm in vms {
        let homes: Vec<_> = vm.homes.iter().map(DatabaseName::as_str).collect();
        table.row(vec![
            vm.name.to_string(),
            vm.availability_zone.to_string(),
            vm.peer_address.clone(),
            homes.join(" "),
        ]);
    }
    table.render()
}

/// Formats workspaces, with their limits in force, as a table.
pub(crate) fn workspaces(workspaces: &[WorkspaceView]) -> String {
    let mut table = Table::new(&[
        "WORKSPACE",
        "RATE/S",
        "BURST",
        "WEIGHT",
        "KEYS",
        "DATABASES",
    ]);
    for workspace in workspaces {
        let databases: Vec<_> = workspace
            .databases
            .iter()
            .map(DatabaseName::as_str)
            .collect();
        let limits = workspace.limits_in_force;
        table.row(vec![
            workspace.name.to_string(),
            limits.rate_per_s.to_string(),
            limits.burst.to_string(),
            limits.weight.to_string(),
            workspace.keys.len().to_string(),
            databases.join(" "),
        ]);
    }
    table.render()
}

/// Formats keys as a table.
pub(crate) fn keys(keys: &[KeyBody]) -> String {
    let mut table = Table::new(&["KEY", "STATE"]);
    for key in keys {
        table.row(vec![key.id.to_string(), key.state.to_string()]);
    }
    table.render()
}

/// Formats the differences between two presets as a table.
pub(crate) fn differences(differences: &[Difference]) -> String {
    let text = |value: &Option<serde_json::Value>| {
        value
            .as_ref()
            .map_or_else(|| "-".to_owned(), ToString::to_string)
    };
    let mut table = Table::new(&["FIELD", "FROM", "TO"]);
    for difference in differences {
        table.row(vec![
            difference.field.clone(),
            text(&difference.from),
            text(&difference.to),
        ]);
    }
    table.render()
}
