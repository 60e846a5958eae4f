use super::*;

/// Record that names a primary, written in a timeline.
fn record(primary: &str, timeline: u64) -> PrimaryRecord {
    PrimaryRecord {
        primary: InstanceName::from(primary),
        term: 1,
        phase: Phase::Steady,
        instances: 3,
        timeline: Timeline(timeline),
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
