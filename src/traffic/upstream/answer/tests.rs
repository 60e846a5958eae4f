use bytes::BytesMut;
use tokio::net::{TcpListener, TcpStream};

use super::{Connection, Part, Reply};

async fn connection() -> Connection {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    Connection::new(TcpStream::connect(address).await.unwrap(), address)
}

#[tokio::test]
async fn plain_messages_pass_after_ones_that_the_caller_must_not_see() {
    let mut connection = connection().await;
    connection.replies.push(Reply::Closed { pass: false });
    let name = "cl_1".to_owned();
    connection.replies.push(Reply::Parsed { name, pass: false });
    // CloseComplete, ParseComplete, BindComplete, as they come when they are read at once.
    connection
        .incoming
        .extend_from_slice(b"3\0\0\0\x041\0\0\0\x042\0\0\0\x04");
    let part = connection.next_part().expect("the messages are in order");
    assert_eq!(part, Some(Part::Pass(BytesMut::from(&b"2\0\0\0\x04"[..]))));
    assert_eq!(connection.next_part().unwrap(), None);
}
