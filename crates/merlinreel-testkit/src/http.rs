//! Messages of HTTP/1.1 as stubs and clients read them, in each framing: `Content-Length`, chunked, and delimited by the
//! connection's close. Truncated messages are distinguished from complete ones.

use std::io::{self, BufRead, ErrorKind, Read};
use thiserror::Error;

const STATUS_LINE: &str = "HTTP/";
const HEXADECIMAL: u32 = 16;

/// A request or a response.
#[derive(Clone, Debug)]
pub struct Message {
    /// The request line or the status line.
    pub first: String,
    /// Names and values in the order of the message.
    pub headers: Vec<(String, String)>,
    /// The body, with invalid UTF-8 replaced.
    pub body: String,
    /// The number of the connection that it arrived on, from 0 on.
    pub connection: usize,
}

impl Message {
    /// The first header of that name, whatever its case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(key, _)| key.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    /// The status code; 0 where the first line has none.
    pub fn status(&self) -> u16 {
        self.first
            .split(' ')
            .nth(1)
            .and_then(|code| code.parse().ok())
            .unwrap_or(0)
    }

    /// Its status allows no body, whatever its headers say.
    fn is_without_body(&self) -> bool {
        matches!(self.status(), 100..200 | 204 | 304)
    }
}

/// Why there is no complete message.
#[derive(Debug, Error)]
pub enum ReadError {
    /// The connection ended within the body of the message, which holds what was read of it.
    #[error("`{}` was truncated after {} bytes of its body", .0.first, .0.body.len())]
    Incomplete(Message),
    /// The connection failed otherwise, or the message is malformed.
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

/// How a message's end is found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Framing {
    Length(u64),
    Chunked,
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
                .map_err(|_| malformed("a length")),
            None if message.first.starts_with(STATUS_LINE) && !message.is_without_body() => {
                Ok(Framing::UntilClose)
            }
            None => Ok(Framing::Length(0)),
        }
    }

    /// Reads the body; what was read before an error is in `body`.
    fn read_body(self, from: &mut impl BufRead, body: &mut Vec<u8>) -> io::Result<()> {
        match self {
            Framing::Length(length) => read_exactly(from, length, body),
            Framing::Chunked => read_chunks(from, body),
            Framing::UntilClose => from.read_to_end(body).map(drop),
        }
    }
}

/// The next message; none at the end of the connection.
pub fn read(from: &mut impl BufRead, connection: usize) -> Result<Option<Message>, ReadError> {
    if has_ended(from)? {
        return Ok(None);
    }
    let first = read_line(from)?;
    let headers = read_headers(from)?;
    let mut message = Message {
        first,
        headers,
        body: String::new(),
        connection,
    };
    let mut body = Vec::new();
    let outcome = Framing::of(&message)?.read_body(from, &mut body);
    message.body = String::from_utf8_lossy(&body).into_owned();
    match outcome {
        Ok(()) => Ok(Some(message)),
        Err(error) if is_end_of_connection(&error) => Err(ReadError::Incomplete(message)),
        Err(error) => Err(ReadError::Io(error)),
    }
}

/// Whether the connection ends before anything more. Unlike the other reads here `fill_buf` doesn't repeat a read that a
/// signal interrupted.
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
        let (name, value) = line.split_once(':').ok_or_else(|| malformed("a header"))?;
        headers.push((name.to_owned(), value.trim().to_owned()));
    }
}

/// An orderly end or a reset, but no timeout.
fn is_end_of_connection(error: &io::Error) -> bool {
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
        let size =
            u64::from_str_radix(digits, HEXADECIMAL).map_err(|_| malformed("a chunk's size"))?;
        if size == 0 {
            break;
        }
        read_exactly(from, size, body)?;
        if !read_line(from)?.is_empty() {
            return Err(malformed("a chunk's end"));
        }
    }
    // Trailers, up to the empty line.
    while !read_line(from)?.is_empty() {}
    Ok(())
}

/// A line without its CRLF; one that is truncated by the end of the connection is an error.
fn read_line(from: &mut impl BufRead) -> io::Result<String> {
    let mut line = String::new();
    from.read_line(&mut line)?;
    match line.strip_suffix("\r\n") {
        Some(content) => Ok(content.to_owned()),
        None if line.ends_with('\n') => Err(malformed("a line's end")),
        None => Err(ErrorKind::UnexpectedEof.into()),
    }
}

fn malformed(what: &str) -> io::Error {
    io::Error::new(ErrorKind::InvalidData, format!("malformed: {what}"))
}

#[cfg(test)]
mod tests;
