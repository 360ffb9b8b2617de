//! Request bodies in the framings that HTTP/1.1 allows and in invalid ones, written as raw bytes.

use merlinreel_testkit::*;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, TcpStream};
use test_case::test_case;

const LENGTH_HEADER: &str = "Content-Length: 6\r\n";
const CHUNKED_HEADER: &str = "Transfer-Encoding: chunked\r\n";
/// Value of `X-Remaining` in each request.
const REMAINING_TIME: &str = "3000m";
/// Maximum length of a request body that the limiter accepts.
const MAX_BODY_BYTES: usize = 64 * 1024;

/// A client connection that sends each write at once (`TCP_NODELAY`).
struct RawClient {
    writer: TcpStream,
    reader: BufReader<TcpStream>,
}

impl RawClient {
    fn connect(program: &Program) -> RawClient {
        let writer = TcpStream::connect(program.address).expect("a connection");
        writer.set_nodelay(true).expect("TCP_NODELAY is set");
        writer
            .set_read_timeout(Some(TEST_TIMEOUT))
            .expect("the read timeout is set");
        RawClient {
            reader: BufReader::new(writer.try_clone().expect("a second handle")),
            writer,
        }
    }

    fn send(&mut self, bytes: &[u8]) {
        // If the limiter has closed the connection, the missing response shows it.
        let _ = self.writer.write_all(bytes);
    }

    /// Reads the next response completely and returns its status; `None` if the connection has ended.
    fn receive_status(&mut self) -> Option<u16> {
        let mut status_line = String::new();
        if self
            .reader
            .read_line(&mut status_line)
            .expect("a response or the end")
            == 0
        {
            return None;
        }
        let mut length = 0;
        loop {
            let mut line = String::new();
            self.reader.read_line(&mut line).expect("a head");
            let Some((name, value)) = line.trim_end().split_once(": ") else {
                break;
            };
            if name.eq_ignore_ascii_case("content-length") {
                length = value.parse().expect("a length");
            }
        }
        self.reader
            .read_exact(&mut vec![0; length])
            .expect("a body");
        status_line
            .split(' ')
            .nth(1)
            .and_then(|code| code.parse().ok())
    }

    fn call(&mut self, bytes: &[u8]) -> Option<u16> {
        self.send(bytes);
        self.receive_status()
    }
}

/// The text of a request with the headers of `framing` and with `body`, both as given.
fn framed_request(class: &str, customer: u32, framing: &str, body: &str) -> String {
    let text = request(class, customer, 1, REMAINING_TIME);
    let (head, _) = text.split_once("\r\n\r\n").expect("a head");
    // Drops the `Content-Length` header of the test kit's request.
    let lines: Vec<&str> = head
        .split("\r\n")
        .filter(|line| !line.starts_with("Content-Length"))
        .collect();
    format!("{}\r\n{framing}\r\n{body}", lines.join("\r\n"))
}

/// The text of a chunked request; `body` contains its encoded chunks and trailers.
fn chunked_request(class: &str, customer: u32, body: &str) -> String {
    framed_request(class, customer, CHUNKED_HEADER, body)
}

/// Starts a server that responds with status 200 to every request, and a limiter in front of it.
fn start_server_and_limiter() -> (ScriptedServer, Program) {
    let server = ScriptedServer::start(|_| ok_response());
    let program = Program::start(&config(&[instance("s-1", server.address, "up")]));
    (server, program)
}

/// Asserts that the server received exactly `body`, framed by `Content-Length` alone or, if empty, without a framing
/// header.
fn assert_body(received: &Message, body: &str) {
    let lengths: Vec<&str> = received
        .headers
        .iter()
        .filter(|(name, _)| name.eq_ignore_ascii_case("content-length"))
        .map(|(_, value)| value.as_str())
        .collect();
    // A request without `Content-Length` has no body.
    let announced = if lengths.is_empty() {
        vec!["0"]
    } else {
        lengths
    };
    assert_eq!(announced, [body.len().to_string()]);
    assert_eq!(
        (
            received.header("transfer-encoding"),
            received.header("trailer")
        ),
        (None, None)
    );
    assert_eq!(received.body, body);
}

