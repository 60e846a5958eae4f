use std::collections::BTreeMap;
use std::sync::Mutex;

use arc_swap::ArcSwap;
use futures::FutureExt;
use tokio::sync::watch;

use super::*;
use crate::configuration::{PresetInForce, Route, RouteClass, RoutePolicy, Timeline};
use crate::control::blackboard::{Blackboard, Incarnation, LocalVm};
use crate::settings::ControlSettings;
use crate::time::Timestamp;

/// Fault that the fake service injects into the next write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    None,
    /// The write takes effect, but its response is lost.
    LostResponse,
    /// The write is lost before it takes effect.
    LostWrite,
    /// Another operator writes just before, so the write has no effect; its response is lost.
    ConflictWithLostResponse,
}

/// Fake of the service, which holds each key with its value and revision.
#[derive(Debug, Default)]
struct FakeService {
    keys: BTreeMap<String, (Vec<u8>, u64)>,
    revision: u64,
    faults: Vec<Fault>,
}

impl FakeService {
    fn put(&mut self, key: &str, value: Vec<u8>) -> Revision {
        self.revision += 1;
        self.keys.insert(key.to_owned(), (value, self.revision));
        Revision(self.revision)
    }

    fn current(&self, key: &str) -> Option<KeyValue> {
        let (value, revision) = self.keys.get(key)?;
        let revision = Revision(*revision);
        Some(KeyValue {
            key: key.to_owned(),
            value: Some(value.clone()),
            revision,
        })
    }

    fn swap(&mut self, key: &str, expected: Revision, value: Vec<u8>) -> PlatformResponse {
        let current = self.current(key);
        if current
            .as_ref()
            .map_or(Revision(0), |current| current.revision)
            != expected
        {
            return PlatformResponse::Conflict { current };
        }
        PlatformResponse::Swapped {
            revision: self.put(key, value),
        }
    }

    fn call(&mut self, request: PlatformRequest) -> Result<PlatformResponse, PlatformFailure> {
        match request {
            PlatformRequest::Get { key } => Ok(PlatformResponse::Found {
                keys: self.current(&key).into_iter().collect(),
                revision: Revision(self.revision),
            }),
            PlatformRequest::CompareAndSwap {
                key,
                expected,
                value,
                ..
            } => {
                let value = value.unwrap_or_default();
                match self.faults.pop().unwrap_or(Fault::None) {
                    Fault::None => Ok(self.swap(&key, expected, value)),
                    Fault::LostResponse => {
                        self.swap(&key, expected, value);
                        Err(PlatformFailure::NoAnswer)
                    }
                    Fault::LostWrite => Err(PlatformFailure::NoAnswer),
                    Fault::ConflictWithLostResponse => {
                        self.put(&key, route("other", RouteClass::Background));
                        Err(PlatformFailure::NoAnswer)
                    }
                }
            }
            other => panic!("the writer must not send {other:?}"),
        }
    }
}

fn route(operation: &str, class: RouteClass) -> Vec<u8> {
    StoredRecord::replacing(None, operation.into(), record(class)).encode()
}

fn record(class: RouteClass) -> Record {
    let policy = RoutePolicy {
        class,
        ..RoutePolicy::default()
    };
    Record::Route(Route {
        name: "map-view".into(),
        policy,
    })
}

fn writer(service: &Arc<Mutex<FakeService>>) -> Writer {
    let local = LocalVm {
        name: "vm-1".into(),
        incarnation: Incarnation(1),
        availability_zone: "zone".into(),
        region: "region".into(),
        cell: "cell".into(),
    };
    let board = Blackboard::new(local, ControlSettings::default());
    let snapshot = Arc::new(ArcSwap::from_pointee(board.snapshot(Timestamp::ZERO)));
    let service = Arc::clone(service);
    let platform = Platform {
        call: Arc::new(move |request| {
            let response = service.lock().unwrap().call(request);
            async move { response }.boxed()
        }),
        watch: Arc::new(|_, _| async {}.boxed()),
        timelines: watch::channel(Timeline::default()).1,
    };
    Writer::new(platform, snapshot)
}

