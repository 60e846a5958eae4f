use super::*;
use crate::configuration::{PresetInForce, Route, RoutePolicy};

fn in_force(version: u64) -> Record {
    Record::InForce(PresetInForce {
        preset: "peak".into(),
        version,
        operation: "op-1".into(),
    })
}

#[test]
fn a_record_round_trips_with_its_operations() {
    let first = StoredRecord::replacing(None, "op-1".into(), in_force(1));
    let second = StoredRecord::replacing(Some(&first), "op-2".into(), in_force(2));
    let decoded = StoredRecord::decode(&RecordPath::InForce, &second.encode()).unwrap();
    assert_eq!(decoded, second);
    assert_eq!(decoded.operations, ["op-1".into(), "op-2".into()]);
}

#[test]
fn only_the_latest_operations_are_kept() {
    let mut stored = StoredRecord::replacing(None, "op-0".into(), in_force(0));
    for number in 1..40_u64 {
        let operation = OperationId::from(format!("op-{number}"));
        stored = StoredRecord::replacing(Some(&stored), operation, in_force(number));
    }
    assert_eq!(stored.operations.len(), MAX_OPERATIONS);
    assert_eq!(stored.operations.last(), Some(&"op-39".into()));
}

#[test]
fn a_record_without_operations_is_decoded() {
    let value = br#"{"route":{"name":"order-lock","policy":{"class":"urgent"}}}"#;
    let path = RecordPath::Route("order-lock".into());
    let stored = StoredRecord::decode(&path, value).unwrap();
    let class = crate::configuration::RouteClass::Urgent;
    let policy = RoutePolicy {
        class,
        ..RoutePolicy::default()
    };
    assert_eq!(
        stored.record,
        Record::Route(Route {
            name: "order-lock".into(),
            policy
        })
    );
}

#[test]
fn a_record_at_the_wrong_path_or_malformed_is_rejected() {
    let stored = StoredRecord::replacing(None, "op-1".into(), in_force(1));
    let path = RecordPath::Preset("peak".into());
    let error = StoredRecord::decode(&path, &stored.encode()).unwrap_err();
    assert!(matches!(error, StoredError::WrongPath { .. }));
    let error = StoredRecord::decode(&path, b"{").unwrap_err();
    assert!(matches!(error, StoredError::Malformed { .. }));
}
