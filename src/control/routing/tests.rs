use super::*;
use crate::position::Term;

fn at(position: u64) -> LogPosition {
    LogPosition {
        term: Term {
            number: 1,
            promoter: "vm-1".into(),
        },
        position,
    }
}

fn request() -> ReadRequest {
    ReadRequest {
        required_position: Some(at(10)),
        lease_valid: true,
        availability_zone: "zone-a".into(),
        time_left: Duration::from_secs(1),
    }
}

fn primary() -> Candidate {
    Candidate {
        instance: "primary".into(),
        availability_zone: "zone-a".into(),
        is_primary: true,
        in_flight: 0,
        slots: 3,
        fresh_in: None,
    }
}

fn replica(name: &str, zone: &str, in_flight: u32, fresh_in_ms: Option<u64>) -> Candidate {
    Candidate {
        instance: name.into(),
        availability_zone: zone.into(),
        is_primary: false,
        in_flight,
        slots: 3,
        fresh_in: fresh_in_ms.map(Duration::from_millis),
    }
}

fn run(name: &str) -> Choice {
    Choice::Run {
        instance: name.into(),
    }
}

struct Case {
    name: &'static str,
    request: ReadRequest,
    candidates: Vec<Candidate>,
    choice: Choice,
}

fn check(cases: impl IntoIterator<Item = Case>) {
    let settings = RoutingSettings::default();
    for case in cases {
        let choice = choose(&case.request, &case.candidates, &settings);
        assert_eq!(choice, case.choice, "{}", case.name);
    }
}

#[test]
fn prefers_replicas_of_the_same_zone_and_with_free_slots() {
    check([
        Case {
            name: "own zone first",
            request: request(),
            candidates: vec![
                primary(),
                replica("far", "zone-b", 0, Some(0)),
                replica("near", "zone-a", 2, Some(0)),
            ],
            choice: run("near"),
        },
        Case {
            name: "another zone rather than a queue",
            request: request(),
            candidates: vec![
                primary(),
                replica("far", "zone-b", 0, Some(0)),
                replica("near", "zone-a", 3, Some(0)),
            ],
            choice: run("far"),
        },
        Case {
            name: "least loaded within a zone",
            request: request(),
            candidates: vec![
                primary(),
                replica("busy", "zone-a", 2, Some(0)),
                replica("calm", "zone-a", 1, Some(0)),
            ],
            choice: run("calm"),
        },
    ]);
}

#[test]
fn waits_for_a_replica_if_that_costs_less_than_the_primary() {
    check([
        Case {
            name: "waits briefly for a replica",
            request: request(),
            candidates: vec![primary(), replica("near", "zone-a", 0, Some(8))],
            choice: Choice::Wait {
                instance: "near".into(),
                at_most: Duration::from_millis(16),
            },
        },
        Case {
            name: "an idle primary rather than a long wait",
            request: request(),
            candidates: vec![primary(), replica("near", "zone-a", 0, Some(30))],
            choice: run("primary"),
        },
        Case {
            name: "a long wait rather than a busy primary",
            request: request(),
            candidates: vec![
                Candidate {
                    in_flight: 3,
                    ..primary()
                },
                replica("near", "zone-a", 0, Some(30)),
            ],
            choice: Choice::Wait {
                instance: "near".into(),
                at_most: Duration::from_millis(60),
            },
        },
        Case {
            name: "primary when no replica is fresh before the deadline",
            request: ReadRequest {
                time_left: Duration::from_millis(5),
                ..request()
            },
            candidates: vec![primary(), replica("near", "zone-a", 0, Some(8))],
            choice: run("primary"),
        },
    ]);
}

#[test]
fn uses_the_primary_if_position_or_lease_is_uncertain() {
    check([
        Case {
            name: "primary when the required position is unknown",
            request: ReadRequest {
                required_position: None,
                ..request()
            },
            candidates: vec![primary(), replica("near", "zone-a", 0, Some(0))],
            choice: run("primary"),
        },
        Case {
            name: "primary with confirmation when the lease may have expired",
            request: ReadRequest {
                lease_valid: false,
                ..request()
            },
            candidates: vec![primary(), replica("near", "zone-a", 0, Some(0))],
            choice: Choice::RunConfirmed {
                instance: "primary".into(),
            },
        },
        Case {
            name: "replicas keep serving while there is no primary",
            request: request(),
            candidates: vec![replica("near", "zone-a", 0, Some(0))],
            choice: run("near"),
        },
        Case {
            name: "no fresh replica and no primary",
            request: request(),
            candidates: vec![replica("near", "zone-a", 0, None)],
            choice: Choice::NoInstance,
        },
        Case {
            name: "lease may have expired and no primary",
            request: ReadRequest {
                lease_valid: false,
                ..request()
            },
            candidates: vec![replica("near", "zone-a", 0, Some(0))],
            choice: Choice::NoInstance,
        },
    ]);
}
