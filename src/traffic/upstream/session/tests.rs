use super::*;

fn setting(name: &str, value: &str) -> SessionSetting {
    SessionSetting {
        name: name.to_owned(),
        value: value.to_owned(),
    }
}

#[test]
fn only_statements_needed_for_the_required_settings_are_returned() {
    struct Case {
        name: &'static str,
        applied: Vec<SessionSetting>,
        is_changed: bool,
        required: Vec<SessionSetting>,
        sql: &'static str,
    }
    let zone = setting("timezone", "UTC");
    let path = setting("search_path", "a, b");
    let cases = [
        Case {
            name: "same settings",
            applied: vec![zone.clone()],
            is_changed: false,
            required: vec![zone.clone()],
            sql: "",
        },
        Case {
            name: "additional setting",
            applied: vec![zone.clone()],
            is_changed: false,
            required: vec![path.clone(), zone.clone()],
            sql: "SET search_path TO 'a', 'b';",
        },
        Case {
            name: "removed setting",
            applied: vec![path, zone.clone()],
            is_changed: false,
            required: vec![zone.clone()],
            sql: "RESET ALL;SET timezone TO 'UTC';",
        },
        Case {
            name: "changed by a caller's own statement",
            applied: Vec::new(),
            is_changed: true,
            required: Vec::new(),
            sql: "RESET ALL;",
        },
        Case {
            name: "quoted",
            applied: Vec::new(),
            is_changed: false,
            required: vec![setting("application_name", r"it's a \")],
            sql: r"SET application_name TO E'it''s a \\';",
        },
    ];
    for case in cases {
        let state = SessionState {
            applied: case.applied,
            is_changed: case.is_changed,
        };
        assert_eq!(state.statements(&case.required), case.sql, "{}", case.name);
        assert_eq!(
            state.matches(&case.required),
            case.sql.is_empty(),
            "{}",
            case.name
        );
    }
}
