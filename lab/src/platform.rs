//! Stand-in for the platform: its key-value service, and its list of VMs, which is updated with a
//! lag.
//!
//! The service has the paths of the etcd v3 JSON gateway. Tests can make it unavailable or slow,
//! and can drop responses to writes that took effect. Calls are counted by kind.

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

/// Running stand-in. Dropping it stops the service.
#[derive(Debug)]
pub struct Platform {
    shared: Arc<Shared>,
    address: SocketAddr,
    prefixes: PlatformSettings,
    _tasks: JoinSet<()>,
}

impl Platform {
    /// Starts the service on an address. Port 0 picks a free port.
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

    /// Returns the base URL of the service.
    pub fn endpoint(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Returns the settings that a VM needs to connect to the service.
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
        self.shared.notify_watches();
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
        self.shared.notify_watches();
    }

    /// Writes a configuration record directly to the store, without the administration API.
    ///
    /// # Panics
    ///
    /// Panics if the record can't be serialized as JSON, which its types rule out.
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

    /// Adds a VM to the list, or updates its record there, after the given lag.
    ///
    /// # Panics
    ///
    /// Panics if the record can't be serialized as JSON, which its types rule out.
    pub fn list_vm(&self, vm: &VmRecord, lag: Duration) {
        let value = serde_json::to_vec(vm).expect("records can be written as JSON");
        self.change_list(&vm.name, Some(value), lag);
    }

    /// Removes a VM from the list after the given lag.
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
            shared.notify_watches();
        };
        if lag.is_zero() {
            return change();
        }
        tokio::spawn(async move {
            tokio::time::sleep(lag).await;
            change();
        });
    }

    /// Starts an outage, or ends it with [`Outage::None`].
    pub fn set_outage(&self, outage: Outage) {
        self.shared.faults.set_outage(outage);
    }

    /// Sets a delay for every call.
    pub fn set_delay(&self, delay: Duration) {
        self.shared.faults.set_delay(delay);
    }

    /// Drops the responses of the next `count` calls after they took effect. Affects writes and
    /// lease calls, not reads and watches.
    pub fn drop_responses(&self, count: u32) {
        self.shared.faults.drop_responses(count);
    }

    /// Returns the number of calls received, by kind. A watch counts as one call however long it
    /// lasts.
    pub fn calls(&self) -> BTreeMap<CallKind, u64> {
        self.shared.faults.calls()
    }
}
