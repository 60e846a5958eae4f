use std::collections::BTreeSet;

use postgres_protocol::authentication::sasl::{ChannelBinding, ScramSha256};

use super::*;
use crate::configuration::Limits;

const FEW_ITERATIONS: u32 = 16;

fn workspace(keys: &[(&str, KeyState)]) -> Workspace {
    let salt = new_salt();
    let keys = keys.iter().map(|(text, state)| {
        let verifier = verifier(text, &salt, FEW_ITERATIONS).unwrap();
        Key {
            id: format!("id-of-{text}").into(),
            stored_key: verifier.stored_key,
            server_key: verifier.server_key,
            state: *state,
        }
    });
    Workspace {
        name: "council".into(),
        keys: keys.collect(),
        salt,
        iterations: FEW_ITERATIONS,
        databases: BTreeSet::new(),
        limits: Limits::default(),
    }
}

/// Authenticates with the client of `postgres_protocol`; returns the key that matched.
fn log_in(candidates: Candidates, key_text: &str) -> Result<KeyId> {
    let mut client = ScramSha256::new(key_text.as_bytes(), ChannelBinding::unsupported());
    let server = ServerExchange::start(client.message(), candidates)?;
    client.update(server.server_first().as_bytes()).unwrap();
    let accepted = server.finish(client.message())?;
    client.finish(accepted.server_final.as_bytes()).unwrap();
    Ok(accepted.key)
}

#[test]
fn each_active_key_is_accepted() {
    struct Case {
        key: &'static str,
        accepted: bool,
    }
    let workspace = workspace(&[
        ("first", KeyState::Active),
        ("second", KeyState::Active),
        ("gone", KeyState::Withdrawn),
    ]);
    let cases = [
        Case {
            key: "first",
            accepted: true,
        },
        Case {
            key: "second",
            accepted: true,
        },
        Case {
            key: "gone",
            accepted: false,
        },
        Case {
            key: "never issued",
            accepted: false,
        },
    ];
    for Case { key, accepted } in cases {
        let result = log_in(Candidates::of(&workspace), key);
        match result {
            Ok(id) => assert!(accepted && *id == *format!("id-of-{key}"), "{key}: {id}"),
            Err(error) => assert!(
                !accepted && matches!(error, ScramError::WrongKey),
                "{key}: {error}"
            ),
        }
    }
}

#[test]
fn unknown_workspace_fails_like_a_wrong_key() {
    let name = "nobody".into();
    let result = log_in(Candidates::mock(b"secret", &name), "any");
    assert!(matches!(result, Err(ScramError::WrongKey)));
    let salt = Candidates::mock(b"secret", &name).salt;
    assert_eq!(salt, Candidates::mock(b"secret", &name).salt);
    assert_ne!(salt, Candidates::mock(b"secret", &"other".into()).salt);
    assert_eq!(salt.len(), new_salt().len());
}

#[test]
fn malformed_messages_are_rejected() {
    let first = [
        "",
        "n",
        "n,",
        "p=tls,,n=,r=x",
        "n,,n=",
        "n,,n=,r=",
        "n,,m=,x",
    ];
    for message in first {
        let started =
            ServerExchange::start(message.as_bytes(), Candidates::mock(b"secret", &"a".into()));
        assert!(
            matches!(started, Err(ScramError::Malformed { .. })),
            "{message}"
        );
    }
    let candidates = Candidates::mock(b"secret", &"a".into());
    let server = ServerExchange::start_with_nonce(b"n,,n=,r=abc", candidates, "def").unwrap();
    let last = [
        "",
        "c=biws",
        "c=biws,r=abc,p=AA==",
        "c=eSws,r=abcdef,p=AA==",
        "c=biws,r=abcdef,p=AA==",
    ];
    for message in last {
        let finished = server.finish(message.as_bytes());
        assert!(
            matches!(finished, Err(ScramError::Malformed { .. })),
            "{message}"
        );
    }
}

#[test]
fn a_proof_of_another_exchange_is_rejected() {
    let workspace = workspace(&[("first", KeyState::Active)]);
    let mut client = ScramSha256::new(b"first", ChannelBinding::unsupported());
    let server = ServerExchange::start(client.message(), Candidates::of(&workspace)).unwrap();
    let other = ServerExchange::start(client.message(), Candidates::of(&workspace)).unwrap();
    client.update(server.server_first().as_bytes()).unwrap();
    assert!(other.finish(client.message()).is_err());
}
