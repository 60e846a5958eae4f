use super::fixture::{DATABASE, Service, at, term};
use super::*;
use crate::control::command::InstanceRequest;
use crate::control::event::InstanceReport;

fn no_response(fixture: &Fixture, instance: &str) -> Event {
    Event::Instance(InstanceEvent::NoResponse {
        database: DATABASE.into(),
        instance: instance.into(),
        requested_at: Timestamp::ZERO + fixture.now.since(Timestamp::from_millis(100)),
    })
}

fn closed(instance: &str) -> Event {
    Event::Instance(InstanceEvent::Closed {
        database: DATABASE.into(),
        instance: instance.into(),
    })
}

struct Failure {
    name: &'static str,
    service: Service,
    positions: [(u64, u64); 3],
    traffic: bool,
    connection_closed: bool,
    at_most_ms: u64,
    primary: &'static str,
}

fn failures() -> Vec<Failure> {
    let case = Failure {
        name: "traffic reports missing responses",
        service: Service::Up,
        positions: [(1, 12), (1, 10), (1, 11)],
        traffic: true,
        connection_closed: false,
        at_most_ms: 200,
        primary: "c",
    };
    vec![
        Failure {
            name: "connections closed",
            connection_closed: true,
            traffic: false,
            at_most_ms: 140,
            ..case
        },
        Failure {
            name: "no traffic, detected by a probe",
            traffic: false,
            at_most_ms: 6_600,
            ..case
        },
        Failure {
            name: "the service is down",
            service: Service::Down,
            ..case
        },
        Failure {
            name: "responses of the service are lost",
            service: Service::ResponsesLost,
            ..case
        },
        Failure {
            name: "a higher position under an older term",
            positions: [(1, 12), (1, 3), (0, 11)],
            primary: "b",
            ..case
        },
        case,
    ]
}

#[test]
fn a_failed_primary_is_replaced_in_time() {
    for case in failures() {
        let mut fixture = Fixture::healthy();
        fixture.service = case.service;
        for (name, (number, position)) in NAMES.into_iter().zip(case.positions) {
            fixture.instance(name).report.last = at(number, position);
        }
        fixture.instance("a").reachable = false;
        if case.traffic {
            fixture.post(&no_response(&fixture, "a"));
        }
        if case.connection_closed {
            fixture.post(&closed("a"));
            fixture.post(&closed("a"));
        }
        let replaced = |f: &Fixture| f.primary().is_some_and(|primary| *primary != *"a");
        let took = fixture.run_until(replaced);
        assert!(
            took <= Duration::from_millis(case.at_most_ms),
            "{}: {took:?}",
            case.name
        );
        assert_eq!(
            fixture.primary().as_deref(),
            Some(case.primary),
            "{}",
            case.name
        );
        assert_eq!(fixture.promotions(), 1, "{}", case.name);
        let view = fixture.view();
        assert_eq!(view.term.as_ref().unwrap().number, 2, "{}", case.name);
        assert!(!view.writes_paused);

        fixture.service = Service::Up;
        fixture.run_ms(3_000);
        let record = fixture.stored_record().unwrap();
        assert_eq!(
            record.primary.as_deref(),
            Some(case.primary),
            "{}",
            case.name
        );
        assert_eq!(Some(&record.term), view.term.as_ref(), "{}", case.name);
    }
}

#[test]
fn a_former_primary_that_returns_follows_the_new_one() {
    let mut fixture = Fixture::healthy();
    fixture.instance("a").reachable = false;
    fixture.post(&no_response(&fixture, "a"));
    fixture.run_ms(1_000);
    let primary = fixture.primary().unwrap();
    fixture.instance("a").reachable = true;
    fixture.run_ms(2_000);
    let back = fixture.instance("a").clone();
    assert!(!back.report.is_primary);
    assert_eq!(back.source.unwrap().1, primary);
    assert_eq!(fixture.primary(), Some(primary));
    assert_eq!(fixture.promotions(), 1);
}

#[test]
fn no_promotion_without_enough_instances_or_a_valid_lease() {
    struct Case {
        name: &'static str,
        unreachable: &'static [&'static str],
        lease_ms: u64,
    }
    let cases = [
        Case {
            name: "one survivor",
            unreachable: &["a", "b"],
            lease_ms: 60_000,
        },
        Case {
            name: "this VM is cut off from all instances",
            unreachable: &["a", "b", "c"],
            lease_ms: 60_000,
        },
        Case {
            name: "the home lease has expired",
            unreachable: &["a"],
            lease_ms: 0,
        },
    ];
    for case in cases {
        let mut fixture = Fixture::healthy();
        fixture.lease(1, case.lease_ms);
        for name in case.unreachable {
            fixture.instance(name).reachable = false;
        }
        fixture.post(&no_response(&fixture, "a"));
        fixture.run_ms(20_000);
        let only_probes = |request: &(_, _, InstanceRequest)| request.2 == InstanceRequest::Probe;
        assert!(
            fixture.sent_requests.iter().all(only_probes),
            "{}",
            case.name
        );
        assert_eq!(fixture.primary(), None, "{}", case.name);

        fixture.lease(1, 60_000);
        for name in case.unreachable.iter().filter(|name| **name != "a") {
            fixture.instance(name).reachable = true;
        }
        fixture.run_until(|f| f.primary().is_some());
        assert_eq!(fixture.promotions(), 1, "{}", case.name);
    }
}

