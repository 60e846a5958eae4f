//! Registry of the callers that are logged in, and signals to their sessions.

use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use slab::Slab;
use tokio::sync::Notify;
use xxhash_rust::xxh3::xxh3_64;

use crate::configuration::{Configuration, KeyState};
use crate::name::{KeyId, VmName, WorkspaceName};

/// Bits of a process number that identify a caller within its VM.
const INDEX_BITS: u32 = 15;
/// Mask of the hash of a VM's name, which identifies the VM in a process number. In a large fleet a
/// few VMs share a value.
const VM_MASK: u64 = 0xffff;

/// Flag of a [`CallerSignal`]: a statement is running.
const RUNNING: u8 = 1;
/// Flag: the running statement is to be cancelled.
const CANCEL: u8 = 1 << 1;
/// Flag: the caller's key was withdrawn.
const WITHDRAWN: u8 = 1 << 2;
/// Flag: the connection is to be closed as soon as no transaction is open.
const CLOSE: u8 = 1 << 3;

/// Key for `CancelRequest`, issued to the caller at login in `BackendKeyData`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct CancelKey {
    /// Process number: bits of the VM, followed by bits of the caller.
    pub process: i32,
    /// Random secret.
    pub secret: i32,
}

impl CancelKey {
    /// Returns whether the key may have been issued by a VM; several VMs can match.
    pub fn may_belong_to(&self, vm: &VmName) -> bool {
        (self.process as u32) >> INDEX_BITS == vm_bits(vm)
    }
}

fn vm_bits(vm: &VmName) -> u32 {
    (xxh3_64(vm.as_bytes()) & VM_MASK) as u32
}

/// Flags for one caller, set by other tasks and read by its session.
#[derive(Debug, Default)]
pub(crate) struct CallerSignal {
    flags: AtomicU8,
    changed: Notify,
}

impl CallerSignal {
    fn raise(&self, flag: u8) {
        self.flags.fetch_or(flag, Ordering::AcqRel);
        self.changed.notify_one();
    }

    /// Waits until a flag has been raised.
    pub(crate) async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Marks that a statement is running. Cancel requests have no effect otherwise.
    pub(crate) fn start_statement(&self) {
        // An earlier cancel request was for an earlier statement.
        self.flags.fetch_and(!CANCEL, Ordering::AcqRel);
        self.flags.fetch_or(RUNNING, Ordering::AcqRel);
    }

    /// Marks that no statement is running, and discards a pending cancel request.
    pub(crate) fn end_statement(&self) {
        self.flags.fetch_and(!(RUNNING | CANCEL), Ordering::AcqRel);
    }

    fn cancel(&self) {
        if self.flags.load(Ordering::Acquire) & RUNNING != 0 {
            self.raise(CANCEL);
        }
    }

    /// Takes a pending cancel request; returns whether there was one.
    pub(crate) fn take_cancel(&self) -> bool {
        if self.flags.load(Ordering::Acquire) & CANCEL == 0 {
            return false;
        }
        self.flags.fetch_and(!CANCEL, Ordering::AcqRel) & CANCEL != 0
    }

    /// Returns whether the caller's key was withdrawn.
    pub(crate) fn is_withdrawn(&self) -> bool {
        self.flags.load(Ordering::Acquire) & WITHDRAWN != 0
    }

    /// Returns whether the connection must be closed as soon as no transaction is open.
    pub(crate) fn must_close(&self) -> bool {
        self.flags.load(Ordering::Acquire) & CLOSE != 0
    }
}

#[derive(Debug)]
struct Entry {
    secret: i32,
    workspace: WorkspaceName,
    key: KeyId,
    signal: Arc<CallerSignal>,
}

/// Callers that are logged in to this VM.
#[derive(Debug)]
pub struct CallerRegistry {
    vm_bits: u32,
    entries: Mutex<Slab<Entry>>,
    removed: Notify,
}

