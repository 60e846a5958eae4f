use super::*;

fn parsed(pass: bool) -> Reply {
    Reply::Parsed {
        name: "s".to_owned(),
        pass,
    }
}

#[test]
fn ready_for_query_drops_what_an_error_skipped() {
    let mut replies = Replies::default();
    for reply in [
        parsed(false),
        parsed(true),
        Reply::SyncReady,
        Reply::QueryReady,
    ] {
        replies.push(reply);
    }
    assert_eq!(replies.pop(), Some(parsed(false)));
    assert!(replies.ready(), "the sync was owed");
    assert!(!replies.is_empty(), "the query is still owed");
    assert!(replies.ready());
    assert!(replies.is_empty());
    assert!(!replies.ready(), "nothing is owed");
}

#[test]
fn a_copy_takes_the_sync_before_it() {
    struct Case {
        sent: Vec<Reply>,
        left: bool,
    }
    let cases = [
        Case {
            sent: vec![Reply::QueryReady],
            left: true,
        },
        Case {
            sent: vec![Reply::SyncReady],
            left: false,
        },
    ];
    for case in cases {
        let mut replies = Replies::default();
        case.sent
            .iter()
            .cloned()
            .for_each(|reply| replies.push(reply));
        replies.copy_in();
        assert_eq!(!replies.is_empty(), case.left, "{:?}", case.sent);
    }
}
