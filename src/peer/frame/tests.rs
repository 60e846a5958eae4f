use bytes::Bytes;
use proptest::prelude::*;

use super::*;

fn key() -> MacKey {
    MacKey::new(b"secret")
}

fn frames() -> Vec<LinkFrame> {
    let stream = StreamId(3);
    vec![
        LinkFrame::Ping,
        LinkFrame::Caller {
            stream,
            frame: CallerFrame::Messages(Bytes::from_static(b"Q....")),
        },
        LinkFrame::Home {
            stream,
            frame: HomeFrame::End,
        },
        LinkFrame::Taken { stream, bytes: 900 },
        LinkFrame::Reset { stream },
    ]
}

fn sealed() -> Vec<u8> {
    let mut sealer = Sealer::new(key());
    let mut buffer = Vec::new();
    for frame in frames() {
        sealer.seal(&frame, &mut buffer);
    }
    buffer
}

#[test]
fn frames_arrive_in_order_however_they_are_cut() {
    for step in [1, 2, 7, 1_000] {
        let mut opener = Opener::new(key());
        let mut buffer = BytesMut::new();
        let mut received = Vec::new();
        for chunk in sealed().chunks(step) {
            buffer.extend_from_slice(chunk);
            while let Some(frame) = opener.open(&mut buffer).unwrap() {
                received.push(frame);
            }
        }
        assert_eq!(received, frames(), "cut every {step} bytes");
    }
}

#[test]
fn a_repeated_frame_is_refused() {
    let mut one = Vec::new();
    Sealer::new(key()).seal(&LinkFrame::Ping, &mut one);
    let mut buffer = BytesMut::from([one.clone(), one].concat().as_slice());
    let mut opener = Opener::new(key());
    assert_eq!(opener.open(&mut buffer).unwrap(), Some(LinkFrame::Ping));
    assert!(matches!(opener.open(&mut buffer), Err(FrameError::Forged)));
}

proptest! {
    #[test]
    fn any_bytes_are_refused_without_panic(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let mut opener = Opener::new(key());
        let received = opener.open(&mut BytesMut::from(bytes.as_slice()));
        prop_assert!(!matches!(received, Ok(Some(_))));
    }

    #[test]
    fn a_flipped_bit_is_never_accepted_as_the_same_frames(at in 0..sealed().len(), bit in 0..8_u8) {
        let mut bytes = sealed();
        bytes[at] ^= 1 << bit;
        let mut buffer = BytesMut::from(bytes.as_slice());
        let mut opener = Opener::new(key());
        let mut received = Vec::new();
        while let Ok(Some(frame)) = opener.open(&mut buffer) {
            received.push(frame);
        }
        prop_assert!(received.len() < frames().len());
    }
}
