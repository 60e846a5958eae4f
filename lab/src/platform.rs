//! Stand-in for the platform: its key-value service, and its lagging list of VMs.
//!
//! The service has the paths of the etcd v3 JSON gateway. It can be down or slow, and its answers
//! can be lost after a write took effect; calls are counted by kind.

mod faults;
mod service;
mod shared;
mod store;
mod watch;
mod wire;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use currantlb::configuration::{Record, RecordPath};
use currantlb::control::membership::VmRecord;
use currantlb::name::VmName;
use currantlb::settings::PlatformSettings;
use tokio::net::TcpListener;
use tokio::task::JoinSet;

pub use faults::{CallKind, Outage};

use shared::Shared;
use store::KeyRange;

/// Running stand-in; dropping it ends it.
#[derive(Debug)]
pub struct Platform {
    shared: Arc<Shared>,
    address: SocketAddr,
    prefixes: PlatformSettings,
    _tasks: JoinSet<()>,
}

impl Platform {
    /// Starts the service on an address; port 0 picks a free one.
    ///
    /// # Errors
    ///
    /// Fails when the address can't be bound.
    pub async fn start(address: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared::default());
        let mut tasks = JoinSet::new();
        let router = service::router(Arc::clone(&shared));
        tasks.spawn(async move {
            if let Err(error) = axum::serve(listener, router).await {
                log::error!("event=platform_ended error={error:?}");
            }
        });
        tasks.spawn(service::expire_leases(Arc::downgrade(&shared)));
        Ok(Self {
            shared,
            address,
            prefixes: PlatformSettings::default(),
            _tasks: tasks,
        })
    }

    /// Returns the base address of the service.
    pub fn endpoint(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Returns the settings with which a VM reaches the service.
    pub fn settings(&self) -> PlatformSettings {
        PlatformSettings {
            endpoints: vec![self.endpoint()],
            ..PlatformSettings::default()
        }
    }

    /// Writes a key.
    pub fn put(&self, key: &str, value: Vec<u8>) {
        {
            let mut store = self.shared.store();
            store.next_revision();
            store.put(key.as_bytes().to_vec(), value, 0);
        }
        self.shared.announce();
    }

    /// Reads a key.
    pub fn get(&self, key: &str) -> Option<Vec<u8>> {
        self.shared
            .store()
            .get(key.as_bytes())
            .map(|item| item.value.clone())
    }

    /// Deletes a key.
    pub fn delete(&self, key: &str) {
        {
            let mut store = self.shared.store();
            store.next_revision();
            store.delete(&KeyRange {
                key: key.as_bytes().to_vec(),
                end: Vec::new(),
            });
        }
        self.shared.announce();
    }

    /// Writes a record of the configuration, as an operator would past the administration API.
    ///
    /// # Panics
    ///
    /// Panics when the record can't be written as JSON, which no record's form allows.
    pub fn put_record(&self, record: &Record) {
        let path = match record {
            Record::Workspace(workspace) => RecordPath::Workspace(workspace.name.clone()),
            Record::Preset(preset) => RecordPath::Preset(preset.name.clone()),
            Record::Route(route) => RecordPath::Route(route.name.clone()),
            Record::Database(database) => RecordPath::Database(database.name.clone()),
            Record::InForce(_) => RecordPath::InForce,
        };
        let value = serde_json::to_vec(record).expect("records can be written as JSON");
        self.put(&format!("{}config/{path}", self.prefixes.prefix), value);
    }

    /// Puts a VM on the list, or changes its state, once the lag has passed.
    ///
    /// # Panics
    ///
    /// Panics when the record can't be written as JSON, which its form does not allow.
    pub fn list_vm(&self, vm: &VmRecord, lag: Duration) {
        let value = serde_json::to_vec(vm).expect("records can be written as JSON");
        self.change_list(&vm.name, Some(value), lag);
    }

    /// Takes a VM off the list once the lag has passed.
    pub fn unlist_vm(&self, vm: &VmName, lag: Duration) {
        self.change_list(vm, None, lag);
    }

    fn change_list(&self, vm: &VmName, value: Option<Vec<u8>>, lag: Duration) {
        let key = format!("{}{vm}", self.prefixes.vm_list_prefix).into_bytes();
        let shared = Arc::clone(&self.shared);
        let change = move || {
            {
                let mut store = shared.store();
                store.next_revision();
                match value {
                    Some(value) => {
                        store.put(key, value, 0);
                    }
                    None => {
                        store.delete(&KeyRange {
                            key,
                            end: Vec::new(),
                        });
                    }
                }
            }
            shared.announce();
        };
        if lag.is_zero() {
            return change();
        }
        tokio::spawn(async move {
            tokio::time::sleep(lag).await;
            change();
        });
    }

    /// Starts or ends an outage.
    pub fn set_outage(&self, outage: Outage) {
        self.shared.faults.set_outage(outage);
    }

    /// Makes every call take longer.
    pub fn set_delay(&self, delay: Duration) {
        self.shared.faults.set_delay(delay);
    }

    /// Loses the answers of the next writes, after they took effect.
    pub fn lose_answers(&self, count: u32) {
        self.shared.faults.lose_answers(count);
    }

    /// Returns how many calls of each kind came; a waiting watch is one call.
    pub fn calls(&self) -> BTreeMap<CallKind, u64> {
        self.shared.faults.calls()
    }
}
