//! Reads HTTP/1.1 messages for stubs and clients, in all framings: `Content-Length`, chunked, and delimited by the close of
//! the connection. Distinguishes truncated messages from complete ones.

use std::io::{self, BufRead, ErrorKind, Read};
use thiserror::Error;

/// Beginning of a status line, which distinguishes a response from a request.
const STATUS_LINE: &str = "HTTP/";
/// Base of chunk sizes.
const HEXADECIMAL: u32 = 16;

/// A complete or truncated HTTP/1.1 request or response.
#[derive(Clone, Debug)]
pub struct Message {
    /// The request line or the status line, without CRLF.
    pub start_line: String,
    /// Names, in their original case, and trimmed values, in the order of the message. Without trailers.
    pub headers: Vec<(String, String)>,
    /// The decoded body, with invalid UTF-8 replaced. Empty if there is none.
    pub body: String,
    /// The number of the connection that the message arrived on. A [`crate::ScriptedServer`] counts connections from 0; all
    /// other readers store 0.
    pub connection: usize,
}

impl Message {
    /// The value of the first header with this name, ignoring case; `None` if there is none.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(key, _)| key.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    /// The status code; 0 if the start line has none.
    pub fn status(&self) -> u16 {
        self.start_line
            .split(' ')
            .nth(1)
            .and_then(|code| code.parse().ok())
            .unwrap_or(0)
    }

    /// Whether the status allows no body, whatever the headers say.
    fn is_without_body(&self) -> bool {
        matches!(self.status(), 100..200 | 204 | 304)
    }
}

/// Why a complete message could not be read.
#[derive(Debug, Error)]
pub enum ReadError {
    /// The connection ended within the body. The message's body holds the part that was read.
    #[error("`{}` was truncated after {} bytes of its body", .0.start_line, .0.body.len())]
    Incomplete(Message),
    /// The connection ended within the head, a read failed or timed out, or the message is malformed.
    #[error(transparent)]
    Io(#[from] io::Error),
}

impl From<ReadError> for io::Error {
    fn from(error: ReadError) -> io::Error {
        match error {
            ReadError::Incomplete(_) => io::Error::new(ErrorKind::UnexpectedEof, error),
            ReadError::Io(error) => error,
        }
    }
}

/// How the end of a message's body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Framing {
    /// By a length in bytes; 0 for a message without a body.
    Length(u64),
    /// By the last chunk and the trailers.
    Chunked,
    /// By the close of the connection.
    UntilClose,
}

impl Framing {
    fn of(message: &Message) -> io::Result<Framing> {
        if message
            .header("transfer-encoding")
            .is_some_and(|coding| coding.eq_ignore_ascii_case("chunked"))
        {
            return Ok(Framing::Chunked);
        }
        match message.header("content-length") {
            Some(text) => text
                .parse()
                .map(Framing::Length)
                .map_err(|_| malformed("`Content-Length` is not a valid number")),
            None if message.start_line.starts_with(STATUS_LINE) && !message.is_without_body() => {
                Ok(Framing::UntilClose)
            }
            None => Ok(Framing::Length(0)),
        }
    }

    /// Reads the body. If it fails, `body` holds the part that was read.
    fn read_body(self, from: &mut impl BufRead, body: &mut Vec<u8>) -> io::Result<()> {
        match self {
            Framing::Length(length) => read_exactly(from, length, body),
            Framing::Chunked => read_chunks(from, body),
            Framing::UntilClose => from.read_to_end(body).map(drop),
        }
    }
}

/// Reads the next message. `None` if the connection ended before it began. `connection` is the number to store in the
/// message.
///
/// # Errors
/// The message was truncated or malformed, or a read failed or timed out.
pub fn read(from: &mut impl BufRead, connection: usize) -> Result<Option<Message>, ReadError> {
    if has_ended(from)? {
        return Ok(None);
    }
    let start_line = read_line(from)?;
    let headers = read_headers(from)?;
    let mut message = Message {
        start_line,
        headers,
        body: String::new(),
        connection,
    };
    let mut body = Vec::new();
    let outcome = Framing::of(&message)?.read_body(from, &mut body);
    message.body = String::from_utf8_lossy(&body).into_owned();
    match outcome {
        Ok(()) => Ok(Some(message)),
        Err(error) if is_connection_end(&error) => Err(ReadError::Incomplete(message)),
        Err(error) => Err(ReadError::Io(error)),
    }
}

/// Whether the connection ends without any more bytes. Retries interrupted reads itself, as `fill_buf` does not, unlike the
/// other reads here.
fn has_ended(from: &mut impl BufRead) -> io::Result<bool> {
    loop {
        match from.fill_buf() {
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            filled => return filled.map(<[u8]>::is_empty),
        }
    }
}

fn read_headers(from: &mut impl BufRead) -> io::Result<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let line = read_line(from)?;
        if line.is_empty() {
            return Ok(headers);
        }
        let (name, value) = line
            .split_once(':')
            .ok_or_else(|| malformed("header line without a colon"))?;
        headers.push((name.to_owned(), value.trim().to_owned()));
    }
}

/// Whether the error means that the connection ended, in an orderly way or by a reset, and not, for example, a timeout.
fn is_connection_end(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        ErrorKind::UnexpectedEof | ErrorKind::ConnectionReset
    )
}

fn read_exactly(from: &mut impl BufRead, length: u64, body: &mut Vec<u8>) -> io::Result<()> {
    let read = from.by_ref().take(length).read_to_end(body)?;
    if read as u64 == length {
        Ok(())
    } else {
        Err(ErrorKind::UnexpectedEof.into())
    }
}

fn read_chunks(from: &mut impl BufRead, body: &mut Vec<u8>) -> io::Result<()> {
    loop {
        let line = read_line(from)?;
        let digits = line.split(';').next().unwrap_or_default();
        let size = u64::from_str_radix(digits, HEXADECIMAL)
            .map_err(|_| malformed("chunk size is not a hexadecimal number"))?;
        if size == 0 {
            break;
        }
        read_exactly(from, size, body)?;
        if !read_line(from)?.is_empty() {
            return Err(malformed("chunk data is not followed by CRLF"));
        }
    }
    // Skip trailers up to the empty line.
    while !read_line(from)?.is_empty() {}
    Ok(())
}

/// Reads a line and removes its CRLF. A line that is truncated by the end of the connection is an error.
fn read_line(from: &mut impl BufRead) -> io::Result<String> {
    let mut line = String::new();
    from.read_line(&mut line)?;
    match line.strip_suffix("\r\n") {
        Some(content) => Ok(content.to_owned()),
        None if line.ends_with('\n') => Err(malformed("line ends with LF instead of CRLF")),
        None => Err(ErrorKind::UnexpectedEof.into()),
    }
}

fn malformed(reason: &str) -> io::Error {
    io::Error::new(
        ErrorKind::InvalidData,
        format!("malformed HTTP message: {reason}"),
    )
}

#[cfg(test)]
mod tests;
