//! Callers that save continuously, with a unique identifier for each save.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, timeout};
use tokio_postgres::Client;

use super::failed;
use crate::client::{Connector, Login};
use crate::database::DatabaseGroup;
use crate::fleet::Fleet;
use crate::measure::Result;

/// Delay after a failed save or connection attempt.
const RETRY_DELAY: Duration = Duration::from_millis(10);

/// Time after which the outcome of a save counts as unknown.
const STATEMENT_TIMEOUT: Duration = Duration::from_secs(30);

/// Outcomes of the saves.
#[derive(Debug, Default)]
pub(super) struct Outcomes {
    /// Identifiers of the saves that were acknowledged.
    pub(super) acknowledged: Vec<String>,
    /// Identifiers of the saves that were refused as not run.
    pub(super) not_run: Vec<String>,
    pub(super) unknown: usize,
    /// Latencies of the acknowledged saves.
    pub(super) latencies_ms: Vec<f64>,
    acknowledged_at: Vec<Instant>,
}

type Shared = Arc<Mutex<Outcomes>>;

/// Running callers that save until they are stopped.
pub(super) struct Savers {
    outcomes: Shared,
    stop: watch::Sender<bool>,
    tasks: Vec<JoinHandle<()>>,
}

impl Savers {
    pub(super) async fn start(fleet: &Fleet, database: &str, count: usize) -> Result<Self> {
        let outcomes = Shared::default();
        let stop = watch::Sender::new(false);
        let workspaces = &fleet.stand_ins.deployment.workspaces;
        let vms = fleet.running();
        let mut tasks = Vec::new();
        for number in 0..count {
            let login = Login {
                workspace: workspaces[number % workspaces.len()].0.to_owned(),
                database: database.to_owned(),
                ..Login::default()
            };
            let saver = Saver {
                number,
                address: fleet.caller_address(vms[number % vms.len()]),
                connector: fleet.connector().clone(),
                login,
                outcomes: Arc::clone(&outcomes),
            };
            let client = saver.connect().await;
            let client = client.ok_or_else(|| failed("a saver can't connect"))?;
            tasks.push(tokio::spawn(saver.run(client, stop.subscribe())));
        }
        Ok(Self {
            outcomes,
            stop,
            tasks,
        })
    }

    /// Returns the longest time between consecutive acknowledgements of which the second came
    /// after `since`; `None` if there are none.
    pub(super) fn longest_gap_since(&self, since: Instant) -> Option<Duration> {
        let outcomes = self.outcomes.lock().unwrap_or_else(PoisonError::into_inner);
        let times = &outcomes.acknowledged_at;
        let first = times.partition_point(|at| *at < since);
        let times = &times[first.saturating_sub(1)..];
        times.windows(2).map(|pair| pair[1] - pair[0]).max()
    }

    /// Returns whether a save was acknowledged within the given time before now.
    pub(super) fn acknowledged_within(&self, time: Duration) -> bool {
        let outcomes = self.outcomes.lock().unwrap_or_else(PoisonError::into_inner);
        let last = outcomes.acknowledged_at.last();
        last.is_some_and(|at| at.elapsed() < time)
    }

    pub(super) async fn stop(self) -> Outcomes {
        self.stop.send_replace(true);
        for task in self.tasks {
            // A caller that panicked has already recorded the outcomes of its earlier saves.
            let _ = task.await;
        }
        std::mem::take(&mut *self.outcomes.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

struct Saver {
    number: usize,
    address: std::net::SocketAddr,
    connector: Connector,
    login: Login,
    outcomes: Shared,
}

impl Saver {
    async fn connect(&self) -> Option<Client> {
        self.connector.connect(self.address, &self.login).await.ok()
    }

    async fn run(self, mut client: Client, stop: watch::Receiver<bool>) {
        for sequence in 0_u64.. {
            if *stop.borrow() {
                return;
            }
            let id = format!("{}-{sequence}", self.number);
            if self.save(&client, id).await {
                continue;
            }
            sleep(RETRY_DELAY).await;
            while client.is_closed() {
                match self.connect().await {
                    Some(next) => client = next,
                    None => sleep(RETRY_DELAY).await,
                }
            }
        }
    }

    /// Sends one save and records its outcome; returns whether it was acknowledged.
    async fn save(&self, client: &Client, id: String) -> bool {
        let (session, sequence) = id.split_once('-').unwrap_or_default();
        let statement =
            format!("INSERT INTO note (session, sequence) VALUES ('{session}', {sequence})");
        let started_at = Instant::now();
        let result = timeout(STATEMENT_TIMEOUT, client.simple_query(&statement)).await;
        let mut outcomes = self.outcomes.lock().unwrap_or_else(PoisonError::into_inner);
        match result {
            Ok(Ok(_)) => {
                let now = Instant::now();
                let latency = now - started_at;
                outcomes.acknowledged.push(id);
                outcomes.acknowledged_at.push(now);
                outcomes.latencies_ms.push(latency.as_secs_f64() * 1_000.0);
                true
            }
            Ok(Err(error)) => {
                let refusal = error
                    .as_db_error()
                    .map(tokio_postgres::error::DbError::message);
                if refusal.is_some_and(|message| message.starts_with("not run")) {
                    outcomes.not_run.push(id);
                } else {
                    outcomes.unknown += 1;
                }
                false
            }
            Err(_) => {
                outcomes.unknown += 1;
                false
            }
        }
    }
}

/// Returns the identifiers of all saves in the store of the group's current primary.
pub(super) fn read_back(group: &DatabaseGroup) -> Result<Vec<String>> {
    let primary = group
        .primary()
        .ok_or_else(|| failed("the group has no primary"))?;
    let statement = "SELECT session, sequence FROM note";
    let rows = group.query(&primary, statement).map_err(failed)?;
    Ok(rows.iter().map(|row| row.join("-")).collect())
}
