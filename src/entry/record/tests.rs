use super::*;

/// Record that names a primary, written in a timeline.
fn record(primary: &str, timeline: u64) -> PrimaryRecord {
    PrimaryRecord {
        primary: InstanceName::from(primary),
        term: 1,
        phase: Phase::Steady,
        instances: 3,
        timeline: Timeline(timeline),
        promotion_calls: PromotionCalls::NONE,
        started_at_ms: BTreeMap::new(),
    }
}

/// Record of a timeline, as read at a revision of another one.
fn read(primary: &str, written_in: u64, timeline: u64, number: u64) -> VersionedRecord {
    let revision = Revision::new(Timeline(timeline), number);
    VersionedRecord::new(record(primary, written_in), revision)
}

struct Case {
    name: &'static str,
    known: VersionedRecord,
    received: Vec<VersionedRecord>,
    primary: &'static str,
    is_reliable: bool,
    is_outdated: bool,
}

fn cases_without_restoration() -> [Case; 2] {
    [
        Case {
            name: "a newer record of the same timeline",
            known: read("p", 4, 4, 100),
            received: vec![read("a", 4, 4, 110)],
            primary: "a",
            is_reliable: true,
            is_outdated: false,
        },
        Case {
            name: "an older record of the same timeline",
            known: read("a", 4, 4, 110),
            received: vec![read("p", 4, 4, 100)],
            primary: "a",
            is_reliable: true,
            is_outdated: false,
        },
    ]
}

fn cases_with_restoration() -> [Case; 6] {
    [
        Case {
            name: "an older record of the copy",
            known: read("a", 4, 4, 110),
            received: vec![read("p", 4, 5, 90)],
            primary: "a",
            is_reliable: true,
            is_outdated: true,
        },
        Case {
            name: "a record of the copy, and then one written since",
            known: read("a", 4, 4, 110),
            received: vec![read("p", 4, 5, 90), read("b", 5, 5, 95)],
            primary: "b",
            is_reliable: true,
            is_outdated: false,
        },
        Case {
            name: "a late write of the former timeline over one written since",
            known: read("b", 5, 5, 95),
            received: vec![read("p", 4, 5, 96)],
            primary: "b",
            is_reliable: true,
            is_outdated: true,
        },
        Case {
            name: "a VM that has started since the restoration",
            known: read("p", 4, 5, 90),
            received: Vec::new(),
            primary: "p",
            is_reliable: false,
            is_outdated: true,
        },
        Case {
            name: "a VM that has started since, and a record written since",
            known: read("p", 4, 5, 90),
            received: vec![read("a", 5, 5, 95)],
            primary: "a",
            is_reliable: true,
            is_outdated: false,
        },
        Case {
            name: "two restorations",
            known: read("a", 4, 4, 110),
            received: vec![read("p", 4, 5, 90), read("p", 4, 6, 80)],
            primary: "a",
            is_reliable: true,
            is_outdated: true,
        },
    ]
}

#[test]
fn a_record_that_a_restoration_brought_back_does_not_replace_a_known_one() {
    let cases = cases_without_restoration().into_iter();
    for case in cases.chain(cases_with_restoration()) {
        let mut known = case.known;
        let received = case.received.iter().map(|received| received.stored);
        let latest = received.max().unwrap_or_default().max(known.stored);
        for received in case.received {
            known.update(received);
        }
        assert_eq!(*known.record.primary, *case.primary, "{}", case.name);
        assert_eq!(known.is_reliable(), case.is_reliable, "{}", case.name);
        assert_eq!(known.is_outdated(), case.is_outdated, "{}", case.name);
        assert_eq!(known.stored, latest, "{}", case.name);
    }
}

/// The layout of datagrams is by position: a field in the middle would make earlier versions misread the rest.
#[test]
fn promotion_calls_and_starts_are_part_of_stored_records_only() {
    struct Case {
        name: &'static str,
        calls: PromotionCalls,
        /// What a VM reads from the store.
        stored: PromotionCalls,
    }
    let named = PromotionCalls::Named(vec![InstanceName::from("a")]);
    let cases = [
        Case {
            name: "no instance was called",
            calls: PromotionCalls::NONE,
            stored: PromotionCalls::NONE,
        },
        Case {
            name: "an instance was called",
            calls: named.clone(),
            stored: named,
        },
        Case {
            name: "the calls are unknown",
            calls: PromotionCalls::Unknown,
            stored: PromotionCalls::Unknown,
        },
    ];
    let bytes_without_calls = postcard::to_stdvec(&("p", 1_u64, Phase::Steady, 3_usize, 4_u64));
    for case in cases {
        let record = PrimaryRecord {
            promotion_calls: case.calls,
            started_at_ms: BTreeMap::from([(InstanceName::from("a"), 7)]),
            ..record("p", 4)
        };
        let bytes = postcard::to_stdvec(&record);
        assert_eq!(bytes, bytes_without_calls, "{}", case.name);
        let sent: PrimaryRecord = postcard::from_bytes(&bytes.unwrap()).unwrap();
        assert_eq!(
            sent.promotion_calls,
            PromotionCalls::Unknown,
            "{}",
            case.name
        );
        let value = serde_json::to_vec(&record).unwrap();
        let read: PrimaryRecord = serde_json::from_slice(&value).unwrap();
        assert_eq!(read.promotion_calls, case.stored, "{}", case.name);
        assert_eq!(read.started_at_ms, record.started_at_ms, "{}", case.name);
    }
    let former = r#"{"primary":"p","term":1,"phase":"Steady","instances":3}"#;
    let read: PrimaryRecord = serde_json::from_str(former).unwrap();
    assert_eq!(read.promotion_calls, PromotionCalls::Unknown);
}

#[test]
fn the_stored_record_names_the_calls_that_one_from_another_vm_lacks() {
    let mut known = read("p", 4, 4, 100);
    known.record.promotion_calls = PromotionCalls::Unknown;
    assert!(!known.update(read("p", 4, 4, 100)));
    assert_eq!(known.record.promotion_calls, PromotionCalls::NONE);
}
