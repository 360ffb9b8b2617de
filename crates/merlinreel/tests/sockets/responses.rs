//! Servers' responses in each framing, the request classes of the test configuration, and a configuration with long
//! deadlines.

use merlinreel_testkit::*;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// Maximum length of a body that the limiter buffers before it forwards the response.
pub const BUFFERED_BYTES: usize = 64 << 10;
/// Latency objective of the classes of [`patient_config`], and the remaining time of requests that wait for so long.
pub const PATIENT_TIMEOUT: Duration = Duration::from_secs(15);
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

/// Starts a server that reacts to the first request with `first_reaction`, and to later ones with complete responses that
/// have the body `later_body`.
pub fn react_to_first(
    later_body: &'static str,
    first_reaction: impl Fn() -> Reaction + Send + Sync + 'static,
) -> ScriptedServer {
    let answered = AtomicBool::new(false);
    ScriptedServer::start(move |_| {
        if answered.swap(true, Ordering::SeqCst) {
            response("200 OK", "", later_body)
        } else {
            first_reaction()
        }
    })
}

/// A configuration with such long deadlines and key lifetimes that a busy machine prevents no attempt.
pub fn patient_config(server: &ScriptedServer) -> serde_json::Value {
    let mut config = config(&[instance("s-1", server.address, "up")]);
    for class in config["settings"]["classes"]
        .as_array_mut()
        .expect("classes")
    {
        (class["promiseS"], class["hardLimitS"]) = (
            PATIENT_TIMEOUT.as_secs().into(),
            (PATIENT_TIMEOUT.as_secs() * 2).into(),
        );
    }
    config["settings"]["classes"][1]["keyTtlS"] = PATIENT_TIMEOUT.as_secs().into();
    config
}
