use super::*;

#[test]
fn values_with_special_characters_are_quoted_and_escaped() {
    struct Case {
        value: &'static str,
        line: &'static str,
    }
    let cases = [
        Case {
            value: "vm-1",
            line: "event=started vm=vm-1",
        },
        Case {
            value: "",
            line: "event=started vm=\"\"",
        },
        Case {
            value: "two words",
            line: "event=started vm=\"two words\"",
        },
        Case {
            value: "a=b",
            line: "event=started vm=\"a=b\"",
        },
        Case {
            value: "line\nbreak",
            line: "event=started vm=\"line\\nbreak\"",
        },
    ];
    for case in cases {
        let fields = [LogField {
            name: "vm",
            value: case.value.to_owned(),
        }];
        assert_eq!(format_line("started", &fields), case.line);
    }
}