#[test]
fn no_promotion_while_the_primary_responds() {
    let mut fixture = Fixture::healthy();
    for round in 0..200 {
        // Statements are slow and connections are closed, but the instance responds to probes.
        if round % 3 == 0 {
            fixture.post(&closed("a"));
        }
        fixture.post(&no_response(&fixture, "a"));
        fixture.run_ms(100);
    }
    assert_eq!(fixture.promotions(), 0);
    let probes = fixture.sent_requests.len();
    fixture.run_ms(60_000);
    let idle = fixture.sent_requests.len() - probes;
    assert!(idle <= 3 * 13, "{idle} probes in an idle minute");
}

#[test]
fn no_promotion_after_this_vm_was_paused() {
    let mut fixture = Fixture::healthy();
    fixture.instance("a").reachable = false;
    fixture.post(&no_response(&fixture, "a"));
    fixture.run_ms(60);
    fixture.instance("a").reachable = true;
    fixture.now = fixture.now + Duration::from_secs(20);
    fixture.run_ms(2_000);
    assert_eq!(fixture.promotions(), 0);
    assert_eq!(fixture.primary().as_deref(), Some("a"));
}

#[test]
fn a_save_survives_a_candidate_that_fails_before_its_promotion() {
    let mut fixture = Fixture::healthy();
    fixture.instance("c").report.last = at(1, 11);
    fixture.instance("c").stops_after_adopt = true;
    fixture.instance("a").reachable = false;
    fixture.post(&no_response(&fixture, "a"));
    fixture.run_ms(2_000);
    assert_eq!(
        fixture.primary(),
        None,
        "the one remaining instance may lack a save"
    );
    assert_eq!(fixture.instance("b").report.last, at(1, 10));

    fixture.instance("a").report.last = at(1, 11);
    fixture.instance("a").reachable = true;
    let took = fixture.run_until(|f| f.primary().is_some());
    assert!(took < Duration::from_secs(1), "{took:?}");
    assert_eq!(
        fixture.primary().as_deref(),
        Some("a"),
        "holds the save that b lacks"
    );
}

#[test]
fn a_new_primary_that_fails_is_replaced() {
    let mut fixture = Fixture::healthy();
    fixture.instance("a").reachable = false;
    fixture.post(&no_response(&fixture, "a"));
    fixture.run_until(|f| f.primary().is_some_and(|primary| *primary != *"a"));
    let second = fixture.primary().unwrap();
    fixture.instance("a").reachable = true;
    fixture.run_ms(1_000);
    fixture.instance(&second).reachable = false;
    fixture.post(&no_response(&fixture, &second));
    let took = fixture.run_until(|f| f.primary().is_some_and(|primary| primary != second));
    assert!(took < Duration::from_millis(800), "{took:?}");
    assert_eq!(fixture.view().term.as_ref().unwrap().number, 3);
}

#[test]
fn the_failure_timeout_grows_when_primaries_flap() {
    let mut fixture = Fixture::healthy();
    for _ in 0..20 {
        let Some(primary) = fixture.primary() else {
            fixture.run_ms(20);
            continue;
        };
        fixture.instance(&primary).reachable = false;
        fixture.post(&no_response(&fixture, &primary));
        fixture.run_ms(240);
        fixture.instance(&primary).reachable = true;
        fixture.run_ms(260);
    }
    assert!(
        (1..=6).contains(&fixture.promotions()),
        "{}",
        fixture.promotions()
    );
}

#[test]
fn a_newer_term_without_primary_is_superseded_by_a_higher_one() {
    let mut fixture = Fixture::healthy();
    // A former home made one instance adopt a newer term and then disappeared.
    fixture.instance("b").report.adopted = term(5);
    fixture.run_until(|f| f.view().term.as_ref().is_some_and(|term| term.number > 5));
    fixture.run_until(|f| f.primary().is_some());
    assert_eq!(fixture.view().term.as_ref().unwrap().number, 6);
    assert_eq!(fixture.promotions(), 1);
}

