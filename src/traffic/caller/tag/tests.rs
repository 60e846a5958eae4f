use super::*;

struct Case {
    text: &'static str,
    statement: &'static str,
    route: Option<&'static str>,
    session: Option<&'static str>,
}

fn check(cases: &[Case]) {
    for case in cases {
        let tagged = split(case.text);
        assert_eq!(tagged.statement, case.statement, "{}", case.text);
        assert_eq!(tagged.tags.route.as_deref(), case.route, "{}", case.text);
        assert_eq!(
            tagged.tags.session.as_deref(),
            case.session,
            "{}",
            case.text
        );
    }
}

#[test]
fn splits_tags_from_statements() {
    check(&[
        Case {
            text: "SELECT 1 /*route='order-lock',session='desk%207'*/",
            statement: "SELECT 1 ",
            route: Some("order-lock"),
            session: Some("desk 7"),
        },
        Case {
            text: "/* route='a' */ SELECT 1;",
            statement: " SELECT 1;",
            route: Some("a"),
            session: None,
        },
        Case {
            text: "SELECT 1 /*route='a'*/ ; ",
            statement: "SELECT 1 ",
            route: Some("a"),
            session: None,
        },
    ]);
}

#[test]
fn other_comments_stay_in_the_statement() {
    check(&[
        Case {
            text: "SELECT 1 /* a plain comment */",
            statement: "SELECT 1 /* a plain comment */",
            route: None,
            session: None,
        },
        Case {
            text: "SELECT 1 /* nested /* route='a' */ */",
            statement: "SELECT 1 /* nested /* route='a' */ */",
            route: None,
            session: None,
        },
        Case {
            text: "SELECT '/*route=''a''*/'",
            statement: "SELECT '/*route=''a''*/'",
            route: None,
            session: None,
        },
        Case {
            text: "SELECT 1 /*route='%zz'*/",
            statement: "SELECT 1 /*route='%zz'*/",
            route: None,
            session: None,
        },
        Case {
            text: "*/",
            statement: "*/",
            route: None,
            session: None,
        },
    ]);
}

#[test]
fn statement_tags_override_connection_tags() {
    let connection = Tags {
        route: Some("catalogue".into()),
        session: Some("desk-7".into()),
        ..Tags::default()
    };
    let statement = split("SELECT 1 /*route='order-lock',request='r1'*/").tags;
    assert!(statement.is_per_request());
    let both = statement.or(&connection);
    assert_eq!(both.route, Some("order-lock".into()));
    assert_eq!(both.session, Some("desk-7".into()));
}
