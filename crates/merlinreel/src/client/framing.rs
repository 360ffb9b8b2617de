//! How a request's body is framed, and what the HTTP library does not show of it.
//!
//! The library drops a Content-Length that stands beside a Transfer-Encoding, before it or behind it, so a request
//! that has both (RFC 9112, section 6.3: another request may hide in its body) can't be distinguished from a sound one by its
//! headers. [`HeadScanner`] therefore observes the bytes on their way to the library. It is no second parser: it knows
//! lines, the name of one header, and the blank line that ends a head.
//!
//! The connection gives the library no more than one section a read, up to the next blank line, and the library reads
//! only where it has nothing left or its head is incomplete. So the section that ended last when it hands a request over
//! is the one that ends with that request's head, and a Content-Length line of that head lies in it.
//!
//! The rest of a body may lie at the beginning of the same section, where a client sends the next request behind it and
//! no blank line stands between. A line of that rest that looks like a Content-Length then has the next request rejected
//! if it is chunked: more is rejected than need be, never less.

use hyper::header::{HeaderMap, TRANSFER_ENCODING};
use thiserror::Error;

/// The only transfer coding that is accepted.
const CHUNKED: &[u8] = b"chunked";

/// The beginning of a line that announces a body's length. Nothing may stand before the name nor before the colon: the
/// HTTP library rejects a head that has a space there.
const CONTENT_LENGTH_LINE: &[u8; 15] = b"content-length:";

/// What the bytes of a head show and the HTTP library may drop.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ObservedHead {
    /// It has a line of Content-Length, whatever its value.
    pub content_length: bool,
}

/// As much of some bytes as belongs to one section.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Section {
    /// How many bytes of those given lie in it.
    pub length: usize,
    /// The head that it ended with, where it ended in them.
    pub head: Option<ObservedHead>,
}

/// Observes the bytes that the HTTP library reads, line by line, however they are cut.
#[derive(Debug, Default)]
pub struct HeadScanner {
    /// The first bytes of the line that is being read.
    prefix: [u8; CONTENT_LENGTH_LINE.len()],
    prefix_length: usize,
    observed: ObservedHead,
}

impl HeadScanner {
    /// Scans bytes up to the first blank line and that line itself. Those behind it are to be given again.
    pub fn scan(&mut self, bytes: &[u8]) -> Section {
        let mut scanned = 0;
        while let Some(line) = bytes[scanned..].iter().position(|&byte| byte == b'\n') {
            self.extend_line(&bytes[scanned..scanned + line]);
            scanned += line + 1;
            if self.end_line() {
                return Section {
                    length: scanned,
                    head: Some(std::mem::take(&mut self.observed)),
                };
            }
        }
        self.extend_line(&bytes[scanned..]);
        Section {
            length: bytes.len(),
            head: None,
        }
    }

    /// Keeps as much of the line as decides what it is.
    fn extend_line(&mut self, bytes: &[u8]) {
        let free = &mut self.prefix[self.prefix_length..];
        let taken = bytes.len().min(free.len());
        free[..taken].copy_from_slice(&bytes[..taken]);
        self.prefix_length += taken;
    }

    /// Ends the line, and returns whether it is blank.
    fn end_line(&mut self) -> bool {
        let line = &self.prefix[..self.prefix_length];
        let is_blank = matches!(line, [] | [b'\r']);
        self.observed.content_length |= line.eq_ignore_ascii_case(CONTENT_LENGTH_LINE);
        self.prefix_length = 0;
        is_blank
    }
}

/// A framing by which two readers might find two bodies in one request. Clients get this text in the body of a 400.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum FramingError {
    /// The body's length is given in two ways.
    #[error("transfer-encoding and content-length: send one of them, not both")]
    TwoLengths,
    /// The transfer coding is not `chunked` alone.
    #[error("transfer-encoding: send 'chunked' alone and once, or a content-length instead")]
    UnknownCoding,
}

/// Checks that a request has a Content-Length, or the coding `chunked` once and no other: with any other framing a second
/// request might hide in its body.
///
/// # Errors
///
/// The framing is ambiguous.
pub fn check(headers: &HeaderMap, observed: ObservedHead) -> Result<(), FramingError> {
    let mut codings = headers.get_all(TRANSFER_ENCODING).iter();
    let Some(coding) = codings.next() else {
        return Ok(());
    };
    if observed.content_length {
        return Err(FramingError::TwoLengths);
    }
    let is_chunked = coding.as_bytes().eq_ignore_ascii_case(CHUNKED);
    if is_chunked && codings.next().is_none() {
        Ok(())
    } else {
        Err(FramingError::UnknownCoding)
    }
}

#[cfg(test)]
mod tests;
