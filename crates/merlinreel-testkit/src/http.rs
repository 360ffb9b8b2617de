//! Messages of HTTP/1.1 as stand-ins and clients read them, in each framing: `Content-Length`, chunked, and ended by
//! the connection's close. A message that breaks off is told apart from a whole one.

use std::error::Error;
use std::fmt;
use std::io::{self, BufRead, ErrorKind, Read};

const STATUS_LINE: &str = "HTTP/";
const HEXADECIMAL: u32 = 16;

/// A request or an answer.
#[derive(Clone, Debug)]
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: String,
    /// By which connection it came, counted from 0.
    pub connection: usize,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(key, _)| key.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

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

/// Why there is no whole message.
#[derive(Debug)]
pub enum ReadError {
    /// The connection ended within the message's body: what came of it.
    Incomplete(Message),
    /// The connection failed otherwise, or what came is no message.
    Io(io::Error),
}

impl fmt::Display for ReadError {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        match self {
            ReadError::Incomplete(message) => {
                write!(
                    out,
                    "`{}` broke off after {} bytes of its body",
                    message.first,
                    message.body.len()
                )
            }
            ReadError::Io(error) => error.fmt(out),
        }
    }
}

impl Error for ReadError {}

impl From<io::Error> for ReadError {
    fn from(error: io::Error) -> ReadError {
        ReadError::Io(error)
    }
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

    /// Reads the body; what came before an error is in `body`.
    fn read_body(self, from: &mut impl BufRead, body: &mut Vec<u8>) -> io::Result<()> {
        match self {
            Framing::Length(length) => read_exactly(from, length, body),
            Framing::Chunked => read_chunks(from, body),
            Framing::UntilClose => from.read_to_end(body).map(drop),
        }
    }
}

/// One message, none at the connection's end.
pub fn read(from: &mut impl BufRead, connection: usize) -> Result<Option<Message>, ReadError> {
    if has_ended(from)? {
        return Ok(None);
    }
    let first = read_whole_line(from)?;
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
        let line = read_whole_line(from)?;
        if line.is_empty() {
            return Ok(headers);
        }
        let (name, value) = line.split_once(':').ok_or_else(|| malformed("a header"))?;
        headers.push((name.to_owned(), value.trim().to_owned()));
    }
}

/// An orderly end or a reset; not a wait that was too long.
fn is_end_of_connection(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        ErrorKind::UnexpectedEof | ErrorKind::ConnectionReset
    )
}

fn read_exactly(from: &mut impl BufRead, length: u64, body: &mut Vec<u8>) -> io::Result<()> {
    let came = from.by_ref().take(length).read_to_end(body)?;
    if came as u64 == length {
        Ok(())
    } else {
        Err(ErrorKind::UnexpectedEof.into())
    }
}

fn read_chunks(from: &mut impl BufRead, body: &mut Vec<u8>) -> io::Result<()> {
    loop {
        let line = read_whole_line(from)?;
        let digits = line.split(';').next().unwrap_or_default();
        let size =
            u64::from_str_radix(digits, HEXADECIMAL).map_err(|_| malformed("a chunk's size"))?;
        if size == 0 {
            break;
        }
        read_exactly(from, size, body)?;
        if !read_whole_line(from)?.is_empty() {
            return Err(malformed("a chunk's end"));
        }
    }
    // Trailers, up to the empty line.
    while !read_whole_line(from)?.is_empty() {}
    Ok(())
}

/// A line without its CRLF; one that the connection's end cuts is an error.
fn read_whole_line(from: &mut impl BufRead) -> io::Result<String> {
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
