use super::*;
use test_case::test_case;

const HEADER: BatchHeader = BatchHeader {
    incarnation: 300,
    sequence: 5,
};

fn row() -> CounterRow {
    CounterRow {
        customer: 1000,
        plan: 3,
        window: 2,
        total: 1.5,
        demand: None,
        remaining: None,
        age: None,
    }
}

/// Each form of a row is encoded as exactly these bytes, after the header's `ac 02 05`, and decoded to the same row.
#[test_case(row(), &[0xe8, 0x07, 0x32, 0x18] ; "total only")]
#[test_case(CounterRow { total: -2.0, ..row() }, &[0xe8, 0x07, 0x32, 0x1f] ; "negative total")]
#[test_case(CounterRow { demand: Some(6.0), ..row() }, &[0xe8, 0x07, 0x3a, 0x18, 0x60] ; "total and demand")]
#[test_case(CounterRow { remaining: Some(-0.5), ..row() }, &[0xe8, 0x07, 0x36, 0x18, 0x07] ; "total and remaining")]
#[test_case(CounterRow { demand: Some(100.0), remaining: Some(8.0), ..row() }, &[0xe8, 0x07, 0x3e, 0x18, 0xc0, 0x0c, 0x80, 0x01] ; "total, demand and remaining")]
#[test_case(CounterRow { demand: Some(100.0), remaining: Some(8.0), age: Some(Duration::from_millis(2500)), total: 0.0, ..row() }, &[0xe8, 0x07, 0x3e, 0x29, 0xc0, 0x0c, 0x80, 0x01] ; "relayed estimate with its age")]
#[test_case(CounterRow { demand: Some(1.0), remaining: Some(0.0), age: Some(Duration::ZERO), total: 0.0, ..row() }, &[0xe8, 0x07, 0x3e, 0x01, 0x10, 0x00] ; "relayed estimate of age zero")]
#[test_case(CounterRow { customer: u64::MAX >> 1, ..row() }, &[0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x7f, 0x32, 0x18] ; "largest customer")]
fn row_is_encoded_as_literal_bytes(row: CounterRow, bytes: &[u8]) {
    let message = [&[0xac, 0x02, 0x05][..], bytes].concat();
    let messages = encode(HEADER, &[row]);
    assert_eq!(messages, [&message[..]]);
    assert_eq!(decode(&message), Some((HEADER, vec![row])));
}

#[test]
fn only_the_lowest_two_bits_of_a_window_number_are_encoded() {
    let large_window = CounterRow {
        window: 0x1_0000_0002,
        ..row()
    };
    assert_eq!(encode(HEADER, &[large_window]), encode(HEADER, &[row()]));
}

#[test]
fn empty_batch_is_a_header_alone() {
    assert_eq!(encode(HEADER, &[]), [[0xac, 0x02, 0x05]]);
    assert_eq!(decode(&[0xac, 0x02, 0x05]), Some((HEADER, Vec::new())));
}

#[test]
fn rows_that_exceed_a_message_follow_in_the_next_one() {
    let messages = encode(HEADER, &[row(); 64]);
    let lengths: Vec<usize> = messages.iter().map(Vec::len).collect();
    assert_eq!(lengths, [255, 7]);
    assert_eq!(messages[1], [0xac, 0x02, 0x06, 0xe8, 0x07, 0x32, 0x18]);
}

#[test_case(&[] ; "nothing")]
#[test_case(&[0xac] ; "truncated number")]
#[test_case(&[0xac, 0x02] ; "truncated header")]
#[test_case(&[0xac, 0x02, 0x05, 0xe8, 0x07, 0x32] ; "no total")]
#[test_case(&[0xac, 0x02, 0x05, 0xe8, 0x07, 0x3a, 0x18] ; "no demand although its flag is set")]
#[test_case(&[0x80, 0x80, 0x80, 0x80, 0x80, 0x80, 0x80, 0x80, 0x80, 0x01] ; "number of ten bytes")]
fn incomplete_or_malformed_message_is_rejected(bytes: &[u8]) {
    assert_eq!(decode(bytes), None);
}
