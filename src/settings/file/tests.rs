use proptest::prelude::*;

use super::*;

const SAMPLE: &str = include_str!("../../../docs/operators/currantlb.sample.jsonc");

#[test]
fn the_sample_is_valid_and_contains_every_field() {
    let settings = parse(SAMPLE).unwrap();
    assert_eq!(settings.vm.name.as_str(), "vm-1");
    let parsed =
        parse_to_ast(SAMPLE, &CollectOptions::default(), &ParseOptions::default()).unwrap();
    let Some(Value::Object(root)) = parsed.value else {
        panic!("the sample must contain an object")
    };
    for (section, fields) in template() {
        let shown = root
            .get_object(&section)
            .unwrap_or_else(|| panic!("{section} is missing from the sample"));
        for field in fields.as_object().unwrap().keys() {
            assert!(
                shown.get(field).is_some(),
                "{section}.{field} is missing from the sample"
            );
        }
    }
}

#[test]
fn a_mistake_is_reported_with_its_line_field_and_remedy() {
    struct Case {
        replace: &'static str,
        with: &'static str,
        field: &'static str,
        problem: &'static str,
    }
    let cases = [
        Case {
            replace: "\"max_connections\": 20000",
            with: "\"max_conections\": 20000",
            field: "callers.max_conections",
            problem: "not known",
        },
        Case {
            replace: "\"max_connections\": 20000",
            with: "\"max_connections\": \"many\"",
            field: "callers.max_connections",
            problem: "invalid type",
        },
        Case {
            replace: "\"lease_ms\": 3000",
            with: "\"lease_ms\": 500",
            field: "control.lease_ms",
            problem: "one lost heartbeat",
        },
        Case {
            replace: "\"cell\": \"semenanjung\"",
            with: "\"cell\": \"semenanjung/1\"",
            field: "vm.cell",
            problem: "characters that are not allowed",
        },
    ];
    for case in cases {
        assert!(
            SAMPLE.contains(case.replace),
            "the sample does not contain {}",
            case.replace
        );
        let line = SAMPLE
            .split(case.replace)
            .next()
            .unwrap()
            .matches('\n')
            .count()
            + 1;
        let mistakes = parse(&SAMPLE.replace(case.replace, case.with)).unwrap_err();
        assert_eq!(mistakes.len(), 1, "{mistakes:?}");
        assert_eq!(mistakes[0].field, case.field);
        assert_eq!(mistakes[0].line, line, "{}", case.field);
        assert!(
            mistakes[0].problem.contains(case.problem),
            "{}",
            mistakes[0].problem
        );
        assert!(!mistakes[0].remedy.is_empty());
    }
}

#[test]
fn all_mistakes_are_reported_at_once() {
    let text = SAMPLE
        .replace(
            "\"max_connections\": 20000",
            "\"max_connections\": \"many\"",
        )
        .replace("\"tick_ms\": 20", "\"tick\": 20");
    let fields: Vec<_> = parse(&text)
        .unwrap_err()
        .into_iter()
        .map(|m| m.field)
        .collect();
    assert_eq!(fields, ["callers.max_connections", "control.tick"]);
}

#[test]
fn missing_sections_are_reported() {
    let fields: Vec<_> = parse("{}")
        .unwrap_err()
        .into_iter()
        .map(|m| m.field)
        .collect();
    assert_eq!(
        fields,
        [
            "administration",
            "callers",
            "databases",
            "peers",
            "platform",
            "vm"
        ]
    );
}

#[test]
fn a_syntax_mistake_is_reported_with_its_line() {
    let mistakes = parse("{\n  \"vm\": {\n    \"name\" \"vm-1\"\n").unwrap_err();
    assert_eq!(mistakes[0].line, 3);
}

proptest! {
    #[test]
    fn random_text_is_rejected_without_panic(text in "\\PC{0,200}") {
        prop_assert!(parse(&text).is_err());
    }

    #[test]
    fn a_truncated_sample_is_rejected_without_panic(length in 0..SAMPLE.len()) {
        if let Some(text) = SAMPLE.get(..length) {
            let is_whole = text.trim_end().len() == SAMPLE.trim_end().len();
            prop_assert_eq!(parse(text).is_ok(), is_whole);
        }
    }
}
