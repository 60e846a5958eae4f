//! A caller's session, which sends its requests in order to one or several VMs.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, RwLock};
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::time::Instant;
use tokio_postgres::Client;

use super::record::{RequestRecord, Status, status_of};
use super::trace::{Action, Requests};
use crate::client::{Connector, Login};

/// Time that a caller waits for the response to a request.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(20);

/// Names of the rows of table `layer`, which never changes.
const VIEWS: [&str; 3] = ["first", "second", "third"];

/// Addresses of the VMs that callers may use, by VM index; `None` while a VM is stopped.
pub(super) type VmDirectory = Arc<RwLock<Vec<Option<SocketAddr>>>>;

/// Parameters of a session.
#[derive(Debug, Clone)]
pub(super) struct SessionPlan {
    pub(super) name: String,
    pub(super) requests: Requests,
    /// Delay of all requests, which spreads the sessions over the interval.
    pub(super) offset: Duration,
    pub(super) seed: u64,
    /// Start of the run; the times of the trace are relative to it.
    pub(super) start: Instant,
    /// Factor by which the times of the trace are divided.
    pub(super) speed: f64,
}

/// A session that runs, with its connections.
pub(super) struct Session {
    plan: SessionPlan,
    connector: Connector,
    directory: VmDirectory,
    /// Open connections by VM index.
    clients: BTreeMap<usize, Client>,
    random: StdRng,
    /// Sequence number of the last save that was sent.
    last_sent_save: i64,
    /// Sequence number of the last save that was acknowledged.
    last_acknowledged_save: i64,
    /// Number of requests sent.
    sent: u64,
}

impl Session {
    pub(super) fn new(plan: SessionPlan, connector: Connector, directory: VmDirectory) -> Self {
        let random = StdRng::seed_from_u64(plan.seed);
        Self {
            plan,
            connector,
            directory,
            clients: BTreeMap::new(),
            random,
            last_sent_save: 0,
            last_acknowledged_save: 0,
            sent: 0,
        }
    }

    /// Sends every request at its scheduled time, or immediately when that has passed.
    pub(super) async fn run(mut self) -> Vec<RequestRecord> {
        let requests = &self.plan.requests;
        let last = requests.until_ms.max(requests.at_ms);
        let every = requests.every_ms.max(1);
        let times: Vec<_> = (requests.at_ms..=last).step_by(every as usize).collect();
        let mut records = Vec::with_capacity(times.len());
        for (number, at_ms) in times.into_iter().enumerate() {
            let at = Duration::from_millis(at_ms).div_f64(self.plan.speed) + self.plan.offset;
            tokio::time::sleep_until(self.plan.start + at).await;
            let action = self.plan.requests.actions[number % self.plan.requests.actions.len()];
            if let Some(record) = self.request(action).await {
                records.push(record);
            }
        }
        records
    }

    /// Sends one request; `None` when no VM is available and nothing was sent.
    async fn request(&mut self, action: Action) -> Option<RequestRecord> {
        let vm = self.choose_vm()?;
        let mut record = self.new_record(vm, action);
        let number = record.number;
        match self.ensure_connected(vm).await {
            Ok(()) => {}
            Err(message) => {
                record.status = Status::NotRun {
                    sqlstate: String::new(),
                    message,
                };
                record.done = self.plan.start.elapsed();
                return Some(record);
            }
        }
        if action.writes() {
            self.last_sent_save = number;
        }
        self.sent += 1;
        let response = tokio::time::timeout(RESPONSE_TIMEOUT, self.send(vm, action, number)).await;
        record.done = self.plan.start.elapsed();
        match response {
            Ok(Ok(Response { found, is_own })) => {
                record.response_matches = is_own;
                record.status = Status::Answered(found);
                if action.writes() {
                    self.last_acknowledged_save = number;
                }
            }
            Ok(Err(error)) => {
                record.status = status_of(&error);
                if self.clients.get(&vm).is_some_and(Client::is_closed)
                    || status_is_unknown(&record)
                {
                    self.clients.remove(&vm);
                }
            }
            Err(_elapsed) => {
                self.clients.remove(&vm);
            }
        }
        Some(record)
    }

