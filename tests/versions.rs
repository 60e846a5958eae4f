//! Messages and records that earlier versions have written, which VMs of this version must read.
//!
//! Each file in `tests/samples` holds what one commit wrote: a name and the bytes a line. A message is changed
//! by adding a variant at the end of its enum, or a field with a default to a record; then these files
//! still read the same.

use std::collections::BTreeMap;
use std::fmt::Debug;
use std::sync::Arc;
use std::time::Duration;

use currantlb::configuration::{Revision, Timeline};
use currantlb::entry::catalog::{Consistency, Route};
use currantlb::entry::channel::{PeerRequest, PeerResponse};
use currantlb::entry::datagram::{
    self, Datagram, HandOver, HandedBucket, LimitMessage, LimitStatus,
};
use currantlb::entry::datagram::{RecordUpdate, Rest, TokenAnswer, TokenAsk};
use currantlb::entry::position::Position;
use currantlb::entry::record::{
    FailoverLeaseRecord, GatewayList, Phase, PrimaryRecord, PromotionCalls, VmRecord,
};
use currantlb::entry::statement::{Access, InstanceCommand, Prepared, SessionState};
use currantlb::entry::task::{Action, Reply, Runnable, Task};
use proptest::prelude::*;
use serde::de::DeserializeOwned;

const SAMPLES: [(&str, &str); 2] = [
    ("0141e8f", include_str!("samples/0141e8f.txt")),
    ("add5901", include_str!("samples/add5901.txt")),
];

const REMEDY: &str =
    "a layout has changed: restore it, and add a new variant or field at the end instead";

fn record() -> PrimaryRecord {
    PrimaryRecord {
        primary: "i-p".into(),
        term: 3,
        phase: Phase::Moving {
            holder: "vm-1".into(),
            generation: 7,
        },
        instances: 3,
        timeline: Timeline(1),
        promotion_calls: PromotionCalls::Unknown,
        started_at_ms: BTreeMap::new(),
    }
}

fn registration() -> VmRecord {
    VmRecord {
        lease: 7,
        peer_address: ([127, 0, 0, 1], 7_560).into(),
        availability_zone: "a".into(),
        cpu_share: 0.25,
    }
}

fn status(unreachable_owners: u64, says_goodbye: bool) -> Datagram {
    Datagram::Status {
        vm: "vm-1".into(),
        version: 7,
        shared_change: 300,
        directory_change: 9,
        limits: LimitStatus {
            lease: 70_000,
            gateways_digest: 5,
            unreachable_owners,
            says_goodbye,
        },
    }
}

fn datagrams() -> Vec<(&'static str, Datagram)> {
    [control_datagrams(), status_datagrams(), limit_datagrams()].concat()
}

/// Datagrams about configurations, records, replacements and subleases.
fn control_datagrams() -> Vec<(&'static str, Datagram)> {
    let update = RecordUpdate {
        database: "db".into(),
        record: record(),
        revision: 9,
    };
    vec![
        ("version_request", Datagram::VersionRequest { version: 7 }),
        (
            "version",
            Datagram::Version {
                version: 7,
                gateways_revision: 9,
            },
        ),
        ("record", Datagram::Record(update.clone())),
        (
            "confirmation",
            Datagram::Confirmation {
                vm: "vm-1".into(),
                database: "db".into(),
                generation: 7,
            },
        ),
        (
            "confirmation_ack",
            Datagram::ConfirmationAck {
                database: "db".into(),
                generation: 7,
            },
        ),
        ("sublease_request", Datagram::SubleaseRequest { nonce: 1 }),
        (
            "sublease",
            Datagram::Sublease {
                nonce: 1,
                valid_ms: 400,
                version: 7,
                records: vec![update],
            },
        ),
        (
            "evacuated_zones",
            Datagram::EvacuatedZones {
                revision: 9,
                zones: vec![("a".into(), 1_500)],
            },
        ),
    ]
}

fn status_datagrams() -> Vec<(&'static str, Datagram)> {
    vec![
        ("status_at_rest", status(0, false)),
        ("status_that_stops", status(0, true)),
        ("status_without_owner_0", status(1, false)),
        ("status_without_owner_33", status(1 << 33, false)),
    ]
}

fn limit_datagrams() -> Vec<(&'static str, Datagram)> {
    let ask = TokenAsk {
        workspace: "council".into(),
        held: 1,
        wanted: 300,
        is_prompt: true,
    };
    let rest = Some(Rest {
        wait_ms: 40,
        share_per_s: 2.5,
    });
    let hand_over = HandOver {
        vm: "vm-1".into(),
        lease: 7,
        to_lease: 8,
        nonce: 9,
        is_leaving: true,
        buckets: vec![HandedBucket {
            workspace: "council".into(),
            tokens: 1.5,
            outstanding: 2.0,
        }],
    };
    vec![
        (
            "token_request",
            Datagram::Limit(LimitMessage::Request {
                nonce: 9,
                asks: vec![ask],
            }),
        ),
        (
            "token_grant",
            Datagram::Limit(LimitMessage::Grant {
                nonce: 9,
                answers: vec![
                    TokenAnswer::NotOwner,
                    TokenAnswer::Granted { tokens: 2, rest },
                ],
            }),
        ),
        (
            "hand_over",
            Datagram::Limit(LimitMessage::HandOver(hand_over)),
        ),
        (
            "lease_query",
            Datagram::Limit(LimitMessage::LeaseQuery { lease: 7 }),
        ),
        (
            "lease_ended",
            Datagram::Limit(LimitMessage::LeaseEnded {
                vm: "vm-1".into(),
                lease: 7,
            }),
        ),
    ]
}

