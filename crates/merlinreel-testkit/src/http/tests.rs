use super::*;
use std::io::BufReader;
use test_case::test_case;

const CHUNKED: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const CONTENT_LENGTH: &str = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n";
const UNTIL_CLOSE: &str = "HTTP/1.1 200 OK\r\n\r\n";

/// A connection that delivers `bytes` and then ends: with the error `ends`, or orderly if it is `None`.
struct Connection {
    bytes: &'static [u8],
    ends: Option<ErrorKind>,
}

impl Read for Connection {
    fn read(&mut self, into: &mut [u8]) -> io::Result<usize> {
        match self.ends {
            Some(kind) if self.bytes.is_empty() => Err(kind.into()),
            _ => self.bytes.read(into),
        }
    }
}

fn message(texts: [&str; 2], ends: Option<ErrorKind>) -> Result<Option<Message>, ReadError> {
    let bytes = texts.concat().leak().as_bytes();
    read(&mut BufReader::new(Connection { bytes, ends }), 0)
}

#[test_case(CONTENT_LENGTH, "done" => "done" ; "content length")]
#[test_case(CHUNKED, "0\r\n\r\n" => "" ; "only the last chunk")]
#[test_case(CHUNKED, "2\r\ndo\r\n2\r\nne\r\n0\r\n\r\n" => "done" ; "chunks")]
#[test_case(CHUNKED, "0a;kind=x\r\n0123456789\r\n0\r\nX-Kind: blue\r\n\r\n" => "0123456789" ; "chunk extensions and trailers")]
#[test_case(CHUNKED, "4\r\n\r\n\r\n\r\n0\r\n\r\n" => "\r\n\r\n" ; "line ends in a chunk")]
#[test_case(UNTIL_CLOSE, "done" => "done" ; "until the close")]
#[test_case("HTTP/1.1 204 No Content\r\n\r\n", "next" => "" ; "status that allows no body")]
#[test_case("GET / HTTP/1.1\r\nHost: svc\r\n\r\n", "next" => "" ; "request without a body")]
fn complete_message_has_its_body(head: &str, body: &str) -> String {
    message([head, body], None)
        .expect("complete")
        .expect("a message")
        .body
}

/// A connection on which every second read, starting with the first, fails as interrupted by a signal.
struct InterruptedConnection {
    connection: Connection,
    interrupts: bool,
}

impl Read for InterruptedConnection {
    fn read(&mut self, into: &mut [u8]) -> io::Result<usize> {
        self.interrupts = !self.interrupts;
        if self.interrupts {
            return Err(ErrorKind::Interrupted.into());
        }
        self.connection.read(into)
    }
}

/// When a process is stopped and continued, waiting reads that have a timeout fail as interrupted, see signal(7).
#[test_case(CONTENT_LENGTH, "done" => "done" ; "content length")]
#[test_case(CHUNKED, "4\r\ndone\r\n0\r\n\r\n" => "done" ; "chunks")]
#[test_case(UNTIL_CLOSE, "done" => "done" ; "until the close")]
fn interrupted_reads_are_repeated(head: &str, body: &str) -> String {
    let bytes = [head, body].concat().leak().as_bytes();
    let connection = Connection { bytes, ends: None };
    let mut from = BufReader::new(InterruptedConnection {
        connection,
        interrupts: false,
    });
    read(&mut from, 0)
        .expect("complete")
        .expect("a message")
        .body
}

#[test_case(CONTENT_LENGTH, "" => "" ; "content length, head only")]
#[test_case(CONTENT_LENGTH, "don" => "don" ; "content length, all but the last byte")]
#[test_case(CHUNKED, "" => "" ; "chunked, head only")]
#[test_case(CHUNKED, "1" => "" ; "within a chunk size")]
#[test_case(CHUNKED, "4\r\ndo" => "do" ; "within a chunk")]
#[test_case(CHUNKED, "4\r\ndone" => "done" ; "before the CRLF of a chunk")]
#[test_case(CHUNKED, "4\r\ndone\r\n" => "done" ; "between chunks")]
#[test_case(CHUNKED, "4\r\ndone\r\n0\r\n" => "done" ; "within the last chunk")]
fn truncated_message_is_incomplete_whichever_way_the_connection_ends(
    head: &str,
    body: &str,
) -> String {
    let [orderly, reset] =
        [None, Some(ErrorKind::ConnectionReset)].map(|ends| match message([head, body], ends) {
            Err(ReadError::Incomplete(message)) => message.body,
            other => panic!("{other:?}"),
        });
    assert_eq!(orderly, reset);
    orderly
}

#[test]
fn reset_does_not_complete_a_response_delimited_by_the_close() {
    match message([UNTIL_CLOSE, "do"], Some(ErrorKind::ConnectionReset)) {
        Err(ReadError::Incomplete(message)) => {
            assert_eq!((message.status(), message.body.as_str()), (200, "do"));
        }
        other => panic!("{other:?}"),
    }
}

#[test_case("HTTP/1.1 200 OK\r\n", "" , None => ErrorKind::UnexpectedEof ; "head truncated between lines")]
#[test_case("HTTP/1.1 200 OK\r\n", "Content-Len", None => ErrorKind::UnexpectedEof ; "head truncated within a line")]
#[test_case("HTTP/1.1 200 OK\r\n", "noise\r\n\r\n", None => ErrorKind::InvalidData ; "header line without a colon")]
#[test_case(CHUNKED, "x\r\n", None => ErrorKind::InvalidData ; "chunk size that is not hexadecimal")]
#[test_case(CHUNKED, "2\r\ndone\r\n", None => ErrorKind::InvalidData ; "chunk longer than its size")]
#[test_case(CONTENT_LENGTH, "do", Some(ErrorKind::WouldBlock) => ErrorKind::WouldBlock ; "timeout within a body of known length")]
#[test_case(UNTIL_CLOSE, "do", Some(ErrorKind::WouldBlock) => ErrorKind::WouldBlock ; "timeout before the close")]
fn malformed_message_or_timeout_is_an_io_error(
    head: &str,
    body: &str,
    ends: Option<ErrorKind>,
) -> ErrorKind {
    match message([head, body], ends) {
        Err(ReadError::Io(error)) => error.kind(),
        other => panic!("{other:?}"),
    }
}

#[test]
fn header_without_a_value_or_a_space_is_read() {
    let message = message(
        [
            "HTTP/1.1 200 OK\r\nX-Empty:\r\nX-Kind:blue\r\nContent-Length: 0\r\n\r\n",
            "",
        ],
        None,
    );
    let message = message.expect("complete").expect("a message");
    assert_eq!(
        (message.header("x-empty"), message.header("x-kind")),
        (Some(""), Some("blue"))
    );
}

#[test]
fn ended_connection_has_no_message() {
    assert!(matches!(message(["", ""], None), Ok(None)));
}