/// All valid chunk encodings are decoded correctly and leave the connection usable for the next request, for both kinds of
/// class with a body.
#[test_case("6\r\na body\r\n0\r\n\r\n", "a body" ; "one chunk")]
#[test_case("1\r\na\r\n1\r\n \r\n4\r\nbody\r\n0\r\n\r\n", "a body" ; "several chunks")]
#[test_case("0006\r\na body\r\n000\r\n\r\n", "a body" ; "leading zeros in the sizes")]
#[test_case("6;name=value;other=\"a;b\"\r\na body\r\n0;last\r\n\r\n", "a body" ; "chunk extensions")]
#[test_case("6 \t\r\na body\r\n0\r\n\r\n", "a body" ; "space after the size")]
#[test_case("6\r\na body\r\n0\r\nX-Sum: 5c\r\nContent-Length: 3\r\n\r\n", "a body" ; "trailers")]
#[test_case("1A\r\nabcdefghijklmnopqrstuvwxyz\r\n0\r\n\r\n", "abcdefghijklmnopqrstuvwxyz" ; "upper-case size")]
#[test_case("1a\r\nabcdefghijklmnopqrstuvwxyz\r\n0\r\n\r\n", "abcdefghijklmnopqrstuvwxyz" ; "lower-case size")]
#[test_case("19\r\n\r\n\r\nContent-Length: 3\r\n\r\n\r\n0\r\n\r\n", "\r\n\r\nContent-Length: 3\r\n\r\n" ; "body that looks like a head")]
#[test_case("0\r\n\r\n", "" ; "empty body")]
fn chunked_body_reaches_the_server_complete(encoded_body: &str, body: &str) {
    let (server, program) = start_server_and_limiter();
    let mut client = RawClient::connect(&program);
    for (customer, class) in ["put", "pay"].into_iter().enumerate() {
        let text = chunked_request(class, customer as u32, encoded_body);
        assert_eq!(client.call(text.as_bytes()), Some(200), "{class}");
        assert_body(&server.next_request(), body);
        let next = request(class, 7, 1, REMAINING_TIME);
        assert_eq!(client.call(next.as_bytes()), Some(200), "the next request");
        assert_body(&server.next_request(), "a body");
    }
    assert!(server.requests.try_recv().is_err());
}

#[test]
fn chunked_request_sent_byte_by_byte_is_served() {
    let (server, program) = start_server_and_limiter();
    let mut client = RawClient::connect(&program);
    for customer in 0..3 {
        let text = chunked_request(
            "pay",
            customer,
            "3;x\r\na b\r\n3\r\nody\r\n0\r\nX-Sum: 5c\r\n\r\n",
        );
        text.as_bytes().chunks(1).for_each(|byte| client.send(byte));
        assert_eq!(client.receive_status(), Some(200));
        assert_body(&server.next_request(), "a body");
    }
}

/// A chunked request is decoded correctly wherever its bytes are split: it is sent in two parts, split at each position in
/// turn, on one connection.
#[test]
fn chunked_request_split_anywhere_is_served() {
    let (server, program) = start_server_and_limiter();
    let mut client = RawClient::connect(&program);
    let length = chunked_request("pay", 0, "6\r\na body\r\n0\r\n\r\n").len();
    for split in 0..=length {
        let text = chunked_request("pay", split as u32, "6\r\na body\r\n0\r\n\r\n");
        let (first, second) = text.as_bytes().split_at(split);
        client.send(first);
        std::thread::yield_now();
        assert_eq!(client.call(second), Some(200), "split at {split}");
        assert_body(&server.next_request(), "a body");
    }
}

