//! Commands of `currantctl`.

use std::path::{Path, PathBuf};

use currantlb::admin::model::{
    DatabaseStatus, Difference, IssuedKey, KeyBody, Status, Versioned, VmView, WorkspaceBody,
    WorkspaceView,
};
use currantlb::admin::write::Accepted;
use currantlb::configuration::validate::Finding;
use currantlb::configuration::{Limits, Preset};
use reqwest::Method;
use serde::Serialize;
use serde_json::Value;
use snafu::{OptionExt, ResultExt};

use crate::app::{
    Action, App, Database, DatabaseVerb, Key, KeyVerb, Preset as PresetAction, PresetVerb,
    RecordVerb, Route, Workspace, WorkspaceVerb,
};
use crate::client::Client;
use crate::error::{BodySnafu, MissingSnafu, ReadFileSnafu, Result};
use crate::{completion, output};

/// Runs the command given on the command line.
pub(crate) async fn run(app: App) -> Result<()> {
    if let Action::Completion(action) = &app.action {
        print!("{}", completion::script(action.shell));
        return Ok(());
    }
    let tool = Tool {
        client: Client::new(&app)?,
        is_json: app.json,
    };
    match app.action {
        Action::Status(_) => tool.status().await,
        Action::Vms(_) => tool.vms().await,
        Action::Workspace(action) => tool.workspace(action).await,
        Action::Key(action) => tool.key(action).await,
        Action::Preset(action) => tool.preset(action).await,
        Action::Route(action) => tool.route(action).await,
        Action::Database(action) => tool.database(action).await,
        Action::Completion(_) => Ok(()),
    }
}

/// Client of the API, and the format in which results are printed.
struct Tool {
    client: Client,
    is_json: bool,
}

impl Tool {
    /// Prints a value as JSON or, by default, as the text that `table` returns for it.
    fn print<T: Serialize>(&self, value: &T, table: impl FnOnce(&T) -> String) {
        if self.is_json {
            output::print_json(value);
        } else {
            print!("{}", table(value));
        }
    }

    fn print_accepted(&self, accepted: &Accepted) {
        self.print(accepted, |accepted| {
            let suffix = if accepted.is_repeated {
                " (accepted before)"
            } else {
                ""
            };
            format!("accepted at revision {}{suffix}\n", accepted.revision)
        });
    }

    async fn status(&self) -> Result<()> {
        let status: Status = self.client.get("/v1/status").await?;
        self.print(&status, output::status);
        Ok(())
    }

    async fn vms(&self) -> Result<()> {
        let vms: Vec<VmView> = self.client.get("/v1/vms").await?;
        self.print(&vms, |vms| output::vms(vms));
        Ok(())
    }

    async fn workspace(&self, action: Workspace) -> Result<()> {
        if action.verb == WorkspaceVerb::List {
            let workspaces: Vec<WorkspaceView> = self.client.get("/v1/workspaces").await?;
            self.print(&workspaces, |workspaces| output::workspaces(workspaces));
            return Ok(());
        }
        let path = format!(
            "/v1/workspaces/{}",
            required(action.name.as_ref(), "the name")?
        );
        match action.verb {
            WorkspaceVerb::Set => self.set_workspace(&path, action).await,
            WorkspaceVerb::Remove => self.remove(&path).await,
            WorkspaceVerb::Show | WorkspaceVerb::List => self.show(&path).await,
        }
    }

    /// Sets the fields given on the command line and keeps the current values of the others.
    async fn set_workspace(&self, path: &str, action: Workspace) -> Result<()> {
        let current: Option<Versioned<WorkspaceView>> = self.client.get(path).await.ok();
        let mut body = current.map_or_else(WorkspaceBody::default, |current| WorkspaceBody {
            databases: current.value.databases,
            limits: current.value.limits,
        });
        if !action.database.is_empty() {
            body.databases = action
                .database
                .iter()
                .map(|name| name.as_str().into())
                .collect();
        }
        body.limits = Limits {
            rate_per_s: action.rate_per_s.unwrap_or(body.limits.rate_per_s),
            burst: action.burst.unwrap_or(body.limits.burst),
            weight: action.weight.unwrap_or(body.limits.weight),
        };
        let body = Some(serde_json::json!(body));
        let accepted = self.client.write(Method::PUT, path, path, body).await?;
        self.print_accepted(&accepted);
        Ok(())
    }

    async fn key(&self, action: Key) -> Result<()> {
        let workspace = format!("/v1/workspaces/{}", action.workspace);
        let keys = format!("{workspace}/keys");
        match action.verb {
            KeyVerb::List => {
                let found: Versioned<Vec<KeyBody>> = self.client.get(&keys).await?;
                self.print(&found.value, |keys| output::keys(keys));
            }
            KeyVerb::Issue => {
                let issued: IssuedKey = self
                    .client
                    .write(Method::POST, &keys, &workspace, None)
                    .await?;
                self.print(&issued, |issued| match &issued.key {
                    Some(key) => format!("key {} (shown this once): {key}\n", issued.id),
                    None => format!(
                        "key {} was issued before and can't be shown; withdraw it and issue \
                         another\n",
                        issued.id
                    ),
                });
            }
            KeyVerb::Withdraw => {
                let key = required(action.id.as_ref(), "the id of the key")?;
                let path = format!("{keys}/{key}/withdraw");
                let accepted = self
                    .client
                    .write(Method::POST, &path, &workspace, None)
                    .await?;
                self.print_accepted(&accepted);
            }
        }
        Ok(())
    }

