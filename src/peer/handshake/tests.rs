use tokio::net::TcpListener;

use super::*;
use crate::peer::frame::LinkFrame;

fn peer_info(name: &str) -> PeerInfo {
    PeerInfo {
        vm: name.into(),
        incarnation: Incarnation(1),
        window_bytes: 1024,
    }
}

async fn run_handshake(dialer: &str, accepter: &str) -> (Result<Session>, Result<Session>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (dialer, accepter) = ([dialer.to_owned()], [accepter.to_owned()]);
    let dialing = async {
        let mut tcp = TcpStream::connect(address).await.unwrap();
        dial(&mut tcp, &Secrets::new(&dialer), &peer_info("vm-1")).await
    };
    let accepting = async {
        let (mut tcp, _) = listener.accept().await.unwrap();
        accept(&mut tcp, &Secrets::new(&accepter), &peer_info("vm-2")).await
    };
    tokio::join!(dialing, accepting)
}

#[tokio::test]
async fn both_sides_identify_the_peer_and_derive_the_same_keys() {
    let (dialer, accepter) = run_handshake("secret", "secret").await;
    let (mut dialer, mut accepter) = (dialer.unwrap(), accepter.unwrap());
    assert_eq!(dialer.peer, peer_info("vm-2"));
    assert_eq!(accepter.peer, peer_info("vm-1"));
    for (from, to) in [
        (&mut dialer.encoder, &mut accepter.decoder),
        (&mut accepter.encoder, &mut dialer.decoder),
    ] {
        let mut buffer = Vec::new();
        from.encode(&LinkFrame::Ping, &mut buffer);
        let decoded = to
            .decode(&mut bytes::BytesMut::from(buffer.as_slice()))
            .unwrap();
        assert_eq!(decoded, Some(LinkFrame::Ping));
    }
}

#[tokio::test]
async fn a_wrong_secret_fails_on_both_sides() {
    let (dialer, accepter) = run_handshake("secret", "other").await;
    assert!(matches!(accepter, Err(HandshakeError::Secret)));
    assert!(dialer.is_err());
}
