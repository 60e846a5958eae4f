use tokio::net::TcpListener;

use super::*;
use crate::peer::frame::LinkFrame;

fn introduction(name: &str) -> Introduction {
    Introduction {
        vm: name.into(),
        incarnation: Incarnation(1),
        window_bytes: 1024,
    }
}

async fn shake(dialer: &str, accepter: &str) -> (Result<Session>, Result<Session>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (dialer, accepter) = ([dialer.to_owned()], [accepter.to_owned()]);
    let dialing = async {
        let mut tcp = TcpStream::connect(address).await.unwrap();
        dial(&mut tcp, &Secrets::new(&dialer), &introduction("vm-1")).await
    };
    let accepting = async {
        let (mut tcp, _) = listener.accept().await.unwrap();
        accept(&mut tcp, &Secrets::new(&accepter), &introduction("vm-2")).await
    };
    tokio::join!(dialing, accepting)
}

#[tokio::test]
async fn both_sides_learn_the_other_and_share_keys() {
    let (dialer, accepter) = shake("secret", "secret").await;
    let (mut dialer, mut accepter) = (dialer.unwrap(), accepter.unwrap());
    assert_eq!(dialer.peer, introduction("vm-2"));
    assert_eq!(accepter.peer, introduction("vm-1"));
    for (from, to) in [
        (&mut dialer.sealer, &mut accepter.opener),
        (&mut accepter.sealer, &mut dialer.opener),
    ] {
        let mut buffer = Vec::new();
        from.seal(&LinkFrame::Ping, &mut buffer);
        let opened = to
            .open(&mut bytes::BytesMut::from(buffer.as_slice()))
            .unwrap();
        assert_eq!(opened, Some(LinkFrame::Ping));
    }
}

#[tokio::test]
async fn a_wrong_secret_fails_on_both_sides() {
    let (dialer, accepter) = shake("secret", "other").await;
    assert!(matches!(accepter, Err(HandshakeError::Secret)));
    assert!(dialer.is_err());
}
