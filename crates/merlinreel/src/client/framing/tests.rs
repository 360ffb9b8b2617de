use super::*;
use hyper::header::{HeaderName, HeaderValue};
use test_case::test_case;

const TOLD: ObservedHead = ObservedHead {
    content_length: true,
};
const NOT_TOLD: ObservedHead = ObservedHead {
    content_length: false,
};

/// The sections that end in pieces given one after another: how long each is, and what it showed.
fn sections(pieces: &[&[u8]]) -> Vec<(usize, ObservedHead)> {
    let mut scanner = HeadScanner::default();
    let (mut sections, mut length) = (Vec::new(), 0);
    for piece in pieces {
        let mut rest = *piece;
        while !rest.is_empty() {
            let section = scanner.scan(rest);
            length += section.length;
            rest = &rest[section.length..];
            if let Some(observed) = section.ended {
                sections.push((std::mem::take(&mut length), observed));
            } else {
                assert!(rest.is_empty(), "all is scanned where no section ends");
            }
        }
    }
    sections
}

/// Sections are written with a `|` where each ends.
#[test_case("A / HTTP/1.1\r\nContent-Length: 4\r\n\r\n|" => vec![TOLD] ; "told")]
#[test_case("A / HTTP/1.1\r\ncOnTeNt-LeNgTh:4\r\n\r\n|" => vec![TOLD] ; "mixed case and no space")]
#[test_case("A / HTTP/1.1\nContent-Length: 4\n\n|" => vec![TOLD] ; "line feeds alone")]
#[test_case("A / HTTP/1.1\r\nContent-Length: 4\n\r\n|" => vec![TOLD] ; "line ends of both kinds")]
#[test_case("A / HTTP/1.1\r\nContent-Length:\r\n\r\n|" => vec![TOLD] ; "no value")]
#[test_case("A / HTTP/1.1\r\nContent-Length: 4\r\nHost: a\r\n\r\n|" => vec![TOLD] ; "another line behind it")]
#[test_case("A / HTTP/1.1\r\nHost: a\r\n\r\n|" => vec![NOT_TOLD] ; "not told")]
#[test_case("A / HTTP/1.1\r\nX-Content-Length: 4\r\n\r\n|" => vec![NOT_TOLD] ; "a longer name")]
#[test_case("A / HTTP/1.1\r\nContent-Lengt: 4\r\n\r\n|" => vec![NOT_TOLD] ; "a shorter name")]
#[test_case("A / HTTP/1.1\r\nHost: content-length: 4\r\n\r\n|" => vec![NOT_TOLD] ; "in a value")]
#[test_case("A / HTTP/1.1\r\nHost: a\r\n" => Vec::<ObservedHead>::new() ; "no end")]
#[test_case("A / HTTP/1.1\r\nHost: a\r\r\n\r\n|" => vec![NOT_TOLD] ; "two carriage returns end no head")]
#[test_case("\r\n|A / HTTP/1.1\r\nContent-Length: 4\r\n\r\n|" => vec![NOT_TOLD, TOLD] ; "a blank line before")]
#[test_case("A / HTTP/1.1\r\nContent-Length: 4\r\n\r\n|bodyA / HTTP/1.1\r\nHost: a\r\n\r\n|"
    => vec![TOLD, NOT_TOLD] ; "a body and the next head")]
#[test_case("A / HTTP/1.1\r\nHost: a\r\n\r\n|A / HTTP/1.1\r\nContent-Length: 4\r\n\r\n|"
    => vec![NOT_TOLD, TOLD] ; "the next head tells it")]
#[test_case("11\r\nContent-Length: 4\r\n0\r\n\r\n|A / HTTP/1.1\r\nHost: a\r\n\r\n|"
    => vec![TOLD, NOT_TOLD] ; "a chunked body ends a section of its own")]
#[test_case("x\nContent-Length: 4\nA / HTTP/1.1\r\nHost: a\r\n\r\n|"
    => vec![TOLD] ; "the last lines of a body count as the next head's")]
fn sections_end_with_blank_lines(marked: &str) -> Vec<ObservedHead> {
    let lengths: Vec<usize> = marked.split('|').map(str::len).collect();
    let text = marked.replace('|', "");
    let bytes = text.as_bytes();
    let whole = sections(&[bytes]);
    let ends: Vec<usize> = whole.iter().map(|&(length, _)| length).collect();
    assert_eq!(ends, lengths[..lengths.len() - 1]);
    for split in 0..=bytes.len() {
        let (first, second) = bytes.split_at(split);
        assert_eq!(sections(&[first, second]), whole, "cut at {split}");
    }
    let single: Vec<&[u8]> = bytes.chunks(1).collect();
    assert_eq!(sections(&single), whole, "byte by byte");
    whole.into_iter().map(|(_, observed)| observed).collect()
}

#[test]
fn a_scan_goes_no_further_than_the_first_blank_line() {
    let mut scanner = HeadScanner::default();
    assert_eq!(
        scanner.scan(b"a\n\nb\n\n"),
        Section {
            length: 3,
            ended: Some(NOT_TOLD)
        }
    );
    assert_eq!(
        scanner.scan(b"b\n\n"),
        Section {
            length: 3,
            ended: Some(NOT_TOLD)
        }
    );
}

#[test_case(&[], TOLD => Ok(()) ; "a length")]
#[test_case(&[], NOT_TOLD => Ok(()) ; "no body")]
#[test_case(&["chunked"], NOT_TOLD => Ok(()) ; "chunked")]
#[test_case(&["Chunked"], NOT_TOLD => Ok(()) ; "chunked in another case")]
#[test_case(&["chunked"], TOLD => Err(FramingError::TwoLengths) ; "chunked and a length")]
#[test_case(&["gzip, chunked"], NOT_TOLD => Err(FramingError::UnknownCoding) ; "another coding before")]
#[test_case(&["chunked, chunked"], NOT_TOLD => Err(FramingError::UnknownCoding) ; "chunked twice")]
#[test_case(&["chunked", "chunked"], NOT_TOLD => Err(FramingError::UnknownCoding) ; "chunked in two lines")]
#[test_case(&["identity", "chunked"], NOT_TOLD => Err(FramingError::UnknownCoding) ; "two codings in two lines")]
#[test_case(&["identity"], NOT_TOLD => Err(FramingError::UnknownCoding) ; "identity")]
#[test_case(&[",chunked"], NOT_TOLD => Err(FramingError::UnknownCoding) ; "an empty element")]
#[test_case(&["chunked;q=1"], NOT_TOLD => Err(FramingError::UnknownCoding) ; "a parameter")]
#[test_case(&["\u{b}chunked"], NOT_TOLD => Err(FramingError::UnknownCoding) ; "a control character")]
#[test_case(&[""], NOT_TOLD => Err(FramingError::UnknownCoding) ; "empty")]
fn one_framing_is_taken(codings: &[&str], observed: ObservedHead) -> Result<(), FramingError> {
    let mut headers = HeaderMap::new();
    for coding in codings {
        let value =
            HeaderValue::from_maybe_shared(bytes::Bytes::copy_from_slice(coding.as_bytes()));
        // What is no header's value never comes this far.
        let Ok(value) = value else {
            return Err(FramingError::UnknownCoding);
        };
        headers.append(HeaderName::from_static("transfer-encoding"), value);
    }
    check(&headers, observed)
}

#[test]
fn a_refusal_says_what_to_send() {
    assert!(
        FramingError::UnknownCoding
            .to_string()
            .contains("'chunked' alone")
    );
    assert!(
        FramingError::TwoLengths
            .to_string()
            .contains("send one of them")
    );
}
