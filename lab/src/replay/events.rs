//! Carries out the events of a trace.

use std::time::Duration;

use currantlb::configuration::{InstanceState, KeyState, PresetInForce, Record, RecordPath};
use currantlb::control::configuration::CONFIGURATION_PREFIX;
use currantlb::settings::PlatformSettings;
use tokio::time::Instant;

use super::session::Directory;
use super::trace::{Event, TimedEvent};
use crate::deployment::{Deployment, INSTANCES_PER_DATABASE};
use crate::fleet::{Fleet, Result};
use crate::platform::Outage;

/// Time in which an accepted change must be in force everywhere.
pub(super) const CHANGE_BOUND: Duration = Duration::from_secs(3);

/// Time that a VM is away when it is restarted.
const RESTART_PAUSE: Duration = Duration::from_millis(300);

/// What events leave behind for the checks.
#[derive(Debug, Default)]
pub(super) struct Happened {
    /// Withdrawn workspaces, with the time after which nothing may run for them.
    pub(super) withdrawn: Vec<(String, Duration)>,
    /// Drained instances, with their statements once the bound had passed.
    pub(super) drained: Vec<Drained>,
    /// VMs that were stopped as planned, with the time from stop to end.
    pub(super) stopped: Vec<(usize, Duration, Duration)>,
}

/// Instance that was taken out of service.
#[derive(Debug)]
pub(super) struct Drained {
    pub(super) database: String,
    pub(super) instance: String,
    pub(super) settled_at: Instant,
    pub(super) statements: Option<u64>,
}

/// Carries out events against a fleet.
pub(super) struct Stage<'a> {
    pub(super) fleet: &'a mut Fleet,
    pub(super) directory: Directory,
    pub(super) start: Instant,
    pub(super) happened: Happened,
    killed: Vec<(String, String)>,
}

impl<'a> Stage<'a> {
    pub(super) fn new(fleet: &'a mut Fleet, directory: Directory, start: Instant) -> Self {
        Self {
            fleet,
            directory,
            start,
            happened: Happened::default(),
            killed: Vec::new(),
        }
    }

    /// Carries out one event.
    pub(super) async fn carry_out(&mut self, event: &TimedEvent) -> Result<()> {
        match &event.what {
            Event::Lag { database, lag_ms } => {
                for instance in instances(database) {
                    self.fleet
                        .stand_ins
                        .group(database)
                        .set_lag(&instance, Duration::from_millis(*lag_ms));
                }
            }
            Event::CutReplication { database } => self.at_primary(database, |group, primary| {
                group.isolate_from_instances(primary);
            }),
            Event::IsolatePrimary { database } => self.at_primary(database, |group, primary| {
                group.isolate(primary);
            }),
            Event::KillPrimary { database } => {
                if let Some(primary) = self.fleet.stand_ins.group(database).primary() {
                    self.fleet.stand_ins.group(database).kill(&primary);
                    self.killed.push((database.clone(), primary));
                }
            }
            Event::Heal { database } => self.heal(database),
            Event::Outage { down } => {
                let outage = if *down { Outage::Hang } else { Outage::None };
                self.fleet.stand_ins.platform.set_outage(outage);
            }
            Event::WithdrawKey { workspace } => self.withdraw(workspace),
            Event::SwitchPreset { preset } => self.switch(preset),
            Event::DrainInstance { database, instance } => self.drain(database, *instance),
            Event::RestartVm { vm } => return self.restart(*vm).await,
            Event::KillVm { vm } => {
                self.forget(*vm);
                self.fleet.kill_vm(*vm);
            }
        }
        Ok(())
    }

    fn at_primary(&self, database: &str, change: impl Fn(&crate::database::DatabaseGroup, &str)) {
        let group = self.fleet.stand_ins.group(database);
        if let Some(primary) = group.primary() {
            change(group, &primary);
        }
    }

    /// Mends everything that was broken in a database.
    pub(super) fn heal(&mut self, database: &str) {
        let group = self.fleet.stand_ins.group(database);
        for instance in instances(database) {
            group.heal(&instance);
        }
        self.killed.retain(|(name, instance)| {
            if name != database {
                return true;
            }
            if let Err(error) = group.restart(instance) {
                log::error!("event=restart_failed instance={instance} error={error:?}");
            }
            false
        });
    }

    fn forget(&self, vm: usize) {
        self.directory.write().expect("no holder panics")[vm] = None;
    }

    async fn restart(&mut self, vm: usize) -> Result<()> {
        self.forget(vm);
        let from = self.start.elapsed();
        self.fleet.stop_vm(vm).await;
        self.happened.stopped.push((vm, from, self.start.elapsed()));
        tokio::time::sleep(RESTART_PAUSE).await;
        self.fleet.start_vm(vm).await?;
        let address = self.fleet.caller_address(vm);
        self.directory.write().expect("no holder panics")[vm] = Some(address);
        Ok(())
    }

    fn withdraw(&mut self, workspace: &str) {
        let Some(Record::Workspace(mut record)) =
            self.record(&RecordPath::Workspace(workspace.into()))
        else {
            return;
        };
        for key in &mut record.keys {
            key.state = KeyState::Withdrawn;
        }
        self.fleet
            .stand_ins
            .platform
            .put_record(&Record::Workspace(record));
        let bound = self.start.elapsed() + CHANGE_BOUND;
        self.happened.withdrawn.push((workspace.to_owned(), bound));
    }

    fn switch(&self, preset: &str) {
        let version = match self.record(&RecordPath::InForce) {
            Some(Record::InForce(in_force)) => in_force.version + 1,
            _ => 1,
        };
        let in_force = PresetInForce {
            preset: preset.into(),
            version,
            operation: format!("replay-{version}").into(),
        };
        self.fleet
            .stand_ins
            .platform
            .put_record(&Record::InForce(in_force));
    }

    fn drain(&mut self, database: &str, instance: usize) {
        let Some(Record::Database(mut record)) =
            self.record(&RecordPath::Database(database.into()))
        else {
            return;
        };
        record.instances[instance].state = InstanceState::Leaving;
        let name = record.instances[instance].name.to_string();
        self.fleet
            .stand_ins
            .platform
            .put_record(&Record::Database(record));
        self.happened.drained.push(Drained {
            database: database.to_owned(),
            instance: name,
            settled_at: Instant::now() + CHANGE_BOUND,
            statements: None,
        });
    }

    /// Notes the statements of drained instances once they must be idle.
    pub(super) fn observe(&mut self) {
        for drained in &mut self.happened.drained {
            if drained.statements.is_none() && Instant::now() >= drained.settled_at {
                let group = self.fleet.stand_ins.group(&drained.database);
                drained.statements = Some(group.statements(&drained.instance));
            }
        }
    }

    fn record(&self, path: &RecordPath) -> Option<Record> {
        let prefix = PlatformSettings::default().prefix;
        let key = format!("{prefix}{CONFIGURATION_PREFIX}{path}");
        serde_json::from_slice(&self.fleet.stand_ins.platform.get(&key)?).ok()
    }
}

/// Returns the names of a database's instances.
pub(super) fn instances(database: &str) -> Vec<String> {
    (0..INSTANCES_PER_DATABASE)
        .map(|index| Deployment::instance_name(database, index))
        .collect()
}