#[test]
fn a_record_write_whose_response_was_lost_is_read_back() {
    let mut fixture = Fixture::healthy();
    fixture.service = Service::ResponsesLost;
    fixture.instance("a").reachable = false;
    fixture.post(&no_response(&fixture, "a"));
    fixture.run_until(|f| f.primary().is_some_and(|primary| *primary != *"a"));
    fixture.run_ms(10_000);
    let calls = fixture.calls;
    assert!(fixture.stored_record().unwrap().primary.is_some());
    fixture.run_ms(10_000);
    assert_eq!(fixture.calls, calls, "no write is pending");
}

#[test]
fn the_low_water_mark_of_a_new_home_is_the_confirmed_primary_position() {
    let mut fixture = Fixture::starting();
    fixture.instance("b").reachable = false;
    fixture.instance("c").reachable = false;
    fixture.run_ms(100);
    assert_eq!(
        fixture.view().low_water_mark,
        None,
        "one instance is not enough"
    );
    fixture.instance("c").reachable = true;
    fixture.run_ms(200);
    assert_eq!(fixture.view().low_water_mark, Some(at(1, 10)));

    fixture.instance("a").report.last = at(1, 50);
    fixture.run_ms(100);
    assert_eq!(
        fixture.view().low_water_mark,
        Some(at(1, 10)),
        "unchanged during an epoch"
    );
    fixture.lease(2, 60_000);
    fixture.run_ms(100);
    assert_eq!(
        fixture.view().low_water_mark,
        Some(at(1, 50)),
        "determined again by the next home"
    );
}

#[test]
fn a_switchover_waits_for_running_writes() {
    let mut fixture = Fixture::healthy();
    fixture.instance("a").report.last = at(1, 20);
    fixture.configure(|group| group.instances[0].state = InstanceState::Leaving);
    fixture.run_ms(100);
    assert!(fixture.view().writes_paused);
    assert_eq!(
        fixture.primary().as_deref(),
        Some("a"),
        "running writes continue"
    );
    fixture.post(&Event::Traffic(TrafficEvent::WritesEnded {
        database: DATABASE.into(),
        epoch: 1,
    }));
    fixture.run_ms(100);
    assert_eq!(fixture.promotions(), 0, "no replica has caught up");
    fixture.instance("c").report.last = at(1, 20);
    fixture.run_ms(100);
    assert_eq!(fixture.primary().as_deref(), Some("c"));
    assert!(!fixture.view().writes_paused);
    fixture.run_ms(20_000);
    assert_eq!(fixture.promotions(), 1);
}

#[test]
fn a_switchover_is_abandoned_when_writes_do_not_end() {
    let mut fixture = Fixture::healthy();
    fixture.configure(|group| group.instances[0].state = InstanceState::Leaving);
    fixture.run_ms(100);
    assert!(fixture.view().writes_paused);
    fixture.run_ms(2_500);
    assert!(!fixture.view().writes_paused);
    assert_eq!(fixture.primary().as_deref(), Some("a"));
    assert_eq!(fixture.promotions(), 0);
}

#[test]
fn a_stale_replica_must_follow_before_it_serves() {
    let mut fixture = Fixture::starting();
    fixture.instance("b").report = InstanceReport {
        adopted: term(1),
        is_primary: false,
        last: at(0, 99),
    };
    fixture.run_ms(20);
    let follows = |f: &Fixture, name: &str| {
        let view = f.view();
        let instance = view.instances.iter().find(|i| *i.name == *name);
        instance.is_some_and(|instance| instance.follows)
    };
    fixture.run_ms(500);
    let is_follow = |request: &&(Timestamp, InstanceName, InstanceRequest)| {
        *request.1 == *"b" && matches!(request.2, InstanceRequest::Follow { .. })
    };
    assert_eq!(fixture.sent_requests.iter().filter(is_follow).count(), 1);
    assert!(follows(&fixture, "b") && follows(&fixture, "c"));
}

#[test]
fn the_failure_timeout_grows_when_the_instance_responds_to_a_peer() {
    let mut fixture = Fixture::healthy();
    fixture.instance("a").reachable = false;
    fixture.post(&no_response(&fixture, "a"));
    fixture.run_ms(40);
    fixture.post(&Event::Peer {
        from: "vm-2".into(),
        incarnation: crate::control::blackboard::Incarnation(1),
        message: PeerMessage::Term(TermMessage::InstanceResponded {
            database: DATABASE.into(),
            instance: "a".into(),
        }),
    });
    fixture.run_ms(200);
    assert_eq!(fixture.promotions(), 0);
    fixture.run_ms(200);
    assert_eq!(fixture.promotions(), 1);
}
