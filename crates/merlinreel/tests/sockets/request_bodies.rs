//! Request bodies in each framing that HTTP/1.1 allows, as bytes on the socket.

use merlinreel_testkit::*;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, TcpStream};
use test_case::test_case;

const LENGTH: &str = "Content-Length: 6\r\n";
const CHUNKED: &str = "Transfer-Encoding: chunked\r\n";
const PATIENT: &str = "3000m";
/// The longest body that is accepted.
const MAX_BODY_BYTES: usize = 64 * 1024;

/// A connection on which each write leaves at once.
struct RawClient {
    to: TcpStream,
    from: BufReader<TcpStream>,
}

impl RawClient {
    fn connect(program: &Program) -> RawClient {
        let to = TcpStream::connect(program.address).expect("a connection");
        to.set_nodelay(true).expect("no delay");
        to.set_read_timeout(Some(TEST_TIMEOUT)).expect("a bound");
        RawClient {
            from: BufReader::new(to.try_clone().expect("a second handle")),
            to,
        }
    }

    fn send(&mut self, bytes: &[u8]) {
        // Where the other side has closed, the response is missing.
        let _ = self.to.write_all(bytes);
    }

    /// The status of the next response, read to its end; none where the connection has ended.
    fn status(&mut self) -> Option<u16> {
        let mut first = String::new();
        if self
            .from
            .read_line(&mut first)
            .expect("a response or the end")
            == 0
        {
            return None;
        }
        let mut length = 0;
        loop {
            let mut line = String::new();
            self.from.read_line(&mut line).expect("a head");
            let Some((name, value)) = line.trim_end().split_once(": ") else {
                break;
            };
            if name.eq_ignore_ascii_case("content-length") {
                length = value.parse().expect("a length");
            }
        }
        self.from.read_exact(&mut vec![0; length]).expect("a body");
        first.split(' ').nth(1).and_then(|code| code.parse().ok())
    }

    fn call(&mut self, bytes: &[u8]) -> Option<u16> {
        self.send(bytes);
        self.status()
    }
}

/// A request whose framing and body are given as they go on the framed.
fn framed_request(class: &str, customer: u32, framing: &str, body: &str) -> String {
    let text = request(class, customer, 1, PATIENT);
    let (head, _) = text.split_once("\r\n\r\n").expect("a head");
    // Its own length is the last but one of its lines.
    let lines: Vec<&str> = head
        .split("\r\n")
        .filter(|line| !line.starts_with("Content-Length"))
        .collect();
    format!("{}\r\n{framing}\r\n{body}", lines.join("\r\n"))
}

fn chunked(class: &str, customer: u32, body: &str) -> String {
    framed_request(class, customer, CHUNKED, body)
}

/// A server that answers everything, and the program in front of it.
fn started() -> (ScriptedServer, Program) {
    let server = ScriptedServer::start(|_| ok_response());
    let program = Program::start(&config(&[instance("s-1", server.address, "up")]));
    (server, program)
}

/// The server got a complete body, framed by its length and by nothing else.
fn assert_body(seen: &Message, body: &str) {
    let lengths: Vec<&str> = seen
        .headers
        .iter()
        .filter(|(name, _)| name.eq_ignore_ascii_case("content-length"))
        .map(|(_, value)| value.as_str())
        .collect();
    // A request without a length has no body.
    let announced = if lengths.is_empty() {
        vec!["0"]
    } else {
        lengths
    };
    assert_eq!(announced, [body.len().to_string()]);
    assert_eq!(
        (seen.header("transfer-encoding"), seen.header("trailer")),
        (None, None)
    );
    assert_eq!(seen.body, body);
}

