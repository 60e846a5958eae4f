use std::sync::Arc;

use super::*;
use crate::configuration::{DatabaseGroup, InstanceRecord, Record};
use crate::control::blackboard::{Incarnation, LocalVm};
use crate::control::command::{InstanceRequest, PlatformRequest};
use crate::control::event::{InstanceReport, KeyValue};
use crate::name::VmName;
use crate::position::LogPosition;

pub(super) const NAMES: [&str; 3] = ["a", "b", "c"];
pub(super) const DATABASE: &str = "canopy-1";
const TICK_MS: u64 = 20;

/// Fake instance that follows the protocol of docs/DATABASE.md.
#[derive(Debug, Clone)]
pub(super) struct FakeInstance {
    pub report: InstanceReport,
    pub reachable: bool,
    pub stops_after_adopt: bool,
    pub source: Option<(Term, InstanceName)>,
}

impl FakeInstance {
    fn carry_out(&mut self, request: &InstanceRequest) {
        let report = &mut self.report;
        match request {
            InstanceRequest::Probe => {}
            InstanceRequest::Adopt { term } => {
                if *term > report.adopted {
                    report.adopted = term.clone();
                    report.is_primary = false;
                }
            }
            InstanceRequest::Promote { term } => {
                if *term == report.adopted && !report.is_primary {
                    report.is_primary = true;
                    report.last = LogPosition {
                        term: term.clone(),
                        position: report.last.position + 1,
                    };
                }
            }
            InstanceRequest::Follow { term, primary } => {
                if *term >= report.adopted {
                    report.adopted = term.clone();
                    report.is_primary = false;
                    self.source = Some((term.clone(), primary.clone()));
                }
            }
        }
    }
}

/// State of the platform's service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Service {
    Up,
    Down,
    ResponsesLost,
}

pub(super) struct Fixture {
    pub board: Blackboard,
    pub now: Timestamp,
    pub instances: BTreeMap<InstanceName, FakeInstance>,
    pub service: Service,
    pub stored: Option<KeyValue>,
    pub sent_requests: Vec<(Timestamp, InstanceName, InstanceRequest)>,
    pub sent: Vec<(VmName, PeerMessage)>,
    pub calls: usize,
}

pub(super) fn term(number: u64) -> Term {
    Term {
        number,
        promoter: "vm-0".into(),
    }
}

pub(super) fn at(number: u64, position: u64) -> LogPosition {
    LogPosition {
        term: term(number),
        position,
    }
}

fn group() -> DatabaseGroup {
    let record = |name: &str| InstanceRecord {
        name: name.into(),
        address: "127.0.0.1:5432".parse().unwrap(),
        availability_zone: "zone-a".into(),
        slots: 3,
        connections: 20,
        state: InstanceState::Live,
    };
    DatabaseGroup {
        name: DATABASE.into(),
        region: "region".into(),
        cell: "cell".into(),
        instances: NAMES.map(record).to_vec(),
    }
}

impl Fixture {
    /// Creates a healthy group under term 1 with `a` as primary, and runs it for a second.
    pub(super) fn healthy() -> Self {
        let mut fixture = Self::starting();
        fixture.run_ms(1_000);
        assert_eq!(fixture.primary().as_deref(), Some("a"));
        fixture
    }

    pub(super) fn starting() -> Self {
        let local = LocalVm {
            name: "vm-1".into(),
            incarnation: Incarnation(1),
            availability_zone: "zone-a".into(),
            region: "region".into(),
            cell: "cell".into(),
        };
        let mut board = Blackboard::new(local, ControlSettings::default());
        let mut configuration = Configuration::default();
        configuration.put(Record::Database(group()));
        board.configuration.current = Arc::new(configuration);
        let instance = |name: &str| FakeInstance {
            report: InstanceReport {
                adopted: term(1),
                is_primary: name == "a",
                last: at(1, 10),
            },
            reachable: true,
            stops_after_adopt: false,
            source: None,
        };
        let mut fixture = Self {
            board,
            now: Timestamp::from_millis(10_000),
            instances: NAMES.map(|name| (name.into(), instance(name))).into(),
            service: Service::Up,
            stored: None,
            sent_requests: Vec::new(),
            sent: Vec::new(),
            calls: 0,
        };
        fixture.lease(1, 3_600_000);
        fixture
    }

    pub(super) fn lease(&mut self, epoch: u64, for_ms: u64) {
        let valid_until = self.now + Duration::from_millis(for_ms);
        let lease = HomeLease { epoch, valid_until };
        self.board.homes.leases.insert(DATABASE.into(), lease);
    }

    pub(super) fn configure(&mut self, change: impl Fn(&mut DatabaseGroup)) {
        let mut configuration = Configuration::clone(&self.board.configuration.current);
        let mut group = group();
        change(&mut group);
        configuration.put(Record::Database(group));
        self.board.configuration.current = Arc::new(configuration);
    }