#[test]
fn chunked_body_of_the_maximum_length_is_served() {
    let (server, program) = start_server_and_limiter();
    let mut client = RawClient::connect(&program);
    let body: String = ('a'..='z').cycle().take(MAX_BODY_BYTES).collect();
    for chunk_size in [1, 7, 4096, MAX_BODY_BYTES] {
        let chunks = body
            .as_bytes()
            .chunks(chunk_size)
            .map(|chunk| String::from_utf8_lossy(chunk));
        let encoded_body: String = chunks
            .map(|chunk| format!("{:x}\r\n{chunk}\r\n", chunk.len()))
            .collect();
        assert_eq!(
            client.call(chunked_request("pay", 1, &(encoded_body + "0\r\n\r\n")).as_bytes()),
            Some(200),
            "{chunk_size}"
        );
        assert_body(&server.next_request(), &body);
    }
}

#[test_case(MAX_BODY_BYTES + 1, 1 ; "one byte over, in one-byte chunks")]
#[test_case(MAX_BODY_BYTES + 1, MAX_BODY_BYTES + 1 ; "one byte over, in one chunk")]
#[test_case(2 * MAX_BODY_BYTES, 4096 ; "twice the maximum length")]
fn chunked_body_over_the_maximum_length_is_rejected_with_413(length: usize, chunk_size: usize) {
    let (server, program) = start_server_and_limiter();
    let body = "x".repeat(length);
    let chunks = body
        .as_bytes()
        .chunks(chunk_size)
        .map(|chunk| String::from_utf8_lossy(chunk));
    let encoded_body: String = chunks
        .map(|chunk| format!("{:x}\r\n{chunk}\r\n", chunk.len()))
        .collect();
    let mut client = RawClient::connect(&program);
    assert_eq!(
        client.call(chunked_request("pay", 1, &(encoded_body + "0\r\n\r\n")).as_bytes()),
        Some(413)
    );
    assert_eq!(client.receive_status(), None);
    assert!(server.requests.try_recv().is_err());
}

#[test_case("6\r\na bo" ; "partial chunk")]
#[test_case("6\r\na body\r\n" ; "no last chunk")]
#[test_case("6\r\na body\r\n0\r\nX-Sum: 5c\r\n" ; "incomplete trailers")]
fn incomplete_chunked_body_is_rejected_with_408(encoded_body: &str) {
    let (server, program) = start_server_and_limiter();
    let mut client = RawClient::connect(&program);
    let text = chunked_request("pay", 1, encoded_body).replace(REMAINING_TIME, "50m");
    assert_eq!(client.call(text.as_bytes()), Some(408));
    assert_eq!(client.receive_status(), None);
    assert!(server.requests.try_recv().is_err());
}

/// A partial body is not forwarded: the client shuts down its sending direction within the body, and then gets status 400
/// or the connection is closed.
#[test]
fn truncated_chunked_body_is_not_forwarded() {
    let (server, program) = start_server_and_limiter();
    let mut client = RawClient::connect(&program);
    client.send(chunked_request("pay", 1, "6\r\na bo").as_bytes());
    client
        .writer
        .shutdown(Shutdown::Write)
        .expect("the sending direction is shut down");
    assert!(matches!(client.receive_status(), None | Some(400)));
    assert_eq!(client.receive_status(), None);
    assert!(server.requests.try_recv().is_err());
}

#[test_case("g\r\na body\r\n0\r\n\r\n" ; "not a hexadecimal digit")]
#[test_case("\r\na body\r\n0\r\n\r\n" ; "no size")]
#[test_case("-6\r\na body\r\n0\r\n\r\n" ; "negative size")]
#[test_case("0x6\r\na body\r\n0\r\n\r\n" ; "base prefix")]
#[test_case("6 6\r\na body\r\n0\r\n\r\n" ; "two sizes")]
#[test_case("10000000000000006\r\na body\r\n0\r\n\r\n" ; "over 64 bits")]
#[test_case("6\na body\n0\n\n" ; "line feeds without carriage returns")]
#[test_case("5\r\na body\r\n0\r\n\r\n" ; "size below the data's length")]
#[test_case("6;a\nb\r\na body\r\n0\r\n\r\n" ; "line feed in an extension")]
fn malformed_chunk_closes_the_connection(encoded_body: &str) {
    let (server, program) = start_server_and_limiter();
    let mut client = RawClient::connect(&program);
    let text = chunked_request("pay", 1, encoded_body) + &request("pay", 2, 1, REMAINING_TIME);
    assert_eq!(client.call(text.as_bytes()), Some(400));
    assert_eq!(client.receive_status(), None);
    assert!(server.requests.try_recv().is_err());
}

