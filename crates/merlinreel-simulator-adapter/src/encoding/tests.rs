use super::*;
use test_case::test_case;

#[test_case(&[0x00, 0xff, 0x1a], "00ff1a" ; "several bytes")]
#[test_case(&[], "-" ; "no bytes")]
fn bytes_are_encoded_as_hex_and_decoded(bytes: &[u8], text: &str) {
    assert_eq!(
        (encode_hex(bytes), decode_hex(text)),
        (text.to_owned(), Some(bytes.to_vec()))
    );
}

#[test]
fn counter_name_is_decoded_to_its_customer_and_window() {
    assert_eq!(
        decode_counter_name(&encode_counter_name(CounterKey {
            customer: 8_589_934_591,
            window: 100_020
        })),
        Some(CounterKey {
            customer: 8_589_934_591,
            window: 100_020
        })
    );
}
