use super::*;

#[test]
fn only_tags_of_listed_secrets_are_accepted() {
    struct Case {
        signer: &'static str,
        accepted: &'static [&'static str],
        valid: bool,
    }
    let cases = [
        Case {
            signer: "new",
            accepted: &["new", "old"],
            valid: true,
        },
        Case {
            signer: "old",
            accepted: &["new", "old"],
            valid: true,
        },
        Case {
            signer: "other",
            accepted: &["new", "old"],
            valid: false,
        },
        Case {
            signer: "new",
            accepted: &[],
            valid: false,
        },
    ];
    for case in cases {
        let accepted: Vec<_> = case.accepted.iter().map(|&text| text.to_owned()).collect();
        let tag = MacKey::new(case.signer.as_bytes()).sign(&[b"a", b"b"]);
        let secrets = Secrets::new(&accepted);
        assert_eq!(
            secrets.find(&[b"ab"], &tag).is_some(),
            case.valid,
            "{}",
            case.signer
        );
    }
}

#[test]
fn a_modified_message_or_tag_is_rejected() {
    let key = MacKey::new(b"secret");
    let mut tag = key.sign(&[b"message"]);
    assert!(!key.verify(&[b"massage"], &tag));
    tag[0] ^= 1;
    assert!(!key.verify(&[b"message"], &tag));
}