/// A request with ambiguous framing is rejected, and nothing after it is read. Two readers may disagree on where its body
/// ends, so that it can hide another request (request smuggling). As the two readings end at different positions, each
/// framing is sent with a body for each reading, and with a hidden request as a chunk.
#[test_case("Content-Length: 6\r\nTransfer-Encoding: chunked\r\n" ; "length first")]
#[test_case("Transfer-Encoding: chunked\r\nContent-Length: 6\r\n" ; "chunked first")]
#[test_case("tRANSFER-eNCODING: cHUNKED\r\ncONTENT-lENGTH:6\r\n" ; "mixed case")]
#[test_case("cONTENT-lENGTH:6\r\ntRANSFER-eNCODING:cHUNKED\r\n" ; "mixed case with the length first")]
#[test_case("Transfer-Encoding: chunked\r\nX-Between: 1\r\nContent-Length: 0\r\n" ; "length zero")]
#[test_case("Transfer-Encoding: chunked\r\nContent-Length: many\r\n" ; "length is not a number")]
#[test_case("Transfer-Encoding: chunked\r\nContent-Length:\r\n" ; "empty length")]
#[test_case("Content-Length: 6\r\nTransfer-Encoding: chunked\r\nContent-Length: 6\r\n" ; "chunked between two lengths")]
#[test_case("Transfer-Encoding: chunked\r\nContent-Length : 6\r\n" ; "space before the colon of Content-Length")]
#[test_case("Content-Length: 6\r\nTransfer-Encoding : chunked\r\n" ; "space before the colon of Transfer-Encoding")]
#[test_case("Transfer-Encoding: chunked\r\n Content-Length: 6\r\n" ; "space before the header name")]
#[test_case("Content-Length: 6\r\nTransfer-Encoding:\r\n chunked\r\n" ; "folded coding")]
#[test_case("Transfer-Encoding: chunked\r\nContent-Length:\r\n 6\r\n" ; "folded length")]
#[test_case("Transfer-Encoding: chunked\nContent-Length: 6\n" ; "line feeds without carriage returns")]
#[test_case("Content-Length: 6\nTransfer-Encoding: chunked\n" ; "line feeds without carriage returns and length first")]
#[test_case("Content-Length: 6\r\nContent-Length: 5\r\n" ; "two lengths")]
#[test_case("Content-Length: 6, 5\r\n" ; "two lengths in one header")]
#[test_case("Content-Length: +6\r\n" ; "signed length")]
#[test_case("Transfer-Encoding: gzip, chunked\r\n" ; "another coding before chunked")]
#[test_case("Transfer-Encoding: chunked, gzip\r\n" ; "another coding after chunked")]
#[test_case("Transfer-Encoding: chunked, chunked\r\n" ; "chunked twice")]
#[test_case("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n" ; "chunked in two headers")]
#[test_case("Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n" ; "two codings in two headers")]
#[test_case("Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n" ; "identity in a second header")]
#[test_case("Transfer-Encoding: identity\r\n" ; "identity coding")]
#[test_case("Transfer-Encoding: identity\r\nContent-Length: 6\r\n" ; "identity and a length")]
#[test_case("Transfer-Encoding: xchunked\r\n" ; "coding that ends in chunked")]
#[test_case("Transfer-Encoding: \"chunked\"\r\n" ; "quoted coding")]
#[test_case("Transfer-Encoding: \u{b}chunked\r\n" ; "control character")]
#[test_case("Transfer-Encoding: , chunked\r\n" ; "empty list element")]
#[test_case("Transfer-Encoding: chunked;q=1\r\n" ; "coding with a parameter")]
#[test_case("Transfer-Encoding:\r\n" ; "no coding")]
fn ambiguous_framing_is_rejected(framing: &str) {
    let (server, program) = start_server_and_limiter();
    let hidden = request("pay", 8, 1, REMAINING_TIME);
    let bodies = [
        "a body".to_owned(),
        "0\r\n\r\n".to_owned(),
        format!("{:x}\r\n{hidden}\r\n0\r\n\r\n", hidden.len()),
    ];
    for body in bodies {
        let mut client = RawClient::connect(&program);
        let text = framed_request("pay", 7, framing, &body) + &hidden;
        assert_eq!(client.call(text.as_bytes()), Some(400), "{body:?}");
        assert_eq!(client.receive_status(), None, "{body:?}");
    }
    // The head is sent alone here: it must be rejected without waiting for the body.
    let mut client = RawClient::connect(&program);
    assert_eq!(
        client.call(framed_request("pay", 7, framing, "").as_bytes()),
        Some(400)
    );
    client.send(hidden.as_bytes());
    assert_eq!(client.receive_status(), None);
    assert!(server.requests.try_recv().is_err());
}

