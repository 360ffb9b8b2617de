use super::*;
use hyper::header::{HeaderName, HeaderValue};
use test_case::test_case;

const WITH_LENGTH: ObservedHead = ObservedHead {
    content_length: true,
};
const WITHOUT_LENGTH: ObservedHead = ObservedHead {
    content_length: false,
};

/// Scans the pieces one after another and returns each complete section's length and what was observed in it.
fn sections(pieces: &[&[u8]]) -> Vec<(usize, ObservedHead)> {
    let mut scanner = HeadScanner::default();
    let (mut sections, mut length) = (Vec::new(), 0);
    for piece in pieces {
        let mut rest = *piece;
        while !rest.is_empty() {
            let section = scanner.scan(rest);
            length += section.length;
            rest = &rest[section.length..];
            if let Some(observed) = section.head {
                sections.push((std::mem::take(&mut length), observed));
            } else {
                assert!(
                    rest.is_empty(),
                    "all bytes are scanned if no section ends in them"
                );
            }
        }
    }
    sections
}

/// In each text a `|` marks the end of a section.
#[test_case("A / HTTP/1.1\r\nContent-Length: 4\r\n\r\n|" => vec![WITH_LENGTH] ; "with a length")]
#[test_case("A / HTTP/1.1\r\ncOnTeNt-LeNgTh:4\r\n\r\n|" => vec![WITH_LENGTH] ; "mixed case and no space")]
#[test_case("A / HTTP/1.1\nContent-Length: 4\n\n|" => vec![WITH_LENGTH] ; "line feeds alone")]
#[test_case("A / HTTP/1.1\r\nContent-Length: 4\n\r\n|" => vec![WITH_LENGTH] ; "line ends of both kinds")]
#[test_case("A / HTTP/1.1\r\nContent-Length:\r\n\r\n|" => vec![WITH_LENGTH] ; "no value")]
#[test_case("A / HTTP/1.1\r\nContent-Length: 4\r\nHost: a\r\n\r\n|" => vec![WITH_LENGTH] ; "another line after it")]
#[test_case("A / HTTP/1.1\r\nHost: a\r\n\r\n|" => vec![WITHOUT_LENGTH] ; "without a length")]
#[test_case("A / HTTP/1.1\r\nX-Content-Length: 4\r\n\r\n|" => vec![WITHOUT_LENGTH] ; "a longer name")]
#[test_case("A / HTTP/1.1\r\nContent-Lengt: 4\r\n\r\n|" => vec![WITHOUT_LENGTH] ; "a shorter name")]
#[test_case("A / HTTP/1.1\r\nHost: content-length: 4\r\n\r\n|" => vec![WITHOUT_LENGTH] ; "in a value")]
#[test_case("A / HTTP/1.1\r\nHost: a\r\n" => Vec::<ObservedHead>::new() ; "no end")]
#[test_case("A / HTTP/1.1\r\nHost: a\r\r\n\r\n|" => vec![WITHOUT_LENGTH] ; "two carriage returns end no head")]
#[test_case("\r\n|A / HTTP/1.1\r\nContent-Length: 4\r\n\r\n|" => vec![WITHOUT_LENGTH, WITH_LENGTH] ; "a blank line before")]
#[test_case("A / HTTP/1.1\r\nContent-Length: 4\r\n\r\n|bodyA / HTTP/1.1\r\nHost: a\r\n\r\n|"
    => vec![WITH_LENGTH, WITHOUT_LENGTH] ; "a body and the next head")]
#[test_case("A / HTTP/1.1\r\nHost: a\r\n\r\n|A / HTTP/1.1\r\nContent-Length: 4\r\n\r\n|"
    => vec![WITHOUT_LENGTH, WITH_LENGTH] ; "the next head has it")]
#[test_case("11\r\nContent-Length: 4\r\n0\r\n\r\n|A / HTTP/1.1\r\nHost: a\r\n\r\n|"
    => vec![WITH_LENGTH, WITHOUT_LENGTH] ; "a chunked body ends a section of its own")]
