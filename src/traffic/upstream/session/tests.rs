use super::*;

fn setting(name: &str, value: &str) -> SessionSetting {
    SessionSetting {
        name: name.to_owned(),
        value: value.to_owned(),
    }
}

#[test]
fn settings_of_another_caller_are_reset() {
    struct Case {
        name: &'static str,
        applied: Vec<SessionSetting>,
        is_changed: bool,
        wanted: Vec<SessionSetting>,
        sql: &'static str,
    }
    let zone = setting("timezone", "UTC");
    let path = setting("search_path", "a, b");
    let cases = [
        Case {
            name: "nothing to do",
            applied: vec![zone.clone()],
            is_changed: false,
            wanted: vec![zone.clone()],
            sql: "",
        },
        Case {
            name: "one more",
            applied: vec![zone.clone()],
            is_changed: false,
            wanted: vec![path.clone(), zone.clone()],
            sql: "SET search_path TO 'a', 'b';",
        },
        Case {
            name: "one less",
            applied: vec![path, zone.clone()],
            is_changed: false,
            wanted: vec![zone.clone()],
            sql: "RESET ALL;SET timezone TO 'UTC';",
        },
        Case {
            name: "changed by a caller's own statement",
            applied: Vec::new(),
            is_changed: true,
            wanted: Vec::new(),
            sql: "RESET ALL;",
        },
        Case {
            name: "quoted",
            applied: Vec::new(),
            is_changed: false,
            wanted: vec![setting("application_name", r"it's a \")],
            sql: r"SET application_name TO E'it''s a \\';",
        },
    ];
    for case in cases {
        let state = SessionState {
            applied: case.applied,
            is_changed: case.is_changed,
        };
        assert_eq!(state.statements(&case.wanted), case.sql, "{}", case.name);
        assert_eq!(
            state.matches(&case.wanted),
            case.sql.is_empty(),
            "{}",
            case.name
        );
    }
}
