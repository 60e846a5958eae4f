use super::*;

#[test]
fn values_round_trip_in_text_and_binary_format() {
    struct Case {
        oid: Oid,
        value: Value,
        text: &'static str,
    }
    let cases = [
        Case {
            oid: BOOL,
            value: Value::Integer(1),
            text: "t",
        },
        Case {
            oid: INT2,
            value: Value::Integer(-7),
            text: "-7",
        },
        Case {
            oid: INT4,
            value: Value::Integer(70_000),
            text: "70000",
        },
        Case {
            oid: INT8,
            value: Value::Integer(i64::MIN),
            text: "-9223372036854775808",
        },
        Case {
            oid: FLOAT8,
            value: Value::Real(0.25),
            text: "0.25",
        },
        Case {
            oid: BYTEA,
            value: Value::Blob(vec![0, 255]),
            text: "\\x00ff",
        },
        Case {
            oid: TEXT,
            value: Value::Text("oak".to_owned()),
            text: "oak",
        },
    ];
    for case in cases {
        assert_eq!(text_of(case.oid, &case.value), case.text);
        for binary in [false, true] {
            let mut bytes = BytesMut::new();
            encode(&mut bytes, case.oid, binary, &case.value);
            let decoded = decode(case.oid, binary, &bytes[4..]).expect("the value decodes");
            assert_eq!(decoded, case.value, "type {} binary {binary}", case.oid);
        }
    }
}
