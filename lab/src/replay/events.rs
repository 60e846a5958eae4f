//! Applies the events of a trace to a fleet.

use std::time::Duration;

use currantlb::configuration::{InstanceState, KeyState, PresetInForce, Record, RecordPath};
use currantlb::control::configuration::CONFIGURATION_PREFIX;
use currantlb::settings::PlatformSettings;
use tokio::time::Instant;

use super::session::VmDirectory;
use super::trace::{Event, TimedEvent};
use crate::deployment::{Deployment, INSTANCES_PER_DATABASE};
use crate::fleet::{Fleet, Result};
use crate::platform::Outage;

/// Time within which an accepted configuration change must be in force on all VMs.
pub(super) const PROPAGATION_LIMIT: Duration = Duration::from_secs(3);

/// Time between the stop and the start of a VM that is restarted.
const RESTART_PAUSE: Duration = Duration::from_millis(300);

/// Applied events that the checks need to know about.
#[derive(Debug, Default)]
pub(super) struct AppliedEvents {
    /// Workspaces whose keys were withdrawn, with the time after which none of their requests may
    /// run.
    pub(super) withdrawn: Vec<(String, Duration)>,
    /// Instances that were taken out of service.
    pub(super) drained: Vec<Drained>,
    /// Indexes of the VMs that were stopped gracefully, with the start and end time of the stop.
    pub(super) stopped: Vec<(usize, Duration, Duration)>,
}

/// An instance that was taken out of service.
#[derive(Debug)]
pub(super) struct Drained {
    pub(super) database: String,
    pub(super) instance: String,
    /// Time from which the instance must not get new statements.
    pub(super) idle_deadline: Instant,
    /// Statements that the instance had run when [`EventRunner::record_drained_statements`] first
    /// ran after `idle_deadline`.
    pub(super) statements: Option<u64>,
}

/// Applies events to a fleet and records what the checks need.
pub(super) struct EventRunner<'a> {
    pub(super) fleet: &'a mut Fleet,
    pub(super) directory: VmDirectory,
    pub(super) start: Instant,
    pub(super) applied: AppliedEvents,
    /// Killed primaries that are not yet restarted, as (database, instance).
    killed: Vec<(String, String)>,
}

impl<'a> EventRunner<'a> {
    pub(super) fn new(fleet: &'a mut Fleet, directory: VmDirectory, start: Instant) -> Self {
        Self {
            fleet,
            directory,
            start,
            applied: AppliedEvents::default(),
            killed: Vec::new(),
        }
    }

    /// Applies one event.
    pub(super) async fn apply(&mut self, event: &TimedEvent) -> Result<()> {
        match &event.what {
            Event::Lag { database, lag_ms } => {
                for instance in instances(database) {
                    self.fleet
                        .stand_ins
                        .group(database)
                        .set_lag(&instance, Duration::from_millis(*lag_ms));
                }
            }
            Event::CutReplication { database } => self.with_primary(database, |group, primary| {
                group.isolate_from_instances(primary);
            }),
            Event::IsolatePrimary { database } => self.with_primary(database, |group, primary| {
                group.isolate(primary);
            }),
            Event::KillPrimary { database } => {
                if let Some(primary) = self.fleet.stand_ins.group(database).primary() {
                    self.fleet.stand_ins.group(database).kill(&primary);
                    self.killed.push((database.clone(), primary));
                }
            }
            Event::Heal { database } => self.repair(database),
            Event::Outage { down } => {
                let outage = if *down { Outage::Hang } else { Outage::None };
                self.fleet.stand_ins.platform.set_outage(outage);
            }
            Event::WithdrawKey { workspace } => self.withdraw_key(workspace),
            Event::SwitchPreset { preset } => self.switch_preset(preset),
            Event::DrainInstance { database, instance } => self.drain_instance(database, *instance),
            Event::RestartVm { vm } => return self.restart_vm(*vm).await,
            Event::KillVm { vm } => {
                self.remove_from_directory(*vm);
                self.fleet.kill_vm(*vm);
            }
        }
        Ok(())
    }

    fn with_primary(&self, database: &str, change: impl Fn(&crate::database::DatabaseGroup, &str)) {
        let group = self.fleet.stand_ins.group(database);
        if let Some(primary) = group.primary() {
            change(group, &primary);
        }
    }

    /// Restores the links of a database's instances and restarts its killed primaries.
    pub(super) fn repair(&mut self, database: &str) {
        let group = self.fleet.stand_ins.group(database);
        for instance in instances(database) {
            group.restore_links(&instance);
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

    fn remove_from_directory(&self, vm: usize) {
        self.directory
            .write()
            .expect("no code panics while it holds the lock")[vm] = None;
    }

    async fn restart_vm(&mut self, vm: usize) -> Result<()> {
        self.remove_from_directory(vm);
        let from = self.start.elapsed();
        self.fleet.stop_vm(vm).await;
        self.applied.stopped.push((vm, from, self.start.elapsed()));
        tokio::time::sleep(RESTART_PAUSE).await;
        self.fleet.start_vm(vm).await?;
        let address = self.fleet.caller_address(vm);
        self.directory
            .write()
            .expect("no code panics while it holds the lock")[vm] = Some(address);
        Ok(())
    }

    fn withdraw_key(&mut self, workspace: &str) {
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
        let deadline = self.start.elapsed() + PROPAGATION_LIMIT;
        self.applied
            .withdrawn
            .push((workspace.to_owned(), deadline));
    }

    fn switch_preset(&self, preset: &str) {
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

    fn drain_instance(&mut self, database: &str, instance: usize) {
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
        self.applied.drained.push(Drained {
            database: database.to_owned(),
            instance: name,
            idle_deadline: Instant::now() + PROPAGATION_LIMIT,
            statements: None,
        });
    }

    /// Records the statement counts of drained instances whose idle deadline has passed.
    pub(super) fn record_drained_statements(&mut self) {
        for drained in &mut self.applied.drained {
            if drained.statements.is_none() && Instant::now() >= drained.idle_deadline {
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

/// Returns the names of all instances of a database.
pub(super) fn instances(database: &str) -> Vec<String> {
    (0..INSTANCES_PER_DATABASE)
        .map(|index| Deployment::instance_name(database, index))
        .collect()
}