/// Each way to write the same body in chunks, for both kinds of class that have one; the connection stays in use.
#[test_case("6\r\na body\r\n0\r\n\r\n", "a body" ; "one chunk")]
#[test_case("1\r\na\r\n1\r\n \r\n4\r\nbody\r\n0\r\n\r\n", "a body" ; "several chunks")]
#[test_case("0006\r\na body\r\n000\r\n\r\n", "a body" ; "zeros before the size")]
#[test_case("6;name=value;other=\"a;b\"\r\na body\r\n0;last\r\n\r\n", "a body" ; "extensions")]
#[test_case("6 \t\r\na body\r\n0\r\n\r\n", "a body" ; "space after the size")]
#[test_case("6\r\na body\r\n0\r\nX-Sum: 5c\r\nContent-Length: 3\r\n\r\n", "a body" ; "trailers")]
#[test_case("1A\r\nabcdefghijklmnopqrstuvwxyz\r\n0\r\n\r\n", "abcdefghijklmnopqrstuvwxyz" ; "upper case")]
#[test_case("1a\r\nabcdefghijklmnopqrstuvwxyz\r\n0\r\n\r\n", "abcdefghijklmnopqrstuvwxyz" ; "lower case")]
#[test_case("19\r\n\r\n\r\nContent-Length: 3\r\n\r\n\r\n0\r\n\r\n", "\r\n\r\nContent-Length: 3\r\n\r\n" ; "a body like a head")]
#[test_case("0\r\n\r\n", "" ; "empty")]
fn chunked_body_reaches_the_server_complete(framed: &str, body: &str) {
    let (server, program) = started();
    let mut client = RawClient::connect(&program);
    for (customer, class) in ["put", "pay"].into_iter().enumerate() {
        let text = chunked(class, customer as u32, framed);
        assert_eq!(client.call(text.as_bytes()), Some(200), "{class}");
        assert_body(&server.next_request(), body);
        let next = request(class, 7, 1, PATIENT);
        assert_eq!(client.call(next.as_bytes()), Some(200), "the next request");
        assert_body(&server.next_request(), "a body");
    }
    assert!(server.requests.try_recv().is_err());
}

#[test]
fn chunked_request_sent_byte_by_byte_is_served() {
    let (server, program) = started();
    let mut client = RawClient::connect(&program);
    for customer in 0..3 {
        let text = chunked(
            "pay",
            customer,
            "3;x\r\na b\r\n3\r\nody\r\n0\r\nX-Sum: 5c\r\n\r\n",
        );
        text.as_bytes().chunks(1).for_each(|byte| client.send(byte));
        assert_eq!(client.status(), Some(200));
        assert_body(&server.next_request(), "a body");
    }
}

/// Cut in two at each place, on one connection.
#[test]
fn chunked_request_split_anywhere_is_served() {
    let (server, program) = started();
    let mut client = RawClient::connect(&program);
    let length = chunked("pay", 0, "6\r\na body\r\n0\r\n\r\n").len();
    for split in 0..=length {
        let text = chunked("pay", split as u32, "6\r\na body\r\n0\r\n\r\n");
        let (first, second) = text.as_bytes().split_at(split);
        client.send(first);
        std::thread::yield_now();
        assert_eq!(client.call(second), Some(200), "cut at {split}");
        assert_body(&server.next_request(), "a body");
    }
}

#[test]
fn chunked_body_of_the_maximum_length_is_served() {
    let (server, program) = started();
    let mut client = RawClient::connect(&program);
    let body: String = ('a'..='z').cycle().take(MAX_BODY_BYTES).collect();
    for size in [1, 7, 4096, MAX_BODY_BYTES] {
        let pieces = body
            .as_bytes()
            .chunks(size)
            .map(|piece| String::from_utf8_lossy(piece));
        let framed: String = pieces
            .map(|piece| format!("{:x}\r\n{piece}\r\n", piece.len()))
            .collect();
        assert_eq!(
            client.call(chunked("pay", 1, &(framed + "0\r\n\r\n")).as_bytes()),
            Some(200),
            "{size}"
        );
        assert_body(&server.next_request(), &body);
    }
}

#[test_case(MAX_BODY_BYTES + 1, 1 ; "a byte more, in small chunks")]
#[test_case(MAX_BODY_BYTES + 1, MAX_BODY_BYTES + 1 ; "a byte more, in one chunk")]
#[test_case(2 * MAX_BODY_BYTES, 4096 ; "twice as long")]
fn chunked_body_over_the_maximum_length_is_rejected_with_413(length: usize, size: usize) {
    let (server, program) = started();
    let body = "x".repeat(length);
    let pieces = body
        .as_bytes()
        .chunks(size)
        .map(|piece| String::from_utf8_lossy(piece));
    let framed: String = pieces
        .map(|piece| format!("{:x}\r\n{piece}\r\n", piece.len()))
        .collect();
    let mut client = RawClient::connect(&program);
    assert_eq!(
        client.call(chunked("pay", 1, &(framed + "0\r\n\r\n")).as_bytes()),
        Some(413)
    );
    assert_eq!(client.status(), None);
    assert!(server.requests.try_recv().is_err());
}

