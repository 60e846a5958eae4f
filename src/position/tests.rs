use super::*;

#[test]
fn valid_tokens_round_trip_and_malformed_ones_are_rejected() {
    struct Case {
        text: &'static str,
        valid: bool,
    }
    let cases = [
        Case {
            text: "canopy-1/7@vm-2:1234",
            valid: true,
        },
        Case {
            text: "canopy-1/0@:0",
            valid: true,
        },
        Case {
            text: "canopy-1/7@vm-2",
            valid: false,
        },
        Case {
            text: "canopy-1",
            valid: false,
        },
        Case {
            text: "canopy-1/x@vm-2:1",
            valid: false,
        },
        Case {
            text: "canopy-1/7@vm-2:-1",
            valid: false,
        },
    ];
    for case in cases {
        let parsed = case.text.parse::<SessionToken>();
        assert_eq!(parsed.is_ok(), case.valid, "{}", case.text);
        if let Ok(token) = parsed {
            assert_eq!(token.to_string(), case.text);
        }
    }
}

#[test]
fn a_later_term_is_greater_regardless_of_the_entry_number() {
    let old: LogPosition = "7@vm-2:900".parse().unwrap();
    let new: LogPosition = "8@vm-1:10".parse().unwrap();
    let same_number: LogPosition = "8@vm-2:10".parse().unwrap();
    assert!(old < new);
    assert!(new < same_number);
}
