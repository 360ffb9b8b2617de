use super::*;
use std::net::{TcpListener, TcpStream};
use std::time::Duration;

fn listener() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").expect("a port")
}

/// Guards against a wait that is counted for a connection which was noticed at once.
#[test]
fn awaited_connection_came_when_it_was_noticed() {
    let start = Instant::now();
    let noticed_at = start + Duration::from_secs(9);
    let mut backlog = Backlog::new(start);
    backlog.record_awaited();
    assert_eq!(backlog.connected_since(noticed_at), noticed_at);
    let later = noticed_at + Duration::from_secs(1);
    assert_eq!(
        backlog.connected_since(later),
        noticed_at,
        "the next one may have come with it"
    );
}

/// Guards against a wait that is forgotten, or counted from before the queue was empty.
#[test]
fn connection_may_have_waited_since_the_queue_was_empty() {
    let listener = listener();
    let start = Instant::now();
    let mut backlog = Backlog::new(start);
    std::thread::sleep(Duration::from_millis(2));
    backlog.look(&listener);
    let empty_at = backlog.connected_since(Instant::now());
    assert!(empty_at > start);
    let _client = TcpStream::connect(listener.local_addr().expect("bound")).expect("connected");
    std::thread::sleep(Duration::from_millis(2));
    backlog.look(&listener);
    assert_eq!(backlog.connected_since(Instant::now()), empty_at);
    listener.accept().expect("a connection");
    backlog.look(&listener);
    assert!(backlog.connected_since(Instant::now()) > empty_at);
}