#[test_case("6\r\na bo" ; "half a chunk")]
#[test_case("6\r\na body\r\n" ; "no last chunk")]
#[test_case("6\r\na body\r\n0\r\nX-Sum: 5c\r\n" ; "no end of the trailers")]
fn incomplete_chunked_body_is_ended_with_408(framed: &str) {
    let (server, program) = started();
    let mut client = RawClient::connect(&program);
    let text = chunked("pay", 1, framed).replace(PATIENT, "50m");
    assert_eq!(client.call(text.as_bytes()), Some(408));
    assert_eq!(client.status(), None);
    assert!(server.requests.try_recv().is_err());
}

/// A client whose side ends before the body is answered or closed, and no server gets the part.
#[test]
fn truncated_chunked_body_is_not_forwarded() {
    let (server, program) = started();
    let mut client = RawClient::connect(&program);
    client.send(chunked("pay", 1, "6\r\na bo").as_bytes());
    client.to.shutdown(Shutdown::Write).expect("its side ends");
    assert!(matches!(client.status(), None | Some(400)));
    assert_eq!(client.status(), None);
    assert!(server.requests.try_recv().is_err());
}

#[test_case("g\r\na body\r\n0\r\n\r\n" ; "no digit")]
#[test_case("\r\na body\r\n0\r\n\r\n" ; "no size")]
#[test_case("-6\r\na body\r\n0\r\n\r\n" ; "signed")]
#[test_case("0x6\r\na body\r\n0\r\n\r\n" ; "with a base prefix")]
#[test_case("6 6\r\na body\r\n0\r\n\r\n" ; "two sizes")]
#[test_case("10000000000000006\r\na body\r\n0\r\n\r\n" ; "over 64 bits")]
#[test_case("6\na body\n0\n\n" ; "line feeds alone")]
#[test_case("5\r\na body\r\n0\r\n\r\n" ; "too short")]
#[test_case("6;a\nb\r\na body\r\n0\r\n\r\n" ; "a line feed in an extension")]
fn malformed_chunk_closes_the_connection(framed: &str) {
    let (server, program) = started();
    let mut client = RawClient::connect(&program);
    let text = chunked("pay", 1, framed) + &request("pay", 2, 1, PATIENT);
    assert_eq!(client.call(text.as_bytes()), Some(400));
    assert_eq!(client.status(), None);
    assert!(server.requests.try_recv().is_err());
}

