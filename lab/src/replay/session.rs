//! One caller's session: its requests in order, on any VM.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, RwLock};
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::time::Instant;
use tokio_postgres::Client;

use super::record::{Ending, Record, ending_of};
use super::trace::{Action, Requests};
use crate::client::{Connector, Login};

/// Time that a caller waits for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);

/// Rows of the table that never changes.
const VIEWS: [&str; 3] = ["first", "second", "third"];

/// Addresses of the VMs that callers may use; `None` while a VM is away.
pub(super) type Directory = Arc<RwLock<Vec<Option<SocketAddr>>>>;

/// What a session needs to run.
#[derive(Debug, Clone)]
pub(super) struct SessionPlan {
    pub(super) name: String,
    pub(super) requests: Requests,
    /// Delay of the first request after those of other sessions.
    pub(super) offset: Duration,
    pub(super) seed: u64,
    pub(super) start: Instant,
    /// Factor that times of the trace are divided by.
    pub(super) speed: f64,
}

/// Running session.
pub(super) struct Session {
    plan: SessionPlan,
    connector: Connector,
    directory: Directory,
    clients: BTreeMap<usize, Client>,
    random: StdRng,
    saved: i64,
    acknowledged: i64,
    sent: u64,
}

impl Session {
    pub(super) fn new(plan: SessionPlan, connector: Connector, directory: Directory) -> Self {
        let random = StdRng::seed_from_u64(plan.seed);
        Self {
            plan,
            connector,
            directory,
            clients: BTreeMap::new(),
            random,
            saved: 0,
            acknowledged: 0,
            sent: 0,
        }
    }

    /// Sends every request at its time; one that is late is sent at once.
    pub(super) async fn run(mut self) -> Vec<Record> {
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

    /// Sends one request; `None` when no VM lets the caller in, as nothing was sent then.
    async fn request(&mut self, action: Action) -> Option<Record> {
        let vm = self.choose_vm()?;
        let mut record = self.new_record(vm, action);
        let number = record.number;
        match self.client(vm).await {
            Ok(()) => {}
            Err(message) => {
                record.ending = Ending::NotRun {
                    sqlstate: String::new(),
                    message,
                };
                record.done = self.plan.start.elapsed();
                return Some(record);
            }
        }
        if action.writes() {
            self.saved = number;
        }
        self.sent += 1;
        let answer = tokio::time::timeout(ANSWER_TIMEOUT, self.send(vm, action, number)).await;
        record.done = self.plan.start.elapsed();
        match answer {
            Ok(Ok(Answer { found, own })) => {
                record.own_answer = own;
                record.ending = Ending::Answered(found);
                if action.writes() {
                    self.acknowledged = number;
                }
            }
            Ok(Err(error)) => {
                record.ending = ending_of(&error);
                if self.clients.get(&vm).is_some_and(Client::is_closed)
                    || record_is_unknown(&record)
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

    fn new_record(&self, vm: usize, action: Action) -> Record {
        let sent = self.plan.start.elapsed();
        Record {
            workspace: self.plan.requests.workspace.clone(),
            database: self.plan.requests.database.clone(),
            session: self.plan.name.clone(),
            vm,
            action,
            number: if action.writes() {
                self.saved + 1
            } else {
                self.acknowledged
            },
            own_answer: true,
            sent,
            done: sent,
            ending: Ending::Unknown {
                message: "no answer in time".to_owned(),
            },
        }
    }

    fn choose_vm(&mut self) -> Option<usize> {
        let directory = self.directory.read().expect("no holder panics");
        let present: Vec<_> = (0..directory.len())
            .filter(|vm| directory[*vm].is_some())
            .collect();
        match self.plan.requests.vm {
            Some(vm) if present.contains(&vm) => Some(vm),
            _ if present.is_empty() => None,
            _ => Some(present[self.random.random_range(0..present.len())]),
        }
    }

    async fn client(&mut self, vm: usize) -> Result<(), String> {
        if self
            .clients
            .get(&vm)
            .is_some_and(|client| !client.is_closed())
        {
            return Ok(());
        }
        let address = self.directory.read().expect("no holder panics")[vm];
        let address = address.ok_or_else(|| "the VM has gone".to_owned())?;
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
    ) -> Result<Answer, tokio_postgres::Error> {
        let client = &self.clients[&vm];
        let session = &self.plan.name;
        let tag = format!("/*session='{session}',request='{session}-{}'*/", self.sent);
        let save =
            format!("INSERT INTO note (session, sequence) VALUES ('{session}', {number}) {tag}");
        match action {
            Action::Save => {
                client.batch_execute(&save).await?;
                Ok(Answer {
                    found: None,
                    own: true,
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
                Ok(Answer {
                    found: None,
                    own: true,
                })
            }
            Action::ReadBack => {
                let read = format!(
                    "SELECT coalesce(max(sequence), 0)::bigint FROM note WHERE session = $1 {tag}"
                );
                let row = client.query_one(&read, &[session]).await?;
                Ok(Answer {
                    found: Some(row.get(0)),
                    own: true,
                })
            }
            Action::View => {
                let index = self.sent as usize % VIEWS.len();
                let mark = format!("{session}-{}", self.sent);
                let view = format!("SELECT name, '{mark}' FROM layer WHERE id = $1 {tag}");
                let row = client.query_one(&view, &[&(index as i64 + 1)]).await?;
                let own = row.get::<_, &str>(0) == VIEWS[index] && row.get::<_, &str>(1) == mark;
                Ok(Answer { found: None, own })
            }
        }
    }
}

fn record_is_unknown(record: &Record) -> bool {
    matches!(record.ending, Ending::Unknown { .. })
}

/// What a request got.
struct Answer {
    found: Option<i64>,
    own: bool,
}
