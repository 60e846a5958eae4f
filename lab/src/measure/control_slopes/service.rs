//! The platform's service as the control code sees it: answers at once, on the same thread.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use currantlb::configuration::Revision;
use currantlb::control::blackboard::CallId;
use currantlb::control::command::PlatformRequest;
use currantlb::control::event::{KeyValue, PlatformEvent, PlatformResponse};
use currantlb::time::Timestamp;

/// Leases are numbered from here.
const FIRST_LEASE: u64 = 100;

/// Keys of the service, and who watches them.
#[derive(Debug, Default)]
pub(super) struct Service {
    keys: BTreeMap<String, (Vec<u8>, Revision)>,
    revision: u64,
    leases: u64,
    watches: HashMap<(usize, CallId), String>,
}

/// Event for the board of a number.
pub(super) type Addressed = (usize, PlatformEvent);

impl Service {
    /// Writes a key without condition; returns what its watchers hear.
    pub(super) fn put(&mut self, key: &str, value: Vec<u8>) -> Vec<Addressed> {
        self.revision += 1;
        let revision = Revision(self.revision);
        self.keys.insert(key.to_owned(), (value.clone(), revision));
        self.changed(&KeyValue {
            key: key.to_owned(),
            value: Some(value),
            revision,
        })
    }

    fn changed(&self, change: &KeyValue) -> Vec<Addressed> {
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

    /// Answers one call.
    pub(super) fn call(
        &mut self,
        board: usize,
        call: CallId,
        request: PlatformRequest,
        now: Timestamp,
    ) -> Vec<Addressed> {
        let mut events = Vec::new();
        let answer = match request {
            PlatformRequest::Get { key } => self.found(|found| found == key),
            PlatformRequest::List { prefix, .. } => self.found(|found| found.starts_with(&prefix)),
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
                result: Ok(answer),
            },
        ));
        events
    }

    fn found(&self, wanted: impl Fn(&str) -> bool) -> PlatformResponse {
        let matching = self.keys.iter().filter(|(key, _)| wanted(key));
        let keys = matching.map(|(key, (value, revision))| KeyValue {
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
        events: &mut Vec<Addressed>,
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
        events.extend(self.changed(&KeyValue {
            key,
            value,
            revision,
        }));
        PlatformResponse::Swapped { revision }
    }
}
