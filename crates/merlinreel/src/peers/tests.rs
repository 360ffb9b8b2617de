use super::*;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::timeout;

#[tokio::test]
async fn peer_messages_of_known_senders_are_queued_and_others_dropped() {
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let [one, two, unknown] = [
        UdpSocket::bind(any_port).await.expect("a port"),
        UdpSocket::bind(any_port).await.expect("a port"),
        UdpSocket::bind(any_port).await.expect("a port"),
    ];
    let peers: Arc<[SocketAddr]> = [&one, &two].map(|s| s.local_addr().expect("bound")).into();
    let (queue, mut events) = mpsc::channel(8);
    let receiver = PeerSocket {
        socket: Arc::new(one),
        peers: peers.clone(),
    };
    let sender = PeerSocket {
        socket: Arc::new(two),
        peers: peers.clone(),
    };
    tokio::spawn(receiver.receive(queue));
    let _ = unknown.send_to(b"odd", peers[0]).await;
    sender.send(0, &[0; MAX_BYTES + 1]);
    sender.send(7, b"nobody");
    sender.send(0, b"hello");
    let first = timeout(Duration::from_secs(5), events.recv())
        .await
        .expect("a peer message");
    let Some(Event::PeerMessage(peer_message)) = first else {
        panic!("no peer message")
    };
    assert_eq!(
        (peer_message.from, peer_message.bytes.as_slice()),
        (1, &b"hello"[..])
    );
}
