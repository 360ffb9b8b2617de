//! Texts of servers' responses in each framing, and the request classes of the test configuration.

/// Length of a chunk.
const CHUNK_BYTES: usize = 4096;

/// The request classes of [`config`], by idempotency.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
    Idempotent,
    IdempotencyKey,
    NonIdempotent,
}

impl Class {
    pub fn name(self) -> &'static str {
        match self {
            Class::Idempotent => "look",
            Class::IdempotencyKey => "put",
            Class::NonIdempotent => "pay",
        }
    }
}

/// How the end of a response's body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    Length,
    Chunked,
    UntilClose,
}

impl Framing {
    /// The head of a successful response with a body of this length.
    pub fn head(self, length: usize) -> String {
        let header = match self {
            Framing::Length => format!("Content-Length: {length}\r\n"),
            Framing::Chunked => "Transfer-Encoding: chunked\r\n".to_owned(),
            Framing::UntilClose => String::new(),
        };
        format!("HTTP/1.1 200 OK\r\nX-Kind: blue\r\n{header}\r\n")
    }

    /// A complete successful response, except for the close of its connection.
    pub fn response(self, body: &str) -> String {
        let head = self.head(body.len());
        match self {
            Framing::Length | Framing::UntilClose => head + body,
            Framing::Chunked => head + &chunks(body) + "0\r\n\r\n",
        }
    }

    /// The head and the first `part_bytes` bytes of the body, encoded.
    pub fn partial_response(self, body: &str, part_bytes: usize) -> String {
        let head = self.head(body.len());
        match self {
            Framing::Length | Framing::UntilClose => head + &body[..part_bytes],
            Framing::Chunked => head + &chunks(&body[..part_bytes]),
        }
    }
}

/// Encodes a body as chunks, without the last chunk, which has size 0.
pub fn chunks(body: &str) -> String {
    let chunks = body
        .as_bytes()
        .chunks(CHUNK_BYTES)
        .map(String::from_utf8_lossy);
    chunks
        .map(|chunk| format!("{:x}\r\n{chunk}\r\n", chunk.len()))
        .collect()
}

/// A body without repetitions, so that a lost or duplicated part is detected.
pub fn long_body(length: usize) -> String {
    let mut body: String = (0..=length / 8)
        .map(|number| format!("{number:07} "))
        .collect();
    body.truncate(length);
    body
}
