//! Checks the framing of request bodies, including what the HTTP library does not show of it.
//!
//! The HTTP library drops a Content-Length header next to a Transfer-Encoding, whichever comes first. A request with both
//! may smuggle another request in its body (RFC 9112, section 6.3), and its headers no longer show it. [`HeadScanner`]
//! therefore observes the bytes on their way to the library. It is not a second parser: it recognizes lines, the name of
//! one header, and the blank line that ends a head.
//!
//! The bytes are divided into sections, each of which ends with a blank line. The connection passes at most one section to
//! the library per read, and the library reads only if it has no data left or its head is incomplete. So when the library
//! hands a request over, the last section that ended is the one that ends with the request's head, and it contains any
//! Content-Length line of that head.
//!
//! The end of the preceding body may be part of the same section if no blank line separates it from the next request. If
//! that end has a line that looks like a Content-Length header and the next request is chunked, that request is rejected
//! although it is valid. The error is on the safe side: an ambiguous request is never accepted.

use hyper::header::{HeaderMap, TRANSFER_ENCODING};
use thiserror::Error;

/// The only transfer coding that is accepted.
const CHUNKED: &[u8] = b"chunked";

/// The beginning of a Content-Length line, in lower case. Whitespace before the name or the colon needs no check, as the
/// HTTP library rejects such a head.
const CONTENT_LENGTH_LINE: &[u8; 15] = b"content-length:";

/// Properties of a head, observed in its bytes, that the HTTP library may not show.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ObservedHead {
    /// Whether the head has a Content-Length line, whatever its value.
    pub content_length: bool,
}

/// The part of the scanned bytes that belongs to the current section.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Section {
    /// How many of the given bytes belong to the section.
    pub length: usize,
    /// What was observed in the section. `None` if it does not end within the given bytes.
    pub head: Option<ObservedHead>,
}

/// Observes the bytes that the HTTP library reads, line by line. The bytes may be split at any position.
#[derive(Debug, Default)]
pub struct HeadScanner {
    /// The first bytes of the current line, as many as a Content-Length line's beginning has.
    prefix: [u8; CONTENT_LENGTH_LINE.len()],
    prefix_length: usize,
    observed: ObservedHead,
}

impl HeadScanner {
    /// Scans bytes up to and including the first blank line. The caller passes the bytes after it again in the next call.
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

    /// Adds bytes to the current line. Only the line's beginning is kept.
    fn extend_line(&mut self, bytes: &[u8]) {
        let free = &mut self.prefix[self.prefix_length..];
        let taken = bytes.len().min(free.len());
        free[..taken].copy_from_slice(&bytes[..taken]);
        self.prefix_length += taken;
    }

    /// Ends the current line and returns whether it is blank.
    fn end_line(&mut self) -> bool {
        let line = &self.prefix[..self.prefix_length];
        let is_blank = matches!(line, [] | [b'\r']);
        self.observed.content_length |= line.eq_ignore_ascii_case(CONTENT_LENGTH_LINE);
        self.prefix_length = 0;
        is_blank
    }
}

/// A framing for which two readers may disagree on where the body ends. The text is sent to the client in the body of a 400
/// response.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum FramingError {
    /// The request has both a Transfer-Encoding and a Content-Length.
    #[error("transfer-encoding and content-length: send one of them, not both")]
    TwoLengths,
    /// The transfer coding is not `chunked` alone.
    #[error("transfer-encoding: send 'chunked' alone and once, or a content-length instead")]
    UnknownCoding,
}

/// Checks that a request has no Transfer-Encoding, or `chunked` alone and no Content-Length. Any other framing may smuggle a
/// second request in the body.
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
