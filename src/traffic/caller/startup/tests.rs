use super::*;

fn read(parameters: &[(&str, &str)]) -> Result<StartupOptions, CallerError> {
    let owned = |(name, value): &(&str, &str)| ((*name).to_owned(), (*value).to_owned());
    StartupOptions::read(&parameters.iter().map(owned).collect())
}

#[test]
fn startup_parameters_set_tags_and_settings() {
    let options = read(&[
        ("user", "council"),
        ("application_name", "psql"),
        ("client_encoding", "UTF8"),
        ("currantlb.session", "crew-7"),
        (
            "options",
            r"-c currantlb.route=map-view --search-path=a,\ b -cTimeZone=UTC",
        ),
        ("_pq_.command_tag_format", "1"),
    ])
    .unwrap();
    assert_eq!(options.database, "council");
    assert_eq!(options.tags.route, Some("map-view".into()));
    assert_eq!(options.tags.session, Some("crew-7".into()));
    assert_eq!(options.extensions, ["_pq_.command_tag_format"]);
    let upstream: Vec<_> = options.settings.for_exchange();
    assert_eq!(upstream.len(), 1, "{upstream:?}");
    assert_eq!(upstream[0].value, "a, b");
    assert_eq!(options.settings.reported(Setting::ApplicationName), "psql");
}

#[test]
fn unsupported_startup_parameters_are_rejected() {
    let cases: [&[(&str, &str)]; 5] = [
        &[("database", "d")],
        &[("user", "u"), ("client_encoding", "LATIN1")],
        &[("user", "u"), ("replication", "database")],
        &[("user", "u"), ("options", "-c synchronous_commit=off")],
        &[("user", "u"), ("options", "-x")],
    ];
    for parameters in cases {
        assert!(read(parameters).is_err(), "{parameters:?}");
    }
}
