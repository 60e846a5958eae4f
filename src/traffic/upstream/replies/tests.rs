use super::*;

fn parsed(pass: bool) -> Reply {
    Reply::Parsed {
        name: "s".to_owned(),
        pass,
    }
}

#[test]
fn ready_for_query_removes_replies_that_an_error_skipped() {
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
    assert!(replies.ready(), "the reply to the sync was pending");
    assert!(
        !replies.is_empty(),
        "the reply to the query is still pending"
    );
    assert!(replies.ready());
    assert!(replies.is_empty());
    assert!(!replies.ready(), "no reply is pending");
}

#[test]
fn copy_in_removes_the_pending_sync_but_not_a_simple_query() {
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
