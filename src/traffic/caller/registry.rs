//! Callers that are logged in, and how they are told of what concerns them.

use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use slab::Slab;
use tokio::sync::Notify;
use xxhash_rust::xxh3::xxh3_64;

use crate::configuration::{Configuration, KeyState};
use crate::name::{KeyId, VmName, WorkspaceName};

/// Bits of a process number that tell callers of one VM apart.
const INDEX_BITS: u32 = 15;
/// Bits of a process number that tell VMs apart; a few VMs of a large fleet share them.
const VM_MASK: u64 = 0xffff;

const RUNNING: u8 = 1;
const CANCEL: u8 = 1 << 1;
const WITHDRAWN: u8 = 1 << 2;
const CLOSE: u8 = 1 << 3;

/// What a caller sends to cancel its statement, as it was given at login.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct CancelKey {
    /// Process number: bits of the VM and of the caller.
    pub process: i32,
    /// Random number.
    pub secret: i32,
}

impl CancelKey {
    /// Returns whether the key may have been given by a VM.
    pub fn is_of(&self, vm: &VmName) -> bool {
        (self.process as u32) >> INDEX_BITS == vm_bits(vm)
    }
}

fn vm_bits(vm: &VmName) -> u32 {
    (xxh3_64(vm.as_bytes()) & VM_MASK) as u32
}

/// What concerns one caller, set by others and read by its session.
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

    /// Waits until something was raised.
    pub(crate) async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Marks that a statement runs, so that a cancel request has something to cancel.
    pub(crate) fn start_statement(&self) {
        // A request that came before this statement was not meant for it.
        self.flags.fetch_and(!CANCEL, Ordering::AcqRel);
        self.flags.fetch_or(RUNNING, Ordering::AcqRel);
    }

    /// Marks that no statement runs.
    pub(crate) fn end_statement(&self) {
        self.flags.fetch_and(!(RUNNING | CANCEL), Ordering::AcqRel);
    }

    fn cancel(&self) {
        if self.flags.load(Ordering::Acquire) & RUNNING != 0 {
            self.raise(CANCEL);
        }
    }

    /// Returns whether the running statement is to be cancelled, once.
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

    /// Returns whether the connection is to be closed as soon as no transaction runs.
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

/// Place of one caller in the registry, which ends with it.
#[derive(Debug)]
pub(crate) struct Registration {
    registry: Arc<CallerRegistry>,
    index: usize,
    /// Key with which the caller cancels its statements.
    pub(crate) cancel_key: CancelKey,
    /// What concerns the caller.
    pub(crate) signal: Arc<CallerSignal>,
}

impl Drop for Registration {
    fn drop(&mut self) {
        self.registry.entries().remove(self.index);
        self.registry.removed.notify_waiters();
    }
}

impl CallerRegistry {
    /// Builds the registry of a VM without callers.
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

    /// Adds a caller.
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

    /// Cancels the statement of the caller that was given the key, if one runs.
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

    /// Tells every caller whose key is no longer active.
    pub(crate) fn withdraw_keys(&self, configuration: &Configuration) {
        for (_, entry) in &*self.entries() {
            if !is_active(configuration, &entry.workspace, &entry.key)
                && !entry.signal.is_withdrawn()
            {
                entry.signal.raise(WITHDRAWN);
            }
        }
    }

    /// Closes every caller between transactions, one after the other over `spread`.
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

    /// Waits until every caller has gone.
    pub(crate) async fn emptied(&self) {
        loop {
            let removed = self.removed.notified();
            if self.is_empty() {
                return;
            }
            removed.await;
        }
    }
}

/// Returns whether a workspace has an active key of this identifier.
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
