use super::*;

#[test]
fn scanner_skips_the_rest_of_a_message_in_the_next_frame() {
    let mut bytes = BytesMut::new();
    put_parameter(&mut bytes, "name", &"x".repeat(100));
    put_ready(&mut bytes, TransactionStatus::Transaction);
    put_ready(&mut bytes, TransactionStatus::Idle);
    let mut scanner = Scanner::default();
    let mut seen = Vec::new();
    let (first, second) = bytes.split_at(20);
    scanner.scan(first, |header| seen.push((header.tag, header.first)));
    scanner.scan(second, |header| seen.push((header.tag, header.first)));
    assert_eq!(seen, [(b'S', b'n'), (b'Z', b'T'), (b'Z', b'I')]);
}
