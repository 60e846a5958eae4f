use bytes::BytesMut;
use tokio::net::{TcpListener, TcpStream};

use super::{Connection, Reply, ResponsePart};

async fn connection() -> Connection {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    Connection::new(TcpStream::connect(address).await.unwrap(), address)
}

#[tokio::test]
async fn plain_messages_after_hidden_ones_are_forwarded() {
    let mut connection = connection().await;
    connection.replies.push(Reply::Closed { pass: false });
    let name = "cl_1".to_owned();
    connection.replies.push(Reply::Parsed { name, pass: false });
    // CloseComplete, ParseComplete and BindComplete, received in a single read.
    connection
        .incoming
        .extend_from_slice(b"3\0\0\0\x041\0\0\0\x042\0\0\0\x04");
    let part = connection.next_part().expect("the messages are in order");
    assert_eq!(
        part,
        Some(ResponsePart::Pass(BytesMut::from(&b"2\0\0\0\x04"[..])))
    );
    assert_eq!(connection.next_part().unwrap(), None);
}