#[test_case("x\nContent-Length: 4\nA / HTTP/1.1\r\nHost: a\r\n\r\n|"
    => vec![WITH_LENGTH] ; "the last lines of a body count as the next head's")]
fn section_ends_with_a_blank_line_however_it_is_cut(marked: &str) -> Vec<ObservedHead> {
    let lengths: Vec<usize> = marked.split('|').map(str::len).collect();
    let text = marked.replace('|', "");
    let bytes = text.as_bytes();
    let in_one_piece = sections(&[bytes]);
    let ends: Vec<usize> = in_one_piece.iter().map(|&(length, _)| length).collect();
    assert_eq!(ends, lengths[..lengths.len() - 1]);
    for split in 0..=bytes.len() {
        let (first, second) = bytes.split_at(split);
        assert_eq!(sections(&[first, second]), in_one_piece, "cut at {split}");
    }
    let single: Vec<&[u8]> = bytes.chunks(1).collect();
    assert_eq!(sections(&single), in_one_piece, "byte by byte");
    in_one_piece
        .into_iter()
        .map(|(_, observed)| observed)
        .collect()
}

#[test]
fn scan_stops_at_the_first_blank_line() {
    let mut scanner = HeadScanner::default();
    assert_eq!(
        scanner.scan(b"a\n\nb\n\n"),
        Section {
            length: 3,
            head: Some(WITHOUT_LENGTH)
        }
    );
    assert_eq!(
        scanner.scan(b"b\n\n"),
        Section {
            length: 3,
            head: Some(WITHOUT_LENGTH)
        }
    );
}

#[test_case(&[], WITH_LENGTH => Ok(()) ; "a length")]
#[test_case(&[], WITHOUT_LENGTH => Ok(()) ; "no body")]
#[test_case(&["chunked"], WITHOUT_LENGTH => Ok(()) ; "chunked")]
#[test_case(&["Chunked"], WITHOUT_LENGTH => Ok(()) ; "chunked in another case")]
#[test_case(&["chunked"], WITH_LENGTH => Err(FramingError::TwoLengths) ; "chunked and a length")]
#[test_case(&["gzip, chunked"], WITHOUT_LENGTH => Err(FramingError::UnknownCoding) ; "another coding before")]
#[test_case(&["chunked, chunked"], WITHOUT_LENGTH => Err(FramingError::UnknownCoding) ; "chunked twice")]
#[test_case(&["chunked", "chunked"], WITHOUT_LENGTH => Err(FramingError::UnknownCoding) ; "chunked in two lines")]
#[test_case(&["identity", "chunked"], WITHOUT_LENGTH => Err(FramingError::UnknownCoding) ; "two codings in two lines")]
#[test_case(&["identity"], WITHOUT_LENGTH => Err(FramingError::UnknownCoding) ; "identity")]
#[test_case(&[",chunked"], WITHOUT_LENGTH => Err(FramingError::UnknownCoding) ; "an empty element")]
#[test_case(&["chunked;q=1"], WITHOUT_LENGTH => Err(FramingError::UnknownCoding) ; "a parameter")]
#[test_case(&["\u{b}chunked"], WITHOUT_LENGTH => Err(FramingError::UnknownCoding) ; "a control character")]
#[test_case(&[""], WITHOUT_LENGTH => Err(FramingError::UnknownCoding) ; "empty")]
fn framing_other_than_a_length_or_chunked_once_is_rejected(
    codings: &[&str],
    observed: ObservedHead,
) -> Result<(), FramingError> {
    let mut headers = HeaderMap::new();
    for coding in codings {
        let value =
            HeaderValue::from_maybe_shared(bytes::Bytes::copy_from_slice(coding.as_bytes()));
        // The HTTP library rejects bytes that are not a valid header value.
        let Ok(value) = value else {
            return Err(FramingError::UnknownCoding);
        };
        headers.append(HeaderName::from_static("transfer-encoding"), value);
    }
    check(&headers, observed)
}

#[test]
fn framing_error_says_what_to_send() {
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
