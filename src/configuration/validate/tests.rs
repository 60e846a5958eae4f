use std::net::SocketAddr;

use super::*;
use crate::configuration::{InstanceRecord, Key, KeyState, Route, RoutePolicy};

fn instance(name: &str, port: u16) -> InstanceRecord {
    InstanceRecord {
        name: name.into(),
        address: SocketAddr::from(([127, 0, 0, 1], port)),
        availability_zone: "zone".into(),
        slots: 3,
        connections: 20,
        state: InstanceState::Live,
    }
}

fn group() -> DatabaseGroup {
    DatabaseGroup {
        name: "canopy-1".into(),
        region: "region".into(),
        cell: "cell".into(),
        instances: vec![instance("a", 1), instance("b", 2), instance("c", 3)],
    }
}

fn workspace() -> Workspace {
    Workspace {
        name: "council".into(),
        salt: "c2FsdA==".into(),
        iterations: 4_096,
        keys: Vec::new(),
        databases: BTreeSet::from(["canopy-1".into()]),
        limits: Limits::default(),
    }
}

fn preset() -> Preset {
    Preset {
        name: "peak".into(),
        description: String::new(),
        limits: BTreeMap::from([("council".into(), Limits::default())]),
        routes: BTreeMap::from([("map-view".into(), RoutePolicy::default())]),
        maintenance: BTreeSet::from(["a".into()]),
    }
}

fn in_force(version: u64, preset: &str) -> PresetInForce {
    PresetInForce {
        preset: preset.into(),
        version,
        operation: "op".into(),
    }
}

fn configuration() -> Configuration {
    let mut configuration = Configuration {
        revision: Revision(9),
        ..Configuration::default()
    };
    configuration.put(Record::Database(group()));
    configuration.put(Record::Workspace(workspace()));
    let policy = RoutePolicy::default();
    configuration.put(Record::Route(Route {
        name: "map-view".into(),
        policy,
    }));
    configuration.put(Record::Preset(preset()));
    configuration.put(Record::InForce(in_force(4, "peak")));
    configuration
}

struct Case {
    name: &'static str,
    record: Record,
    problems: &'static [&'static str],
}

fn workspace_cases() -> Vec<Case> {
    let key = |id: &str| Key {
        id: id.into(),
        stored_key: String::new(),
        server_key: String::new(),
        state: KeyState::Active,
    };
    let bad_limits = Limits {
        rate_per_s: f64::NAN,
        burst: 0.0,
        weight: 0,
    };
    vec![
        Case {
            name: "workspace",
            record: Record::Workspace(workspace()),
            problems: &[],
        },
        Case {
            name: "workspace with every kind of problem",
            record: Record::Workspace(Workspace {
                iterations: 1,
                keys: vec![key("k1"), key("k1")],
                databases: BTreeSet::from(["other".into()]),
                limits: bad_limits,
                ..workspace()
            }),
            problems: &[
                "too few",
                "used twice",
                "other does not exist",
                "a rate",
                "a burst",
                "a weight",
            ],
        },
        Case {
            name: "rate above the capacity of the slots",
            record: Record::Workspace(Workspace {
                limits: Limits {
                    rate_per_s: 9_001.0,
                    ..Limits::default()
                },
                ..workspace()
            }),
            problems: &["beyond the 9000"],
        },
    ]
}

fn preset_cases() -> Vec<Case> {
    vec![
        Case {
            name: "preset",
            record: Record::Preset(preset()),
            problems: &[],
        },
        Case {
            name: "preset with unknown names",
            record: Record::Preset(Preset {
                limits: BTreeMap::from([("no-such-workspace".into(), Limits::default())]),
                routes: BTreeMap::from([("no-such-route".into(), RoutePolicy::default())]),
                maintenance: BTreeSet::from(["z".into()]),
                ..preset()
            }),
            problems: &[
                "workspace no-such-workspace",
                "route no-such-route",
                "instance z",
            ],
        },
        Case {
            name: "preset that leaves a database too few instances",
            record: Record::Preset(Preset {
                maintenance: BTreeSet::from(["a".into(), "b".into()]),
                ..preset()
            }),
            problems: &["1 of 3 instances"],
        },
    ]
}

fn database_cases() -> Vec<Case> {
    vec![
        Case {
            name: "database with an instance of another database",
            record: Record::Database(DatabaseGroup {
                name: "canopy-2".into(),
                instances: vec![instance("a", 9)],
                ..group()
            }),
            problems: &["instance a exists twice"],
        },
        Case {
            name: "database with too few connections",
            record: Record::Database(DatabaseGroup {
                instances: vec![InstanceRecord {
                    connections: 3,
                    ..instance("a", 1)
                }],
                ..group()
            }),
            problems: &["3 connections for 3 slots"],
        },
    ]
}

fn switch_cases() -> Vec<Case> {
    vec![
        Case {
            name: "switch",
            record: Record::InForce(in_force(5, "peak")),
            problems: &[],
        },
        Case {
            name: "switch that skips a version",
            record: Record::InForce(in_force(6, "peak")),
            problems: &["does not follow"],
        },
        Case {
            name: "switch to a preset that does not exist",
            record: Record::InForce(in_force(5, "storm")),
            problems: &["preset storm does not exist"],
        },
    ]
}

#[test]
fn a_write_reports_every_problem() {
    let cases = [
        workspace_cases(),
        preset_cases(),
        database_cases(),
        switch_cases(),
    ];
    for case in cases.into_iter().flatten() {
        let findings = validate_write(&configuration(), &case.record);
        assert_eq!(
            findings.len(),
            case.problems.len(),
            "{}: {findings:?}",
            case.name
        );
        for (finding, problem) in findings.iter().zip(case.problems) {
            assert!(
                finding.problem.contains(problem),
                "{}: {finding:?}",
                case.name
            );
        }
    }
}

#[test]
fn removing_a_record_in_use_is_rejected() {
    struct Case {
        path: RecordPath,
        problem: Option<&'static str>,
    }
    let cases = [
        Case {
            path: RecordPath::Workspace("council".into()),
            problem: Some("preset peak"),
        },
        Case {
            path: RecordPath::Preset("peak".into()),
            problem: Some("is in force"),
        },
        Case {
            path: RecordPath::Preset("other".into()),
            problem: None,
        },
        Case {
            path: RecordPath::Route("map-view".into()),
            problem: Some("preset peak"),
        },
        Case {
            path: RecordPath::Database("canopy-1".into()),
            problem: Some("workspace council"),
        },
        Case {
            path: RecordPath::InForce,
            problem: Some("one preset must be in force"),
        },
    ];
    for case in cases {
        let findings = validate_removal(&configuration(), &case.path);
        assert_eq!(
            findings.len(),
            usize::from(case.problem.is_some()),
            "{}",
            case.path
        );
        for (finding, problem) in findings.iter().zip(case.problem) {
            assert!(finding.problem.contains(problem), "{finding:?}");
        }
    }
}