    pub(super) fn instance(&mut self, name: &str) -> &mut FakeInstance {
        self.instances.get_mut(name).unwrap()
    }

    pub(super) fn view(&self) -> Arc<DatabaseView> {
        Arc::clone(&self.board.snapshot(self.now).databases[DATABASE])
    }

    pub(super) fn primary(&self) -> Option<InstanceName> {
        self.view().primary.clone()
    }

    pub(super) fn promotions(&self) -> usize {
        let is_promote = |request: &&(_, _, InstanceRequest)| {
            matches!(request.2, InstanceRequest::Promote { .. })
        };
        let terms: BTreeSet<_> = self
            .sent_requests
            .iter()
            .filter(is_promote)
            .map(|(_, _, request)| format!("{request:?}"))
            .collect();
        terms.len()
    }

    /// Ticks until `done` holds; returns how long that took.
    pub(super) fn run_until(&mut self, done: impl Fn(&Self) -> bool) -> Duration {
        let started_at = self.now;
        while !done(self) {
            assert!(
                self.now.since(started_at) < Duration::from_mins(1),
                "condition not reached within a minute"
            );
            self.run_ms(TICK_MS);
        }
        self.now.since(started_at)
    }

    pub(super) fn run_ms(&mut self, millis: u64) {
        for _ in 0..millis / TICK_MS {
            self.now = self.now + Duration::from_millis(TICK_MS);
            self.post(&Event::Tick);
        }
    }

    pub(super) fn post(&mut self, event: &Event) {
        let mut commands = handle(&mut self.board, event, self.now);
        while !commands.is_empty() {
            let events: Vec<_> = commands
                .drain(..)
                .filter_map(|command| self.carry_out(command))
                .collect();
            for event in events {
                commands.extend(handle(&mut self.board, &event, self.now));
            }
        }
    }

    fn carry_out(&mut self, command: Command) -> Option<Event> {
        match command {
            Command::Instance {
                instance, request, ..
            } => self.send_request(instance, request),
            Command::Platform { call, request } => Some(self.call(call, request)),
            Command::Send { to, message } => {
                self.sent.push((to, message));
                None
            }
            _ => None,
        }
    }

    fn send_request(&mut self, instance: InstanceName, request: InstanceRequest) -> Option<Event> {
        self.sent_requests
            .push((self.now, instance.clone(), request.clone()));
        let fake = self.instances.get_mut(&instance)?;
        if !fake.reachable {
            return None;
        }
        fake.carry_out(&request);
        if fake.stops_after_adopt && matches!(request, InstanceRequest::Adopt { .. }) {
            fake.reachable = false;
        }
        self.replicate();
        let database = DATABASE.into();
        let report = self.instances[&instance].report.clone();
        Some(Event::Instance(match request {
            InstanceRequest::Probe => InstanceEvent::Reported {
                database,
                instance,
                report,
                requested_at: self.now,
            },
            request => InstanceEvent::CommandEnded {
                database,
                instance,
                request,
                report: Some(report),
            },
        }))
    }

    /// Copies the primary's position to every instance that follows it.
    fn replicate(&mut self) {
        let primaries = self.instances.clone();
        for fake in self.instances.values_mut() {
            let Some((term, source)) = &fake.source else {
                continue;
            };
            let source = &primaries[source];
            let serves = source.reachable && source.report.is_primary;
            if serves && source.report.adopted == *term && fake.report.adopted == *term {
                fake.report.last = source.report.last.clone();
            }
        }
    }

    fn call(&mut self, call: CallId, request: PlatformRequest) -> Event {
        self.calls += 1;
        let result = match (self.service, request) {
            (Service::Down, _) => Err(PlatformFailure::Unreachable),
            (_, PlatformRequest::Get { .. }) => Ok(PlatformResponse::Found {
                keys: self.stored.clone().into_iter().collect(),
                revision: Revision(1),
            }),
            (
                service,
                PlatformRequest::CompareAndSwap {
                    key,
                    expected,
                    value,
                    ..
                },
            ) => {
                let current = self.stored.as_ref().map_or(Revision(0), |key| key.revision);
                if current == expected {
                    let revision = Revision(current.0 + 1);
                    self.stored = Some(KeyValue {
                        key,
                        value,
                        revision,
                    });
                    if service == Service::ResponsesLost {
                        Err(PlatformFailure::NoAnswer)
                    } else {
                        Ok(PlatformResponse::Swapped { revision })
                    }
                } else {
                    let current = self.stored.clone();
                    Ok(PlatformResponse::Conflict { current })
                }
            }
            (_, request) => panic!("unexpected {request:?}"),
        };
        Event::Platform(PlatformEvent::Ended {
            call,
            sent_at: self.now,
            result,
        })
    }

    pub(super) fn stored_record(&self) -> Option<record::TermRecord> {
        let value = self.stored.as_ref()?.value.as_deref()?;
        serde_json::from_slice(value).ok()
    }
}
