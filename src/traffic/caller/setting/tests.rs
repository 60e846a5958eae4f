use super::*;

#[test]
fn only_supported_values_are_accepted() {
    struct Case {
        name: &'static str,
        value: &'static str,
        accepted: bool,
    }
    let cases = [
        ("extra_float_digits", "3", true),
        ("extra_float_digits", "4", false),
        ("DateStyle", "ISO, MDY", true),
        ("DateStyle", "ISO; DROP", false),
        ("client_encoding", "UTF8", true),
        ("client_encoding", "SJIS", false),
        ("standard_conforming_strings", "off", false),
        ("statement_timeout", "5s", true),
        ("statement_timeout", "5 parsecs", false),
        ("TimeZone", "Asia/Kathmandu", true),
        ("TimeZone", "'; DROP TABLE t", false),
        ("search_path", "a, \"b\"", true),
    ];
    for (name, value, accepted) in cases {
        let case = Case {
            name,
            value,
            accepted,
        };
        let setting: Setting = case.name.parse().unwrap();
        assert_eq!(setting.accepts(case.value), case.accepted, "{name}={value}");
    }
}

#[test]
fn application_name_is_not_sent_upstream() {
    let mut settings = SessionSettings::default();
    settings.apply(&SessionChange::Set(Setting::ApplicationName, "desk".into()));
    settings.apply(&SessionChange::Set(Setting::TimeZone, "UTC".into()));
    let names: Vec<_> = settings
        .for_exchange()
        .into_iter()
        .map(|s| s.name)
        .collect();
    assert_eq!(names, ["timezone"]);
    assert_eq!(settings.reported(Setting::ApplicationName), "desk");
    settings.apply(&SessionChange::DiscardAll);
    assert_eq!(settings.reported(Setting::ApplicationName), "");
}

#[test]
fn search_path_is_quoted_in_set_local() {
    let change = SessionChange::Set(Setting::SearchPath, "a, b\"c".into());
    let statement = change.local_statement().unwrap();
    assert_eq!(statement, "SET LOCAL search_path TO \"a\", \"b\"\"c\"");
}
