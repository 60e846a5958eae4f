use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use super::{Answer, Limits, Pool, Sharing};
use crate::entry::instance::{Instance, InstanceState};
use crate::entry::latency::{InstanceLatency, StatementKind};
use crate::entry::outlier::Symptom;
use crate::entry::position::Position;
use crate::entry::replica_lag::ReplicaLag;
use crate::entry::statement::{FailureKind, Protocol};
use crate::name::{DatabaseName, InstanceName, RouteName, WorkspaceName, ZoneName};

/// Protocol of a pool that opens no connections.
const PROTOCOL: Protocol = Protocol {
    decode_caller: |_| Ok(None),
    decode_instance: |_| Ok(None),
    decode_report: |_| None,
    encode_accepted: |_| {},
    encode_rejected: |_, _| {},
    encode_response: |_, _| {},
    encode_start: |_, _, _, _| Ok(()),
    encode_command: |_, _, _| Ok(()),
};

fn instance(started_at_ms: u64, sequence: u64) -> Rc<Instance> {
    Rc::new(Instance {
        name: InstanceName::from("instance-1"),
        database: DatabaseName::from("database"),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        availability_zone: ZoneName::from("a"),
        slots: 4,
        state: InstanceState::Serving,
        is_primary: false,
        cold_left: Duration::ZERO,
        started_at_ms,
        sequence,
    })
}

fn pool() -> Rc<Pool> {
    let sharing = Sharing {
        near: 1,
        far: 0,
        is_near: true,
    };
    Pool::new(instance(1, 1), PROTOCOL, Limits::divide(10, sharing))
}

fn respond(pool: &Pool, kind: StatementKind, taken_ms: u64, failure: Option<FailureKind>) {
    let answer = Answer {
        route: &RouteName::from("route"),
        workspace: &WorkspaceName::from("workspace"),
        kind,
        taken: Duration::from_millis(taken_ms),
        usual: Duration::from_millis(20),
        position: Some(Position { term: 1, number: 1 }),
        min_position: None,
        failure,
    };
    pool.statement_started();
    pool.statement_answered(&answer);
}

/// Guards against an instance that is avoided after its restart for what happened before it.
#[test]
fn a_process_that_restarts_under_its_name_starts_anew() {
    for (started_at_ms, is_new) in [(1, false), (2, true)] {
        let pool = pool();
        respond(&pool, StatementKind::Read, 160, None);
        pool.update_lag(|lag| lag.record_rejection(Some(Duration::from_secs(2))));
        pool.outlier()
            .borrow_mut()
            .eject(crate::entry::clock::now());
        pool.update(&instance(started_at_ms, 2));
        let now = crate::entry::clock::now();
        assert_eq!(pool.latency() == InstanceLatency::default(), is_new);
        assert_eq!(pool.lag() == ReplicaLag::default(), is_new);
        assert_eq!(pool.position().is_none(), is_new);
        assert_eq!(!pool.outlier().borrow().is_ejected(now), is_new);
    }
}

struct Case {
    name: &'static str,
    kind: StatementKind,
    taken_ms: u64,
    failure: Option<FailureKind>,
    is_slower: bool,
    is_contended: bool,
    counts_as_failed: bool,
}

#[test]
fn responses_count_for_what_they_show() {
    let usual = Case {
        name: "as usual",
        kind: StatementKind::Read,
        taken_ms: 20,
        failure: None,
        is_slower: false,
        is_contended: false,
        counts_as_failed: false,
    };
    let cases = [
        // With the former rule, a rejection within 1 ms makes the instance look faster.
        Case {
            name: "rejected for lack of capacity",
            taken_ms: 1,
            failure: Some(FailureKind::Busy),
            is_slower: true,
            is_contended: true,
            ..usual
        },
        Case {
            name: "rejected as lagging",
            taken_ms: 1,
            failure: Some(FailureKind::Lagging),
            ..usual
        },
        Case {
            name: "a failed read",
            failure: Some(FailureKind::Failed),
            counts_as_failed: true,
            ..usual
        },
        Case {
            name: "a failed save",
            kind: StatementKind::Save,
            failure: Some(FailureKind::Failed),
            ..usual
        },
        usual,
    ];
    for case in cases {
        let pool = pool();
        respond(&pool, case.kind, case.taken_ms, case.failure);
        let expected = pool.latency().expected(Duration::from_millis(20));
        let is_slower = expected > Duration::from_millis(20);
        assert_eq!(is_slower, case.is_slower, "{}: {expected:?}", case.name);
        assert_eq!(pool.is_contended(), case.is_contended, "{}", case.name);
        let failed = pool.outlier().borrow().share(Symptom::Failures) > 0.0;
        assert_eq!(failed, case.counts_as_failed, "{}", case.name);
        assert_eq!(pool.load(), 0, "{}", case.name);
    }
}