fn path() -> RecordPath {
    RecordPath::Route("map-view".into())
}

fn headers(operation: &str, expected: u64) -> WriteHeaders {
    WriteHeaders {
        operation: operation.into(),
        expected: Revision(expected),
    }
}

async fn write(writer: &Writer, operation: &str, expected: u64) -> Result<Accepted> {
    let build = |_previous| Ok(record(RouteClass::Urgent));
    writer
        .write(&path(), &headers(operation, expected), build)
        .await
}

#[tokio::test(start_paused = true)]
async fn a_write_reports_acceptance_conflict_or_unknown_outcome_by_fault() {
    struct Case {
        fault: Fault,
        accepted: Option<Accepted>,
        error: &'static str,
    }
    let accepted = |is_repeated| {
        Some(Accepted {
            revision: 1,
            is_repeated,
        })
    };
    let cases = [
        Case {
            fault: Fault::None,
            accepted: accepted(false),
            error: "",
        },
        Case {
            fault: Fault::LostResponse,
            accepted: accepted(true),
            error: "",
        },
        Case {
            fault: Fault::LostWrite,
            accepted: None,
            error: "outcome of operation op-1",
        },
        Case {
            fault: Fault::ConflictWithLostResponse,
            accepted: None,
            error: "at revision 1 now",
        },
    ];
    for case in cases {
        let service = Arc::new(Mutex::new(FakeService {
            faults: vec![case.fault],
            ..FakeService::default()
        }));
        let result = write(&writer(&service), "op-1", 0).await;
        if let Some(accepted) = case.accepted {
            assert_eq!(result.unwrap(), accepted, "{:?}", case.fault);
            continue;
        }
        let error = result.unwrap_err().to_string();
        assert!(error.contains(case.error), "{:?}: {error}", case.fault);
    }
}

#[tokio::test(start_paused = true)]
async fn a_write_sent_again_after_a_fault_is_applied_once() {
    for fault in [Fault::LostWrite, Fault::LostResponse] {
        let service = Arc::new(Mutex::new(FakeService {
            faults: vec![fault],
            ..FakeService::default()
        }));
        let writer = writer(&service);
        let first = write(&writer, "op-1", 0).await;
        let again = write(&writer, "op-1", 0).await.unwrap();
        assert_eq!(again.revision, 1, "{fault:?}");
        assert_eq!(again.is_repeated, first.is_ok(), "{fault:?}");
        assert_eq!(
            service.lock().unwrap().revision,
            1,
            "{fault:?}: written once"
        );
    }
}

#[tokio::test]
async fn of_two_concurrent_writes_one_is_accepted_and_the_other_gets_the_revision() {
    let service = Arc::new(Mutex::new(FakeService::default()));
    let writer = writer(&service);
    let (one, two) = tokio::join!(write(&writer, "op-1", 0), write(&writer, "op-2", 0));
    assert_eq!(
        one.unwrap(),
        Accepted {
            revision: 1,
            is_repeated: false
        }
    );
    assert!(matches!(
        two.unwrap_err(),
        ApiError::Conflict { revision: 1, .. }
    ));
}

#[tokio::test]
async fn an_invalid_change_is_not_written() {
    let service = Arc::new(Mutex::new(FakeService::default()));
    let in_force = PresetInForce {
        preset: "none".into(),
        version: 1,
        operation: "op".into(),
    };
    let build = |_previous| Ok(Record::InForce(in_force));
    let result = writer(&service)
        .write(&RecordPath::InForce, &headers("op", 0), build)
        .await;
    assert!(matches!(result.unwrap_err(), ApiError::Invalid { findings } if findings.len() == 1));
    assert_eq!(service.lock().unwrap().revision, 0);
}
