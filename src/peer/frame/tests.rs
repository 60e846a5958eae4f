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
        LinkFrame::WindowUpdate { stream, bytes: 900 },
        LinkFrame::Reset { stream },
    ]
}

fn encoded() -> Vec<u8> {
    let mut encoder = FrameEncoder::new(key());
    let mut buffer = Vec::new();
    for frame in frames() {
        encoder.encode(&frame, &mut buffer);
    }
    buffer
}

#[test]
fn frames_are_decoded_in_order_for_any_chunk_size() {
    for step in [1, 2, 7, 1_000] {
        let mut decoder = FrameDecoder::new(key());
        let mut buffer = BytesMut::new();
        let mut received = Vec::new();
        for chunk in encoded().chunks(step) {
            buffer.extend_from_slice(chunk);
            while let Some(frame) = decoder.decode(&mut buffer).unwrap() {
                received.push(frame);
            }
        }
        assert_eq!(received, frames(), "chunks of {step} bytes");
    }
}

#[test]
fn a_replayed_frame_is_rejected() {
    let mut one = Vec::new();
    FrameEncoder::new(key()).encode(&LinkFrame::Ping, &mut one);
    let mut buffer = BytesMut::from([one.clone(), one].concat().as_slice());
    let mut decoder = FrameDecoder::new(key());
    assert_eq!(decoder.decode(&mut buffer).unwrap(), Some(LinkFrame::Ping));
    assert!(matches!(
        decoder.decode(&mut buffer),
        Err(FrameError::InvalidTag)
    ));
}

proptest! {
    #[test]
    fn random_bytes_are_rejected_without_panic(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let mut decoder = FrameDecoder::new(key());
        let received = decoder.decode(&mut BytesMut::from(bytes.as_slice()));
        prop_assert!(!matches!(received, Ok(Some(_))));
    }

    #[test]
    fn a_frame_with_a_flipped_bit_is_rejected(at in 0..encoded().len(), bit in 0..8_u8) {
        let mut bytes = encoded();
        bytes[at] ^= 1 << bit;
        let mut buffer = BytesMut::from(bytes.as_slice());
        let mut decoder = FrameDecoder::new(key());
        let mut received = Vec::new();
        while let Ok(Some(frame)) = decoder.decode(&mut buffer) {
            received.push(frame);
        }
        prop_assert!(received.len() < frames().len());
    }
}
