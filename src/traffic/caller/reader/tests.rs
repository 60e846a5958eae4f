use proptest::prelude::*;

use super::*;

const LIMIT: usize = 64;

fn message(tag: u8, body: &[u8]) -> Vec<u8> {
    let mut bytes = vec![tag];
    bytes.extend_from_slice(&u32::try_from(body.len() + 4).unwrap().to_be_bytes());
    bytes.extend_from_slice(body);
    bytes
}

/// Feeds the pieces one by one and takes every message as soon as it is complete.
fn read_all(pieces: &[&[u8]]) -> Result<Vec<Message>> {
    let mut reader = MessageReader::new(LIMIT);
    let mut messages = Vec::new();
    for piece in pieces {
        reader.buffer.extend_from_slice(piece);
        while let Some(message) = reader.next()? {
            messages.push(message);
        }
        assert!(reader.buffer.len() <= LIMIT + HEADER_BYTES + piece.len());
    }
    Ok(messages)
}

#[test]
fn malformed_headers_are_rejected() {
    struct Case {
        bytes: &'static [u8],
        error: ReadError,
    }
    let cases = [
        Case {
            bytes: b"GET / HTTP/1.1",
            error: ReadError::UnknownType { tag: b'G' },
        },
        Case {
            bytes: &[b'Q', 0, 0, 0, 3],
            error: ReadError::TooShort { length: 3 },
        },
        Case {
            bytes: &[b'Q', 0, 0, 0, 65],
            error: ReadError::TooLong {
                length: 65,
                limit: LIMIT,
            },
        },
        Case {
            bytes: &[b'Q', 255, 255, 255, 255],
            error: ReadError::TooLong {
                length: u32::MAX as usize,
                limit: LIMIT,
            },
        },
    ];
    for case in cases {
        assert_eq!(read_all(&[case.bytes]).unwrap_err(), case.error);
    }
}

proptest! {
    #[test]
    fn messages_are_reassembled_from_any_split(
        bodies in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..48), 0..8),
        piece_bytes in 1_usize..40,
    ) {
        let sent: Vec<_> = bodies.iter().map(|body| message(b'd', body)).collect();
        let stream = sent.concat();
        let pieces: Vec<_> = stream.chunks(piece_bytes).collect();
        let received = read_all(&pieces).unwrap();
        let received: Vec<_> = received.iter().map(|message| message.bytes.to_vec()).collect();
        prop_assert_eq!(received, sent);
    }

    #[test]
    fn garbage_input_keeps_the_buffer_bounded(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let pieces: Vec<_> = bytes.chunks(7).collect();
        // Both results are valid; `read_all` checks that the buffer stays bounded.
        let _ = read_all(&pieces);
    }
}
