use super::*;
use std::io::Read;
use test_case::test_case;

const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nHost: svc\r\n\r\n";
const TEXT: &str = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndo";

fn ask(server: &StandIn) -> TcpStream {
    let mut stream = TcpStream::connect(server.address).expect("a connection");
    stream.set_read_timeout(Some(PATIENCE)).expect("a socket");
    stream.write_all(REQUEST).expect("written");
    server.next();
    stream
}

#[test_case(ConnectionEnd::Reset => Some(ErrorKind::ConnectionReset) ; "reset")]
#[test_case(ConnectionEnd::Orderly => None ; "orderly")]
fn what_was_read_before_the_end(end: ConnectionEnd) -> Option<ErrorKind> {
    let broken = BreakOff {
        text: TEXT.to_owned(),
        when: BreakWhen::Read,
        end,
    };
    let server = StandIn::start(move |_| React::BreakOff(broken.clone()));
    let mut stream = ask(&server);
    let mut text = vec![0; TEXT.len()];
    stream.read_exact(&mut text).expect("all of the text");
    assert_eq!(text, TEXT.as_bytes());
    stream
        .read(&mut [0])
        .map(|length| assert_eq!(length, 0))
        .err()
        .map(|error| error.kind())
}

/// Nothing is on its way: a write to a connection of one machine with itself is there as it returns.
fn unread_of(stream: &TcpStream) -> u64 {
    let begun = Instant::now();
    while begun.elapsed() < PATIENCE {
        let found = unread::look(stream).expect("the kernel's table");
        if let Some(unread) = found.filter(|unread| unread.unacknowledged == 0) {
            return unread.received;
        }
    }
    panic!("never acknowledged");
}

#[test]
fn bytes_are_unread_until_the_other_side_reads_them() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let mut reader =
        TcpStream::connect(listener.local_addr().expect("bound")).expect("a connection");
    let (mut writer, _) = listener.accept().expect("a connection");
    assert_eq!(unread_of(&writer), 0);
    writer.write_all(&[0; 10]).expect("written");
    assert_eq!(unread_of(&writer), 10);
    reader.read_exact(&mut [0; 6]).expect("a part");
    assert_eq!(unread_of(&writer), 4);
    reader.read_exact(&mut [0; 4]).expect("the rest");
    wait_until_read(&writer).expect("all is read");
}

#[test]
fn a_trickle_tells_who_closes_before_its_end() {
    let trickle = Trickle {
        head: String::new(),
        piece: "x",
        every: Duration::from_millis(1),
        pieces: usize::MAX,
    };
    let server = StandIn::start(move |_| React::Trickle(trickle.clone()));
    let mut stream = ask(&server);
    stream.read_exact(&mut [0; 2]).expect("two pieces");
    drop(stream);
    assert_eq!(server.closed.recv_timeout(PATIENCE), Ok(0));
}