/// Ambiguous framing is rejected in a readiness call (`/up`) too: the call must not bypass the framing check.
#[test_case("Content-Length: 6\r\nTransfer-Encoding: chunked\r\n" ; "length first")]
#[test_case("Transfer-Encoding: chunked\r\nContent-Length: 6\r\n" ; "chunked first")]
#[test_case("Transfer-Encoding: gzip, chunked\r\n" ; "another coding before chunked")]
fn ambiguous_framing_of_a_readiness_call_is_rejected(framing: &str) {
    let (server, program) = start_server_and_limiter();
    let mut client = RawClient::connect(&program);
    let text = format!("GET /up HTTP/1.1\r\nHost: svc\r\n{framing}\r\n0\r\n\r\n");
    assert_eq!(
        client.call((text + &request("pay", 8, 1, REMAINING_TIME)).as_bytes()),
        Some(400)
    );
    assert_eq!(client.receive_status(), None);
    assert!(server.requests.try_recv().is_err());
}

#[test]
fn chunked_http_1_0_request_is_rejected() {
    let (server, program) = start_server_and_limiter();
    let mut client = RawClient::connect(&program);
    let text = chunked_request("pay", 7, "0\r\n\r\n")
        .replace("HTTP/1.1", "HTTP/1.0\r\nConnection: keep-alive");
    assert_eq!(
        client.call((text + &request("pay", 8, 1, REMAINING_TIME)).as_bytes()),
        Some(400)
    );
    assert_eq!(client.receive_status(), None);
    assert!(server.requests.try_recv().is_err());
}

/// Each pipelined request is framed by its own head, not by that of another. Consecutive heads differ in length and coding,
/// and some bodies and trailers contain a `Content-Length` line.
#[test]
fn pipelined_requests_are_each_framed_by_their_own_head() {
    let (server, program) = start_server_and_limiter();
    let mut client = RawClient::connect(&program);
    let body_like_a_head = "Content-Length: 3\r\n\r\nContent-Length: 4";
    let encoded_body = format!(
        "{:x}\r\n{body_like_a_head}\r\n0\r\n\r\n",
        body_like_a_head.len()
    );
    let requests = [
        (framed_request("pay", 1, LENGTH_HEADER, "a body"), "a body"),
        (
            chunked_request("pay", 2, "6\r\na body\r\n0\r\n\r\n"),
            "a body",
        ),
        (chunked_request("put", 3, &encoded_body), body_like_a_head),
        (
            chunked_request("pay", 4, "0\r\nContent-Length: 3\r\n\r\n"),
            "",
        ),
        (
            chunked_request("pay", 5, "5\r\nagain\r\n0\r\n\r\n"),
            "again",
        ),
        (framed_request("pay", 6, LENGTH_HEADER, "a body"), "a body"),
    ];
    client.send(
        requests
            .iter()
            .map(|(text, _)| text.as_str())
            .collect::<String>()
            .as_bytes(),
    );
    for (_, body) in requests {
        assert_eq!(client.receive_status(), Some(200));
        assert_body(&server.next_request(), body);
    }
}

