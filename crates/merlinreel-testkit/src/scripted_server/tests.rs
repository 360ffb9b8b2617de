use super::*;
use std::io::Read;
use test_case::test_case;

const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nHost: svc\r\n\r\n";
/// A truncated response: its body has two bytes of four.
const TEXT: &str = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndo";

fn send_request(server: &ScriptedServer) -> TcpStream {
    let mut stream = TcpStream::connect(server.address).expect("a connection");
    stream
        .set_read_timeout(Some(TEST_TIMEOUT))
        .expect("the read timeout is set");
    stream.write_all(REQUEST).expect("written");
    server.next_request();
    stream
}

#[test_case(ConnectionEnd::Reset => Some(ErrorKind::ConnectionReset) ; "reset")]
#[test_case(ConnectionEnd::Orderly => None ; "orderly")]
fn truncated_response_is_read_before_the_connection_ends(end: ConnectionEnd) -> Option<ErrorKind> {
    let truncated = TruncatedResponse {
        text: TEXT.to_owned(),
        when: CloseTiming::Read,
        end,
    };
    let server = ScriptedServer::start(move |_| Reaction::Truncate(truncated.clone()));
    let mut stream = send_request(&server);
    let mut text = vec![0; TEXT.len()];
    stream.read_exact(&mut text).expect("all of the text");
    assert_eq!(text, TEXT.as_bytes());
    stream
        .read(&mut [0])
        .map(|length| assert_eq!(length, 0))
        .err()
        .map(|error| error.kind())
}

/// The number of unread bytes in the receive buffer of the connection's other end. Waits until all written bytes are
/// acknowledged: on loopback they are in that buffer then.
fn unread_bytes_of(stream: &TcpStream) -> u64 {
    let start = Instant::now();
    while start.elapsed() < TEST_TIMEOUT {
        let found = unread_bytes::look_up(stream).expect("the kernel's socket table is read");
        if let Some(unread) = found.filter(|unread| unread.unacknowledged == 0) {
            return unread.received;
        }
    }
    panic!("written bytes were not acknowledged within {TEST_TIMEOUT:?}");
}

#[test]
fn written_bytes_are_unread_until_the_other_side_reads_them() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let mut reader = TcpStream::connect(
        listener
            .local_addr()
            .expect("the listener has a local address"),
    )
    .expect("a connection");
    let (mut writer, _) = listener.accept().expect("a connection");
    assert_eq!(unread_bytes_of(&writer), 0);
    writer.write_all(&[0; 10]).expect("written");
    assert_eq!(unread_bytes_of(&writer), 10);
    reader.read_exact(&mut [0; 6]).expect("a part");
    assert_eq!(unread_bytes_of(&writer), 4);
    reader.read_exact(&mut [0; 4]).expect("the rest");
    wait_until_read(&writer).expect("all is read");
}

#[test]
fn connection_closed_within_a_trickle_is_reported() {
    let trickle = Trickle {
        head: String::new(),
        piece: "x",
        interval: Duration::from_millis(1),
        pieces: usize::MAX,
    };
    let server = ScriptedServer::start(move |_| Reaction::Trickle(trickle.clone()));
    let mut stream = send_request(&server);
    stream.read_exact(&mut [0; 2]).expect("two pieces");
    drop(stream);
    assert_eq!(server.closed.recv_timeout(TEST_TIMEOUT), Ok(0));
}