    async fn preset(&self, action: PresetAction) -> Result<()> {
        match action.verb {
            PresetVerb::List => return self.show("/v1/presets").await,
            PresetVerb::InForce => return self.show("/v1/in-force").await,
            _ => {}
        }
        let path = format!(
            "/v1/presets/{}",
            required(action.names.first(), "the name")?
        );
        match action.verb {
            PresetVerb::Put => self.put(&path, action.file.as_ref(), "preset").await,
            PresetVerb::Remove => self.remove(&path).await,
            PresetVerb::Validate => {
                let preset: Preset =
                    read_body(required(action.file.as_ref(), "--file")?, "preset")?;
                let findings: Vec<Finding> = self
                    .client
                    .post_read_only(&format!("{path}/validate"), &preset)
                    .await?;
                self.print(&findings, |findings| format_findings(findings));
                Ok(())
            }
            PresetVerb::Diff => {
                let other = required(action.names.get(1), "the other preset")?;
                let found: Vec<Difference> =
                    self.client.get(&format!("{path}/diff/{other}")).await?;
                self.print(&found, |found| output::differences(found));
                Ok(())
            }
            PresetVerb::Switch => {
                let switch = format!("{path}/switch");
                let accepted = self
                    .client
                    .write(Method::POST, &switch, "/v1/in-force", None)
                    .await?;
                self.print_accepted(&accepted);
                Ok(())
            }
            PresetVerb::Show | PresetVerb::List | PresetVerb::InForce => self.show(&path).await,
        }
    }

    async fn route(&self, action: Route) -> Result<()> {
        if action.verb == RecordVerb::List {
            return self.show("/v1/routes").await;
        }
        let path = format!("/v1/routes/{}", required(action.name.as_ref(), "the name")?);
        match action.verb {
            RecordVerb::Put => self.put(&path, action.file.as_ref(), "route policy").await,
            RecordVerb::Remove => self.remove(&path).await,
            RecordVerb::Show | RecordVerb::List => self.show(&path).await,
        }
    }

    async fn database(&self, action: Database) -> Result<()> {
        if action.verb == DatabaseVerb::List {
            let databases: Vec<DatabaseStatus> = self.client.get("/v1/databases").await?;
            self.print(&databases, |databases| output::databases(databases));
            return Ok(());
        }
        let path = format!(
            "/v1/databases/{}",
            required(action.names.first(), "the name")?
        );
        let verb = match action.verb {
            DatabaseVerb::Put => {
                return self
                    .put(&path, action.file.as_ref(), "database group")
                    .await;
            }
            DatabaseVerb::Remove => return self.remove(&path).await,
            DatabaseVerb::Show | DatabaseVerb::List => return self.show(&path).await,
            DatabaseVerb::Drain => "drain",
            DatabaseVerb::Undrain => "undrain",
        };
        let instance = required(action.names.get(1), "the instance")?;
        let change = format!("{path}/instances/{instance}/{verb}");
        let accepted = self
            .client
            .write(Method::POST, &change, &path, None)
            .await?;
        self.print_accepted(&accepted);
        Ok(())
    }

    async fn show(&self, path: &str) -> Result<()> {
        let value: Value = self.client.get(path).await?;
        output::print_json(&value);
        Ok(())
    }

    async fn put(&self, path: &str, file: Option<&PathBuf>, kind: &'static str) -> Result<()> {
        let body: Value = read_body(required(file, "--file")?, kind)?;
        let accepted = self
            .client
            .write(Method::PUT, path, path, Some(body))
            .await?;
        self.print_accepted(&accepted);
        Ok(())
    }

    async fn remove(&self, path: &str) -> Result<()> {
        let accepted = self.client.write(Method::DELETE, path, path, None).await?;
        self.print_accepted(&accepted);
        Ok(())
    }
}

fn required<'a, T>(value: Option<&'a T>, what: &'static str) -> Result<&'a T> {
    value.context(MissingSnafu { what })
}

fn read_body<T: serde::de::DeserializeOwned>(path: &Path, kind: &'static str) -> Result<T> {
    let text = std::fs::read_to_string(path).context(ReadFileSnafu { path })?;
    serde_json::from_str(&text).context(BodySnafu { path, kind })
}

fn format_findings(findings: &[Finding]) -> String {
    if findings.is_empty() {
        return "the preset is valid\n".to_owned();
    }
    let line = |finding: &Finding| {
        format!(
            "{}: {}; {}\n",
            finding.subject, finding.problem, finding.remedy
        )
    };
    findings.iter().map(line).collect()
}