/// Each way to give two lengths, with a request hidden where one of two readers would look for the next: rejected, and
/// nothing after it is read as a request. Both kinds of body are tried, as the reader by length ends elsewhere.
#[test_case("Content-Length: 6\r\nTransfer-Encoding: chunked\r\n" ; "length first")]
#[test_case("Transfer-Encoding: chunked\r\nContent-Length: 6\r\n" ; "chunked first")]
#[test_case("tRANSFER-eNCODING: cHUNKED\r\ncONTENT-lENGTH:6\r\n" ; "mixed case")]
#[test_case("cONTENT-lENGTH:6\r\ntRANSFER-eNCODING:cHUNKED\r\n" ; "mixed case with the length first")]
#[test_case("Transfer-Encoding: chunked\r\nX-Between: 1\r\nContent-Length: 0\r\n" ; "a length of nothing")]
#[test_case("Transfer-Encoding: chunked\r\nContent-Length: many\r\n" ; "a length that is no number")]
#[test_case("Transfer-Encoding: chunked\r\nContent-Length:\r\n" ; "an empty length")]
#[test_case("Content-Length: 6\r\nTransfer-Encoding: chunked\r\nContent-Length: 6\r\n" ; "between two lengths")]
#[test_case("Transfer-Encoding: chunked\r\nContent-Length : 6\r\n" ; "space before the colon of the length")]
#[test_case("Content-Length: 6\r\nTransfer-Encoding : chunked\r\n" ; "space before the colon of the coding")]
#[test_case("Transfer-Encoding: chunked\r\n Content-Length: 6\r\n" ; "space before the name")]
#[test_case("Content-Length: 6\r\nTransfer-Encoding:\r\n chunked\r\n" ; "folded")]
#[test_case("Transfer-Encoding: chunked\r\nContent-Length:\r\n 6\r\n" ; "folded length")]
#[test_case("Transfer-Encoding: chunked\nContent-Length: 6\n" ; "line feeds alone")]
#[test_case("Content-Length: 6\nTransfer-Encoding: chunked\n" ; "line feeds alone with the length first")]
#[test_case("Content-Length: 6\r\nContent-Length: 5\r\n" ; "two lengths")]
#[test_case("Content-Length: 6, 5\r\n" ; "two lengths in a line")]
#[test_case("Content-Length: +6\r\n" ; "signed")]
#[test_case("Transfer-Encoding: gzip, chunked\r\n" ; "another coding before")]
#[test_case("Transfer-Encoding: chunked, gzip\r\n" ; "another coding behind")]
#[test_case("Transfer-Encoding: chunked, chunked\r\n" ; "chunked twice")]
#[test_case("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n" ; "chunked in two lines")]
#[test_case("Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n" ; "two codings in two lines")]
#[test_case("Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n" ; "identity in a second line")]
#[test_case("Transfer-Encoding: identity\r\n" ; "identity")]
#[test_case("Transfer-Encoding: identity\r\nContent-Length: 6\r\n" ; "identity and a length")]
#[test_case("Transfer-Encoding: xchunked\r\n" ; "a longer word")]
#[test_case("Transfer-Encoding: \"chunked\"\r\n" ; "quoted")]
#[test_case("Transfer-Encoding: \u{b}chunked\r\n" ; "a control character")]
#[test_case("Transfer-Encoding: , chunked\r\n" ; "an empty element")]
#[test_case("Transfer-Encoding: chunked;q=1\r\n" ; "a parameter")]
#[test_case("Transfer-Encoding:\r\n" ; "no coding")]
fn ambiguous_framing_is_rejected(framing: &str) {
    let (server, program) = started();
    let hidden = request("pay", 8, 1, PATIENT);
    let bodies = [
        "a body".to_owned(),
        "0\r\n\r\n".to_owned(),
        format!("{:x}\r\n{hidden}\r\n0\r\n\r\n", hidden.len()),
    ];
    for body in bodies {
        let mut client = RawClient::connect(&program);
        let text = framed_request("pay", 7, framing, &body) + &hidden;
        assert_eq!(client.call(text.as_bytes()), Some(400), "{body:?}");
        assert_eq!(client.status(), None, "{body:?}");
    }
    // The same in two pieces, the head alone first: the rejection does not wait for the body.
    let mut client = RawClient::connect(&program);
    assert_eq!(
        client.call(framed_request("pay", 7, framing, "").as_bytes()),
        Some(400)
    );
    client.send(hidden.as_bytes());
    assert_eq!(client.status(), None);
    assert!(server.requests.try_recv().is_err());
}

/// The call by which the platform asks whether requests are accepted is no way around the check.
#[test_case("Content-Length: 6\r\nTransfer-Encoding: chunked\r\n" ; "length first")]
#[test_case("Transfer-Encoding: chunked\r\nContent-Length: 6\r\n" ; "chunked first")]
#[test_case("Transfer-Encoding: gzip, chunked\r\n" ; "another coding before")]
fn ambiguous_framing_of_an_up_call_is_rejected(framing: &str) {
    let (server, program) = started();
    let mut client = RawClient::connect(&program);
    let text = format!("GET /up HTTP/1.1\r\nHost: svc\r\n{framing}\r\n0\r\n\r\n");
    assert_eq!(
        client.call((text + &request("pay", 8, 1, PATIENT)).as_bytes()),
        Some(400)
    );
    assert_eq!(client.status(), None);
    assert!(server.requests.try_recv().is_err());
}

#[test]
fn chunked_request_of_http_1_0_is_rejected() {
    let (server, program) = started();
    let mut client = RawClient::connect(&program);
    let text =
        chunked("pay", 7, "0\r\n\r\n").replace("HTTP/1.1", "HTTP/1.0\r\nConnection: keep-alive");
    assert_eq!(
        client.call((text + &request("pay", 8, 1, PATIENT)).as_bytes()),
        Some(400)
    );
    assert_eq!(client.status(), None);
    assert!(server.requests.try_recv().is_err());
}

