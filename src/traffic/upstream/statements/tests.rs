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
fn a_replaced_statement_is_unknown_until_it_is_confirmed_again() {
    let mut statements = Statements::default();
    statements.prepare("a");
    statements.confirm("a");
    statements.prepare("a");
    statements.drop_unconfirmed();
    assert!(!statements.touch("a"));
}

#[test]
fn the_least_recently_used_makes_room() {
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
    /// Compares with what a server does: it has a statement only after a `Parse` that succeeded.
    #[test]
    fn never_claims_a_statement_that_the_server_lacks(
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