/// Ambiguous framing is detected behind valid pipelined requests, and these are served.
#[test]
fn ambiguous_framing_after_valid_requests_is_rejected() {
    let (server, program) = start_server_and_limiter();
    let mut client = RawClient::connect(&program);
    let valid_requests = [
        framed_request("pay", 1, LENGTH_HEADER, "a body"),
        chunked_request("pay", 2, "6\r\na body\r\n0\r\n\r\n"),
    ];
    let ambiguous_request = framed_request(
        "pay",
        3,
        "Transfer-Encoding: chunked\r\nContent-Length: 6\r\n",
        "0\r\n\r\n",
    );
    client.send(
        (valid_requests.concat() + &ambiguous_request + &request("pay", 8, 1, REMAINING_TIME))
            .as_bytes(),
    );
    assert_eq!(
        (client.receive_status(), client.receive_status()),
        (Some(200), Some(200))
    );
    assert_eq!(
        (client.receive_status(), client.receive_status()),
        (Some(400), None)
    );
    assert_eq!(server.requests.try_iter().count(), 2);
}

/// A valid chunked request is rejected if the `Content-Length` body before it ends in what looks like a `Content-Length`
/// header: the framing check counts the part of such a body after its last blank line as part of the next head. The client
/// may send the request again.
#[test]
fn chunked_request_after_a_body_that_looks_like_a_length_is_rejected() {
    let (server, program) = start_server_and_limiter();
    let mut client = RawClient::connect(&program);
    let body = "x\r\nContent-Length: 3\r\n";
    let framing = format!("Content-Length: {}\r\n", body.len());
    let first = framed_request("pay", 1, &framing, body);
    client.send((first + &chunked_request("pay", 2, "0\r\n\r\n")).as_bytes());
    assert_eq!(
        (
            client.receive_status(),
            client.receive_status(),
            client.receive_status()
        ),
        (Some(200), Some(400), None)
    );
    assert_eq!(server.requests.try_iter().count(), 1);
}

#[test_case("0\r\n\r\n" => Some(200) ; "empty body")]
#[test_case("1\r\nx\r\n0\r\n\r\n" => Some(400) ; "one byte")]
fn chunked_idempotent_request_is_served_only_without_a_body(encoded_body: &str) -> Option<u16> {
    let (server, program) = start_server_and_limiter();
    let mut client = RawClient::connect(&program);
    let status = client.call(chunked_request("look", 1, encoded_body).as_bytes());
    let received = server.requests.try_iter().next();
    assert_eq!(received.is_some(), status == Some(200));
    if let Some(received) = received {
        assert_eq!(
            (received.header("transfer-encoding"), received.body.as_str()),
            (None, "")
        );
    }
    status
}

/// A client that expects `100 Continue` before it sends its chunked body gets it. Otherwise it would wait in vain.
#[test]
fn chunked_body_with_expect_continue_is_served() {
    let (server, program) = start_server_and_limiter();
    let mut client = RawClient::connect(&program);
    let text = framed_request(
        "pay",
        1,
        &format!("Expect: 100-continue\r\n{CHUNKED_HEADER}"),
        "",
    );
    assert_eq!(client.call(text.as_bytes()), Some(100));
    assert_eq!(client.call(b"6\r\na body\r\n0\r\n\r\n"), Some(200));
    assert_body(&server.next_request(), "a body");
}
