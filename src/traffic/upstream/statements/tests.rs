use proptest::prelude::*;

use super::*;

#[test]
fn a_statement_whose_parse_failed_is_not_known() {
    let mut statements = Statements::default();
    statements.prepare("a");
    statements.prepare("b");
    statements.confirm("a");
    statements.drop_unconfirmed();
    assert!(statements.touch("a"));
    assert!(!statements.touch("b"));
}

#[test]
fn a_replaced_statement_is_not_known_until_its_new_parse_is_confirmed() {
    let mut statements = Statements::default();
    statements.prepare("a");
    statements.confirm("a");
    statements.prepare("a");
    statements.drop_unconfirmed();
    assert!(!statements.touch("a"));
}

#[test]
fn the_least_recently_used_statement_is_evicted() {
    let mut statements = Statements::default();
    for index in 0..MAX_STATEMENTS {
        let name = index.to_string();
        assert_eq!(statements.prepare(&name), None);
        statements.confirm(&name);
    }
    assert!(statements.touch("0"));
    assert_eq!(statements.prepare("new").as_deref(), Some("1"));
    assert!(!statements.touch("1"));
}

proptest! {
    /// Compares the tracked names with a model of the server, on which a statement exists only
    /// after a successful `Parse`.
    #[test]
    fn tracked_statements_match_those_on_the_server(
        steps in prop::collection::vec((0_u8..6, any::<bool>()), 1..200)
    ) {
        let mut statements = Statements::default();
        let mut server = std::collections::HashSet::new();
        for (name, succeeds) in steps {
            let name = name.to_string();
            if !statements.touch(&name) {
                statements.prepare(&name);
                server.remove(&name);
                if succeeds {
                    server.insert(name.clone());
                    statements.confirm(&name);
                }
            }
            statements.drop_unconfirmed();
            prop_assert_eq!(statements.touch(&name), server.contains(&name));
        }
    }
}
