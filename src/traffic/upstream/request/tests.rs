use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use super::*;
use crate::traffic::upstream::response::ResponsePart;

/// Returns a connection, and the socket on which the test acts as the instance.
async fn connection() -> (Connection, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let stream = TcpStream::connect(address).await.unwrap();
    let (instance, _) = listener.accept().await.unwrap();
    (Connection::new(stream, address), instance)
}

fn parse(name: &str) -> Bytes {
    let mut message = BytesMut::new();
    frontend::parse(name, "SELECT 1", [], &mut message).unwrap();
    message.freeze()
}

fn sync() -> Bytes {
    let mut message = BytesMut::new();
    frontend::sync(&mut message);
    message.freeze()
}

/// Empties the output buffer and returns the tags of its messages.
fn sent(connection: &mut Connection) -> String {
    let mut tags = String::new();
    while let Some(bytes) = whole_message_bytes(&connection.outgoing).unwrap() {
        tags.push(char::from(connection.outgoing.split_to(bytes)[0]));
    }
    tags
}

/// Sends messages with the given tags as the instance; returns the tags of the messages that are
/// forwarded to the caller.
async fn forwarded_response(
    connection: &mut Connection,
    instance: &mut TcpStream,
    tags: &str,
) -> String {
    for tag in tags.chars() {
        let mut message = vec![tag as u8, 0, 0, 0, 4];
        if tag == 'Z' {
            message = b"Z\0\0\0\x05I".to_vec();
        }
        instance.write_all(&message).await.unwrap();
    }
    let mut passed = String::new();
    loop {
        match connection.next_part().unwrap() {
            Some(ResponsePart::Ready(_)) => return passed + "Z",
            Some(ResponsePart::Pass(mut messages)) => {
                while let Some(bytes) = whole_message_bytes(&messages).unwrap() {
                    passed.push(char::from(messages.split_to(bytes)[0]));
                }
            }
            Some(ResponsePart::Failed(_)) => passed.push('E'),
            Some(ResponsePart::Complete { .. }) => passed.push('C'),
            None => connection.progress().await.unwrap(),
        }
    }
}

#[tokio::test]
async fn a_definition_is_sent_once_and_its_replies_are_not_forwarded() {
    let (mut connection, mut instance) = connection().await;
    connection.define("a", &parse("a")).unwrap();
    connection.take_messages(sync()).unwrap();
    assert_eq!(sent(&mut connection), "CPS");
    assert_eq!(
        forwarded_response(&mut connection, &mut instance, "31Z").await,
        "Z"
    );
    connection.define("a", &parse("a")).unwrap();
    connection.take_messages(sync()).unwrap();
    assert_eq!(sent(&mut connection), "S");
    assert_eq!(
        forwarded_response(&mut connection, &mut instance, "Z").await,
        "Z"
    );
    assert!(connection.is_clean());
}

#[tokio::test]
async fn a_callers_own_parse_replaces_the_statement() {
    let (mut connection, mut instance) = connection().await;
    for _ in 0..2 {
        connection.take_messages(parse("a")).unwrap();
        connection.take_messages(sync()).unwrap();
        assert_eq!(sent(&mut connection), "CPS");
        assert_eq!(
            forwarded_response(&mut connection, &mut instance, "31Z").await,
            "1Z"
        );
    }
}

#[tokio::test]
async fn a_definition_skipped_after_an_error_is_sent_again() {
    let (mut connection, mut instance) = connection().await;
    connection.define("a", &parse("a")).unwrap();
    connection.take_messages(sync()).unwrap();
    sent(&mut connection);
    assert_eq!(
        forwarded_response(&mut connection, &mut instance, "EZ").await,
        "EZ"
    );
    connection.define("a", &parse("a")).unwrap();
    assert_eq!(sent(&mut connection), "CP");
}

#[tokio::test]
async fn a_message_received_byte_by_byte_is_forwarded_whole() {
    let (mut connection, mut instance) = connection().await;
    let whole = parse("a");
    for byte in whole.iter().copied() {
        connection.take_messages(Bytes::from(vec![byte])).unwrap();
    }
    assert!(connection.partial.is_empty());
    connection.write_now().unwrap();
    let mut received = vec![0; whole.len()];
    // The `Close` of the same name is sent first.
    let mut close = vec![0; 8];
    instance.read_exact(&mut close).await.unwrap();
    instance.read_exact(&mut received).await.unwrap();
    assert_eq!(received, whole);
}

#[tokio::test]
async fn an_unexpected_message_from_the_instance_is_an_error() {
    for message in [
        &b"1\0\0\0\x04"[..],
        b"3\0\0\0\x04",
        b"Z\0\0\0\x05I",
        b"?\0\0\0\x04",
    ] {
        let (mut connection, mut instance) = connection().await;
        instance.write_all(message).await.unwrap();
        connection.progress().await.unwrap();
        assert!(connection.next_part().is_err(), "{message:?}");
    }
}
