use super::*;

#[test]
fn prefix_end_is_greater_than_every_key_with_the_prefix() {
    struct Case {
        prefix: &'static [u8],
        end: &'static [u8],
    }
    let cases = [
        Case {
            prefix: b"/currantlb/config/",
            end: b"/currantlb/config0",
        },
        Case {
            prefix: b"a\xff",
            end: b"b",
        },
        Case {
            prefix: b"\xff\xff",
            end: b"\0",
        },
        Case {
            prefix: b"",
            end: b"\0",
        },
    ];
    for case in cases {
        assert_eq!(prefix_end(case.prefix), case.end, "{:?}", case.prefix);
    }
}

#[test]
fn gateway_responses_are_decoded() {
    let text = r#"{"header":{"revision":"12"},"kvs":[{"key":"YQ==","value":"Yg==","mod_revision":"7","version":"1"}]}"#;
    let response: RangeResponse = serde_json::from_str(text).unwrap();
    assert_eq!(response.header.revision, Int64(12));
    assert_eq!(response.kvs[0].key, Base64(b"a".to_vec()));
    assert_eq!(response.kvs[0].mod_revision, Int64(7));

    // The gateway omits fields with default values.
    let failed: TxnResponse = serde_json::from_str(r#"{"header":{"revision":12}}"#).unwrap();
    assert!(!failed.succeeded);
    let text = r#"{"events":[{"type":"DELETE","kv":{"key":"YQ=="}},{"kv":{"key":"YQ=="}}]}"#;
    let watched: WatchResponse = serde_json::from_str(text).unwrap();
    assert_eq!(watched.events[0].kind, WatchEventKind::Delete);
    assert_eq!(watched.events[1].kind, WatchEventKind::Put);
}

#[test]
fn gateway_requests_are_encoded() {
    let request = TxnRequest {
        compare: vec![Compare {
            key: Base64(b"a".to_vec()),
            target: "MOD",
            result: "EQUAL",
            mod_revision: Int64(7),
        }],
        success: vec![RequestOp::Put(PutRequest {
            key: Base64(b"a".to_vec()),
            value: Base64(b"b".to_vec()),
            lease: None,
        })],
        failure: Vec::new(),
    };
    let text = serde_json::to_string(&request).unwrap();
    let expected = concat!(
        r#"{"compare":[{"key":"YQ==","target":"MOD","result":"EQUAL","mod_revision":"7"}],"#,
        r#""success":[{"request_put":{"key":"YQ==","value":"Yg=="}}],"failure":[]}"#
    );
    assert_eq!(text, expected);
}
