use super::*;

const HEADER: &str = r#"{"header":{"format":1,"name":"t","deployment":"bagmati","vms":2,"replication_lag_ms":5,"end_ms":10,"outcomes":{"promises":["own_answers"]}}}"#;

#[test]
fn an_error_in_a_trace_names_file_line_and_field() {
    struct Case {
        text: String,
        expected: &'static str,
    }
    let cases = [
        Case {
            text: String::new(),
            expected: "t.jsonl:1: field header",
        },
        Case {
            text: r#"{"event":{"at_ms":1,"what":{"outage":{"down":true}}}}"#.to_owned(),
            expected: "t.jsonl:1: field header",
        },
        Case {
            text: HEADER.replace("\"format\":1", "\"format\":9"),
            expected: "t.jsonl:1: field format: is 9",
        },
        Case {
            text: HEADER.replace("bagmati", "elsewhere"),
            expected: "field deployment",
        },
        Case {
            text: format!("{HEADER}\n{{\"event\":{{\"at_ms\":1}}}}"),
            expected: "t.jsonl:2: missing field `what`",
        },
        Case {
            text: format!("{HEADER}\n\n{{\"nothing\":1}}"),
            expected: "t.jsonl:3: unknown variant `nothing`",
        },
    ];
    for case in cases {
        let error = parse(Path::new("t.jsonl"), &case.text).expect_err(&case.text);
        assert!(error.to_string().contains(case.expected), "{error}");
    }
}

#[test]
fn events_are_sorted_by_time() {
    let event = |at_ms: u64| {
        format!(r#"{{"event":{{"at_ms":{at_ms},"what":{{"outage":{{"down":true}}}}}}}}"#)
    };
    let trace = parse(
        Path::new("t.jsonl"),
        &format!("{HEADER}\n{}\n{}", event(5), event(2)),
    )
    .unwrap();
    let times: Vec<_> = trace.events.iter().map(|event| event.at_ms).collect();
    assert_eq!(times, [2, 5]);
}