/// Entry of one caller in the registry, which is removed on drop.
#[derive(Debug)]
pub(crate) struct Registration {
    registry: Arc<CallerRegistry>,
    index: usize,
    /// Key that lets the caller cancel its statements.
    pub(crate) cancel_key: CancelKey,
    /// Flags for the caller's session.
    pub(crate) signal: Arc<CallerSignal>,
}

impl Drop for Registration {
    fn drop(&mut self) {
        self.registry.entries().remove(self.index);
        self.registry.removed.notify_waiters();
    }
}

impl CallerRegistry {
    /// Builds the empty registry of a VM.
    pub(crate) fn new(vm: &VmName) -> Self {
        Self {
            vm_bits: vm_bits(vm),
            entries: Mutex::default(),
            removed: Notify::new(),
        }
    }

    fn entries(&self) -> MutexGuard<'_, Slab<Entry>> {
        self.entries
            .lock()
            .expect("no code panics while it holds the callers")
    }

    /// Registers a caller and issues its cancel key.
    pub(crate) fn register(
        self: &Arc<Self>,
        workspace: &WorkspaceName,
        key: &KeyId,
    ) -> Registration {
        let signal = Arc::new(CallerSignal::default());
        let secret = rand::random();
        let index = self.entries().insert(Entry {
            secret,
            workspace: workspace.clone(),
            key: key.clone(),
            signal: Arc::clone(&signal),
        });
        let index_bits = index as u32 & ((1 << INDEX_BITS) - 1);
        let process = ((self.vm_bits << INDEX_BITS) | index_bits).cast_signed();
        Registration {
            registry: Arc::clone(self),
            index,
            cancel_key: CancelKey { process, secret },
            signal,
        }
    }

    /// Returns the number of callers.
    pub fn len(&self) -> usize {
        self.entries().len()
    }

    /// Returns whether there are no callers.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Cancels the running statement of the caller that holds the key, if there is one.
    pub fn cancel(&self, key: CancelKey) {
        let index = (key.process as usize) & ((1 << INDEX_BITS) - 1);
        let entries = self.entries();
        let capacity = entries.capacity();
        let same_bits = (index..capacity).step_by(1 << INDEX_BITS);
        let found = same_bits
            .filter_map(|index| entries.get(index))
            .find(|entry| entry.secret == key.secret);
        if let Some(entry) = found {
            entry.signal.cancel();
        }
    }

    /// Signals every caller whose key is no longer active.
    pub(crate) fn signal_withdrawn_keys(&self, configuration: &Configuration) {
        for (_, entry) in &*self.entries() {
            if !is_active(configuration, &entry.workspace, &entry.key)
                && !entry.signal.is_withdrawn()
            {
                entry.signal.raise(WITHDRAWN);
            }
        }
    }

    /// Signals every caller, spread evenly over `spread`, to close its connection once no
    /// transaction is open.
    pub(crate) async fn close_all(&self, spread: Duration) {
        let signals: Vec<_> = self
            .entries()
            .iter()
            .map(|(_, entry)| Arc::clone(&entry.signal))
            .collect();
        let count = u32::try_from(signals.len()).unwrap_or(u32::MAX).max(1);
        let start = tokio::time::Instant::now();
        for (number, signal) in (0_u32..).zip(signals) {
            tokio::time::sleep_until(start + spread * number / count).await;
            signal.raise(CLOSE);
        }
    }

    /// Waits until no caller is registered.
    pub(crate) async fn wait_until_empty(&self) {
        loop {
            let removed = self.removed.notified();
            if self.is_empty() {
                return;
            }
            removed.await;
        }
    }
}

/// Returns whether a workspace has an active key with this ID.
pub(crate) fn is_active(
    configuration: &Configuration,
    workspace: &WorkspaceName,
    key: &KeyId,
) -> bool {
    configuration
        .workspaces
        .get(workspace)
        .is_some_and(|found| {
            let active = |candidate: &crate::configuration::Key| {
                candidate.id == *key && candidate.state == KeyState::Active
            };
            found.keys.iter().any(active)
        })
}