fn requests() -> Vec<(&'static str, PeerRequest)> {
    let runnable = Runnable {
        command: InstanceCommand::Execute {
            id: "c-1".into(),
            name: "s1".into(),
            arguments: "1a4".into(),
        },
        access: Access::Write,
        prepared: Some(Prepared {
            access: Access::Write,
            shape: "tree".into(),
        }),
    };
    let route = Route {
        name: "r-1".into(),
        database: "db".into(),
        consistency: Consistency::Session {
            staleness: Duration::from_secs(2),
        },
        statement_timeout: Duration::from_secs(1),
        latency_objective: Duration::from_millis(200),
        priority: 1,
        allows_anonymous: false,
    };
    let task = Task {
        id: "c-1".into(),
        route: Arc::new(route),
        workspace: "council".into(),
        mark: Some(Position { term: 3, number: 9 }),
        values: Arc::default(),
        attempts: 2,
        action: Action::Autocommit(runnable),
    };
    vec![
        ("request_configuration", PeerRequest::Configuration),
        ("request_gateways", PeerRequest::Gateways),
        ("request_ping", PeerRequest::Ping),
        (
            "request_run",
            PeerRequest::Run {
                task: Box::new(task),
                force: true,
            },
        ),
    ]
}

fn responses() -> Vec<(&'static str, PeerResponse)> {
    let list = GatewayList {
        revision: Revision(9),
        gateways: BTreeMap::from([("vm-1".into(), registration())]),
    };
    vec![
        ("response_gateways", PeerResponse::Gateways(list)),
        ("response_pong", PeerResponse::Pong),
        (
            "response_done",
            PeerResponse::Done {
                reply: Box::new(Reply::done(SessionState::Open)),
                primary_zone: Some("a".into()),
            },
        ),
        ("response_declined", PeerResponse::Declined),
    ]
}

fn parse(samples: &str) -> BTreeMap<&str, Vec<u8>> {
    let lines = samples.lines().filter_map(|line| line.split_once(' '));
    lines
        .map(|(name, digits)| {
            let bytes = (0..digits.len()).step_by(2);
            let bytes = bytes.map(|at| u8::from_str_radix(&digits[at..at + 2], 16).unwrap());
            (name, bytes.collect())
        })
        .collect()
}

/// Checks that the samples of all versions are read as the expected values.
fn assert_read<T: Debug, E: Debug>(expected: &[(&str, T)], decode: impl Fn(&[u8]) -> Result<T, E>) {
    for (commit, samples) in SAMPLES {
        let samples = parse(samples);
        for (name, value) in expected {
            let bytes = &samples[name];
            let read = decode(bytes)
                .unwrap_or_else(|error| panic!("{commit} {name}: {error:?}; {REMEDY}"));
            assert_eq!(
                format!("{read:?}"),
                format!("{value:?}"),
                "{commit} {name}: {REMEDY}"
            );
        }
    }
}

fn read<T: DeserializeOwned>(bytes: &[u8]) -> postcard::Result<T> {
    postcard::from_bytes(bytes)
}

fn read_json<T: DeserializeOwned>(bytes: &[u8]) -> serde_json::Result<T> {
    serde_json::from_slice(bytes)
}

#[test]
fn messages_of_earlier_versions_are_read() {
    assert_read(&datagrams(), datagram::decode);
    assert_read(&requests(), read);
    assert_read(&responses(), read);
}

#[test]
fn records_of_earlier_versions_are_read() {
    let lease = FailoverLeaseRecord {
        holder: "vm-1".into(),
        lease: 7,
    };
    assert_read(&[("primary_record", record())], read_json);
    assert_read(&[("registration", registration())], read_json);
    assert_read(&[("failover_lease", lease)], read_json);
}

#[test]
fn messages_are_written_as_add5901_reads_them() {
    let samples = parse(SAMPLES[1].1);
    for (name, datagram) in datagrams() {
        let written = datagram::encode(&datagram).unwrap();
        // What follows the known fields is skipped by that version.
        assert!(written.starts_with(&samples[name]), "{name}: {REMEDY}");
    }
    for (name, request) in requests() {
        assert_eq!(
            postcard::to_stdvec(&request).unwrap(),
            samples[name],
            "{name}: {REMEDY}"
        );
    }
    for (name, response) in responses() {
        assert_eq!(
            postcard::to_stdvec(&response).unwrap(),
            samples[name],
            "{name}: {REMEDY}"
        );
    }
}

/// Failure: 0141e8f has two more fields in the middle of a status. A gateway that was alive counted as
/// one that had said goodbye, so that two VMs owned its limits.
#[test]
fn statuses_at_rest_are_written_as_0141e8f_reads_them() {
    let samples = parse(SAMPLES[0].1);
    let written = datagram::encode(&status(0, false)).unwrap();
    assert_eq!(written, samples["status_at_rest"]);
}

proptest! {
    #[test]
    fn arbitrary_datagrams_are_rejected_or_read(bytes in proptest::collection::vec(any::<u8>(), 0..64)) {
        let _ = datagram::decode(&bytes);
        let status = [vec![11], bytes].concat();
        let _ = datagram::decode(&status);
    }

    #[test]
    fn unknown_variants_are_errors(variant in 13_u8..=127, rest in proptest::collection::vec(any::<u8>(), 0..64)) {
        let bytes = [vec![variant], rest].concat();
        prop_assert!(datagram::decode(&bytes).is_err());
    }
}
