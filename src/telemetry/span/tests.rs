use proptest::prelude::*;

use super::*;

/// Trace id of [`VALID`].
const TRACE_ID: &str = "0af7651916cd43dd8448eb211c80319c";

const VALID: &str = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";

#[test]
fn parse_traceparent_accepts_only_valid_contexts() {
    struct Case {
        text: &'static str,
        valid: bool,
    }
    let cases = [
        Case {
            text: VALID,
            valid: true,
        },
        Case {
            text: "01-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01",
            valid: false,
        },
        Case {
            text: "00-00000000000000000000000000000000-b7ad6b7169203331-01",
            valid: false,
        },
        Case {
            text: "00-0af7651916cd43dd8448eb211c80319c-0000000000000000-01",
            valid: false,
        },
        Case {
            text: "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331",
            valid: false,
        },
        Case {
            text: "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01-x",
            valid: false,
        },
        Case {
            text: "",
            valid: false,
        },
    ];
    for case in cases {
        let context = parse_traceparent(case.text);
        assert_eq!(context.is_some(), case.valid, "{}", case.text);
        if let Some(context) = context {
            assert_eq!(format_traceparent(&context), case.text);
        }
    }
}

#[test]
fn spans_of_one_trace_are_linked_and_written_to_the_file() {
    let directory = tempfile::tempdir().unwrap();
    let path = directory.path().join("spans.jsonl");
    let settings = TelemetrySettings {
        span_file: Some(path.clone()),
        span_sample_ratio: 1.0,
        ..TelemetrySettings::default()
    };
    start(&settings, "vm-1").unwrap();
    let mut caller = Span::start(Hop::Caller, Some(VALID));
    caller.set("workspace", "council");
    let mut home = Span::start(Hop::Home, caller.traceparent().as_deref());
    home.fail(&"rate_exceeded");
    drop((home, caller));
    flush();

    let text = std::fs::read_to_string(path).unwrap();
    let spans: Vec<serde_json::Value> = text
        .lines()
        .map(|line| serde_json::from_str(line).unwrap())
        .collect();
    // Other tests in this process export spans to the same file.
    let is_of_trace = |span: &&serde_json::Value| span["trace_id"] == TRACE_ID;
    let spans = spans.iter().filter(is_of_trace);
    let named = |name: &str| spans.clone().find(|span| span["name"] == name).unwrap();
    let (caller, home) = (named("caller"), named("home"));
    assert_eq!(caller["trace_id"], TRACE_ID);
    assert_eq!(home["trace_id"], caller["trace_id"]);
    assert_eq!(home["parent_span_id"], caller["span_id"]);
    assert_eq!(caller["attributes"]["workspace"], "council");
    assert!(home["status"].as_str().unwrap().contains("rate_exceeded"));
}

proptest! {
    #[test]
    fn any_text_as_parent_context_starts_a_span_without_panic(text in "\\PC{0,80}") {
        let span = Span::start(Hop::Caller, Some(&text));
        prop_assert!(span.traceparent().is_some());
    }
}