    fn new_record(&self, vm: usize, action: Action) -> RequestRecord {
        let sent = self.plan.start.elapsed();
        RequestRecord {
            workspace: self.plan.requests.workspace.clone(),
            database: self.plan.requests.database.clone(),
            session: self.plan.name.clone(),
            vm,
            action,
            number: if action.writes() {
                self.last_sent_save + 1
            } else {
                self.last_acknowledged_save
            },
            response_matches: true,
            sent,
            done: sent,
            status: Status::Unknown {
                message: "no response in time".to_owned(),
            },
        }
    }

    fn choose_vm(&mut self) -> Option<usize> {
        let directory = self
            .directory
            .read()
            .expect("no code panics while it holds the lock");
        let available: Vec<_> = (0..directory.len())
            .filter(|vm| directory[*vm].is_some())
            .collect();
        match self.plan.requests.vm {
            Some(vm) if available.contains(&vm) => Some(vm),
            _ if available.is_empty() => None,
            _ => Some(available[self.random.random_range(0..available.len())]),
        }
    }

    async fn ensure_connected(&mut self, vm: usize) -> Result<(), String> {
        if self
            .clients
            .get(&vm)
            .is_some_and(|client| !client.is_closed())
        {
            return Ok(());
        }
        let address = self
            .directory
            .read()
            .expect("no code panics while it holds the lock")[vm];
        let address = address.ok_or_else(|| "the VM was stopped".to_owned())?;
        let requests = &self.plan.requests;
        let route = requests
            .route
            .as_ref()
            .map(|route| format!(" -c currantlb.route={route}"));
        let options = format!(
            "-c currantlb.session={}{}",
            self.plan.name,
            route.unwrap_or_default()
        );
        let login = Login {
            workspace: requests.workspace.clone(),
            database: requests.database.clone(),
            options: Some(options),
            ..Login::default()
        };
        let client = self
            .connector
            .connect(address, &login)
            .await
            .map_err(|error| error.to_string())?;
        self.clients.insert(vm, client);
        Ok(())
    }

    async fn send(
        &self,
        vm: usize,
        action: Action,
        number: i64,
    ) -> Result<Response, tokio_postgres::Error> {
        let client = &self.clients[&vm];
        let session = &self.plan.name;
        let tag = format!("/*session='{session}',request='{session}-{}'*/", self.sent);
        let save =
            format!("INSERT INTO note (session, sequence) VALUES ('{session}', {number}) {tag}");
        match action {
            Action::Save => {
                client.batch_execute(&save).await?;
                Ok(Response {
                    found: None,
                    is_own: true,
                })
            }
            Action::Transaction => {
                client.batch_execute(&format!("BEGIN {tag}")).await?;
                client
                    .batch_execute(&format!(
                        "SELECT count(*) FROM note WHERE session = '{session}' {tag}"
                    ))
                    .await?;
                client.batch_execute(&save).await?;
                client.batch_execute("COMMIT").await?;
                Ok(Response {
                    found: None,
                    is_own: true,
                })
            }
            Action::ReadBack => {
                let read = format!(
                    "SELECT coalesce(max(sequence), 0)::bigint FROM note WHERE session = $1 {tag}"
                );
                let row = client.query_one(&read, &[session]).await?;
                Ok(Response {
                    found: Some(row.get(0)),
                    is_own: true,
                })
            }
            Action::View => {
                let index = self.sent as usize % VIEWS.len();
                let marker = format!("{session}-{}", self.sent);
                let view = format!("SELECT name, '{marker}' FROM layer WHERE id = $1 {tag}");
                let row = client.query_one(&view, &[&(index as i64 + 1)]).await?;
                let is_own =
                    row.get::<_, &str>(0) == VIEWS[index] && row.get::<_, &str>(1) == marker;
                Ok(Response {
                    found: None,
                    is_own,
                })
            }
        }
    }
}

fn status_is_unknown(record: &RequestRecord) -> bool {
    matches!(record.status, Status::Unknown { .. })
}

/// Response to a request.
struct Response {
    /// Sequence number that a read returned.
    found: Option<i64>,
    /// Whether the response belongs to the request.
    is_own: bool,
}
