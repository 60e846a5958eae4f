use super::*;

fn record(number: u64, promoter: &str) -> TermRecord {
    TermRecord {
        term: Term {
            number,
            promoter: promoter.into(),
        },
        primary: None,
    }
}

fn stored(record: &TermRecord, revision: u64) -> KeyValue {
    KeyValue {
        key: "terms/canopy-1".to_owned(),
        value: serde_json::to_vec(record).ok(),
        revision: Revision(revision),
    }
}

fn request(state: &mut RecordState, call: u64, now_ms: u64) -> Option<PlatformRequest> {
    let now = Timestamp::from_millis(now_ms);
    let request = state.next_request(&"canopy-1".into(), || CallId(call), now);
    request.map(|(_, request)| request)
}

#[test]
fn reads_once_and_writes_with_the_revision_it_read() {
    let mut state = RecordState::default();
    let get = request(&mut state, 1, 0);
    assert!(matches!(get, Some(PlatformRequest::Get { .. })));
    assert_eq!(request(&mut state, 2, 0), None, "one call at a time");
    let found = PlatformResponse::Found {
        keys: vec![stored(&record(4, "vm-2"), 17)],
        revision: Revision(20),
    };
    state.end_call(&Ok(found), Timestamp::ZERO);
    assert_eq!(state.term(), Some(&record(4, "vm-2").term));
    assert_eq!(request(&mut state, 2, 0), None, "nothing to write");

    state.schedule_write(record(5, "vm-1"));
    let swap = request(&mut state, 3, 0);
    let Some(PlatformRequest::CompareAndSwap { expected, .. }) = swap else {
        panic!("{swap:?}");
    };
    assert_eq!(expected, Revision(17));
    // Another write is scheduled while the call is in progress.
    state.schedule_write(record(6, "vm-1"));
    let revision = Revision(21);
    state.end_call(&Ok(PlatformResponse::Swapped { revision }), Timestamp::ZERO);
    assert_eq!(state.term(), Some(&record(5, "vm-1").term));
    assert!(request(&mut state, 4, 0).is_some());
}

#[test]
fn a_write_without_response_is_read_back_and_repeated_unless_superseded() {
    struct Case {
        name: &'static str,
        found: Option<TermRecord>,
        writes_again: bool,
    }
    let cases = [
        Case {
            name: "the write took effect",
            found: Some(record(5, "vm-1")),
            writes_again: false,
        },
        Case {
            name: "the write was lost",
            found: Some(record(4, "vm-2")),
            writes_again: true,
        },
        Case {
            name: "there was no record before",
            found: None,
            writes_again: true,
        },
        Case {
            name: "another VM has started a newer term",
            found: Some(record(5, "vm-3")),
            writes_again: false,
        },
    ];
    for case in cases {
        let mut state = RecordState::default();
        state.schedule_write(record(5, "vm-1"));
        state.known = Some((Revision(17), None));
        assert!(request(&mut state, 1, 0).is_some(), "{}", case.name);
        state.end_call(&Err(PlatformFailure::NoAnswer), Timestamp::ZERO);
        assert_eq!(request(&mut state, 2, 999), None, "{}", case.name);
        let get = request(&mut state, 2, 1_000);
        assert!(
            matches!(get, Some(PlatformRequest::Get { .. })),
            "{}",
            case.name
        );
        let found = PlatformResponse::Found {
            keys: case.found.iter().map(|record| stored(record, 18)).collect(),
            revision: Revision(20),
        };
        state.end_call(&Ok(found), Timestamp::ZERO);
        let again = request(&mut state, 3, 1_000);
        assert_eq!(again.is_some(), case.writes_again, "{}", case.name);
    }
}
