use proptest::prelude::*;

use super::*;
use crate::configuration::Revision;
use crate::control::configuration::ConfigurationMessage;

fn secrets(text: &str) -> Secrets {
    Secrets::new(&[text.to_owned()])
}

fn envelope() -> Envelope {
    let fetch = ConfigurationMessage::Fetch { after: Revision(7) };
    Envelope {
        from: "vm-1".into(),
        incarnation: Incarnation(3),
        message: PeerMessage::Configuration(fetch),
    }
}

#[test]
fn round_trips_under_the_same_secret_only() {
    let datagram = encode(&envelope(), &secrets("a"));
    assert_eq!(decode(&datagram, &secrets("a")).unwrap(), envelope());
    assert!(matches!(
        decode(&datagram, &secrets("b")),
        Err(DatagramError::InvalidTag)
    ));
}

proptest! {
    #[test]
    fn random_bytes_are_rejected_without_panic(bytes in proptest::collection::vec(any::<u8>(), 0..1500)) {
        prop_assert!(decode(&bytes, &secrets("a")).is_err());
    }

    #[test]
    fn signed_random_bytes_are_decoded_without_panic(mut bytes in proptest::collection::vec(any::<u8>(), 0..1500)) {
        let tag = secrets("a").signing_key().sign(&[&bytes]);
        let expected = postcard::from_bytes::<Envelope>(&bytes).ok();
        bytes.extend_from_slice(&tag);
        prop_assert_eq!(decode(&bytes, &secrets("a")).ok(), expected);
    }
}
