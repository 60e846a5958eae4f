//! Simulated platform service, which responds to calls of the control code immediately and on the
//! same thread.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use currantlb::configuration::Revision;
use currantlb::control::blackboard::CallId;
use currantlb::control::command::PlatformRequest;
use currantlb::control::event::{KeyValue, PlatformEvent, PlatformResponse};
use currantlb::time::Timestamp;

/// Lease numbers are greater than this.
const FIRST_LEASE: u64 = 100;

/// Keys of the service and the watches on them.
#[derive(Debug, Default)]
pub(super) struct Service {
    keys: BTreeMap<String, (Vec<u8>, Revision)>,
    revision: u64,
    leases: u64,
    /// Watched prefixes by VM index and watch.
    watches: HashMap<(usize, CallId), String>,
}

/// An event and the index of the VM that it is for.
pub(super) type AddressedEvent = (usize, PlatformEvent);

impl Service {
    /// Writes a key unconditionally; returns the events for its watchers.
    pub(super) fn put(&mut self, key: &str, value: Vec<u8>) -> Vec<AddressedEvent> {
        self.revision += 1;
        let revision = Revision(self.revision);
        self.keys.insert(key.to_owned(), (value.clone(), revision));
        self.change_events(&KeyValue {
            key: key.to_owned(),
            value: Some(value),
            revision,
        })
    }

    fn change_events(&self, change: &KeyValue) -> Vec<AddressedEvent> {
        let watching = self
            .watches
            .iter()
            .filter(|(_, prefix)| change.key.starts_with(prefix.as_str()));
        let event = |((board, watch), _): (&(usize, CallId), &String)| {
            let event = PlatformEvent::Changed {
                watch: *watch,
                keys: vec![change.clone()],
                revision: change.revision,
            };
            (*board, event)
        };
        watching.map(event).collect()
    }

    /// Carries out a call of a VM; returns the resulting events, also those for watchers.
    pub(super) fn call(
        &mut self,
        board: usize,
        call: CallId,
        request: PlatformRequest,
        now: Timestamp,
    ) -> Vec<AddressedEvent> {
        let mut events = Vec::new();
        let response = match request {
            PlatformRequest::Get { key } => self.matching(|candidate| candidate == key),
            PlatformRequest::List { prefix, .. } => {
                self.matching(|candidate| candidate.starts_with(&prefix))
            }
            PlatformRequest::CompareAndSwap {
                key,
                expected,
                value,
                ..
            } => self.swap(key, expected, value, &mut events),
            PlatformRequest::GrantLease { ttl } => {
                self.leases += 1;
                PlatformResponse::Lease {
                    lease: FIRST_LEASE + self.leases,
                    ttl,
                }
            }
            PlatformRequest::KeepAlive { lease } => PlatformResponse::Lease {
                lease,
                ttl: Duration::from_secs(10),
            },
            PlatformRequest::Revoke { .. } => PlatformResponse::LeaseLapsed,
            PlatformRequest::Watch { prefix, .. } => {
                self.watches.insert((board, call), prefix);
                return events;
            }
            PlatformRequest::EndWatch { watch } => {
                self.watches.remove(&(board, watch));
                return events;
            }
        };
        events.push((
            board,
            PlatformEvent::Ended {
                call,
                sent_at: now,
                result: Ok(response),
            },
        ));
        events
    }

    fn matching(&self, matches: impl Fn(&str) -> bool) -> PlatformResponse {
        let entries = self.keys.iter().filter(|(key, _)| matches(key));
        let keys = entries.map(|(key, (value, revision))| KeyValue {
            key: key.clone(),
            value: Some(value.clone()),
            revision: *revision,
        });
        PlatformResponse::Found {
            keys: keys.collect(),
            revision: Revision(self.revision),
        }
    }

    fn swap(
        &mut self,
        key: String,
        expected: Revision,
        value: Option<Vec<u8>>,
        events: &mut Vec<AddressedEvent>,
    ) -> PlatformResponse {
        let current = self.keys.get(&key);
        if current.map_or(Revision(0), |(_, revision)| *revision) != expected {
            let current = current.map(|(value, revision)| KeyValue {
                key: key.clone(),
                value: Some(value.clone()),
                revision: *revision,
            });
            return PlatformResponse::Conflict { current };
        }
        self.revision += 1;
        let revision = Revision(self.revision);
        match &value {
            Some(value) => {
                self.keys.insert(key.clone(), (value.clone(), revision));
            }
            None => {
                self.keys.remove(&key);
            }
        }
        events.extend(self.change_events(&KeyValue {
            key,
            value,
            revision,
        }));
        PlatformResponse::Swapped { revision }
    }
}