/// The second head shows a length or a coding that is not the first one's: each request is framed by its own head.
#[test]
fn pipelined_requests_are_each_framed_by_their_own_head() {
    let (server, program) = started();
    let mut client = RawClient::connect(&program);
    let like_a_head = "Content-Length: 3\r\n\r\nContent-Length: 4";
    let framed = format!("{:x}\r\n{like_a_head}\r\n0\r\n\r\n", like_a_head.len());
    let texts = [
        (framed_request("pay", 1, LENGTH, "a body"), "a body"),
        (chunked("pay", 2, "6\r\na body\r\n0\r\n\r\n"), "a body"),
        (chunked("put", 3, &framed), like_a_head),
        (chunked("pay", 4, "0\r\nContent-Length: 3\r\n\r\n"), ""),
        (chunked("pay", 5, "5\r\nagain\r\n0\r\n\r\n"), "again"),
        (framed_request("pay", 6, LENGTH, "a body"), "a body"),
    ];
    client.send(
        texts
            .iter()
            .map(|(text, _)| text.as_str())
            .collect::<String>()
            .as_bytes(),
    );
    for (_, body) in texts {
        assert_eq!(client.status(), Some(200));
        assert_body(&server.next_request(), body);
    }
}

/// A pipelined request that has both is detected by its own head, and by nothing before it.
#[test]
fn ambiguous_framing_behind_valid_requests_is_rejected() {
    let (server, program) = started();
    let mut client = RawClient::connect(&program);
    let sound = [
        framed_request("pay", 1, LENGTH, "a body"),
        chunked("pay", 2, "6\r\na body\r\n0\r\n\r\n"),
    ];
    let both = framed_request(
        "pay",
        3,
        "Transfer-Encoding: chunked\r\nContent-Length: 6\r\n",
        "0\r\n\r\n",
    );
    client.send((sound.concat() + &both + &request("pay", 8, 1, PATIENT)).as_bytes());
    assert_eq!((client.status(), client.status()), (Some(200), Some(200)));
    assert_eq!((client.status(), client.status()), (Some(400), None));
    assert_eq!(server.requests.try_iter().count(), 2);
}

/// Of a body framed by its length, what lies between the last blank line and the next head counts as that head's. Where it
/// looks like a length, a chunked request behind it is rejected: more than need be, and the client may send it again.
#[test]
fn chunked_request_behind_a_body_like_a_length_is_rejected() {
    let (server, program) = started();
    let mut client = RawClient::connect(&program);
    let body = "x\r\nContent-Length: 3\r\n";
    let framing = format!("Content-Length: {}\r\n", body.len());
    let first = framed_request("pay", 1, &framing, body);
    client.send((first + &chunked("pay", 2, "0\r\n\r\n")).as_bytes());
    assert_eq!(
        (client.status(), client.status(), client.status()),
        (Some(200), Some(400), None)
    );
    assert_eq!(server.requests.try_iter().count(), 1);
}

#[test_case("0\r\n\r\n" => Some(200) ; "empty")]
#[test_case("1\r\nx\r\n0\r\n\r\n" => Some(400) ; "not empty")]
fn chunked_idempotent_request_is_served_only_without_a_body(framed: &str) -> Option<u16> {
    let (server, program) = started();
    let mut client = RawClient::connect(&program);
    let status = client.call(chunked("look", 1, framed).as_bytes());
    let seen = server.requests.try_iter().next();
    assert_eq!(seen.is_some(), status == Some(200));
    if let Some(seen) = seen {
        assert_eq!(
            (seen.header("transfer-encoding"), seen.body.as_str()),
            (None, "")
        );
    }
    status
}

/// A client that expects `100 Continue` before its body gets it.
#[test]
fn chunked_body_with_expect_continue_is_served() {
    let (server, program) = started();
    let mut client = RawClient::connect(&program);
    let text = framed_request("pay", 1, &format!("Expect: 100-continue\r\n{CHUNKED}"), "");
    assert_eq!(client.call(text.as_bytes()), Some(100));
    assert_eq!(client.call(b"6\r\na body\r\n0\r\n\r\n"), Some(200));
    assert_body(&server.next_request(), "a body");
}
