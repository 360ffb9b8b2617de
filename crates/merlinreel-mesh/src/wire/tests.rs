use super::*;
use crate::records::Row;
use proptest::prelude::*;
use test_case::test_case;

fn stamp() -> impl Strategy<Value = Stamp> {
    (
        any::<[u8; 4]>(),
        any::<u16>(),
        any::<u64>(),
        any::<u64>(),
        any::<u64>(),
        any::<u16>(),
    )
        .prop_map(|(ip, port, incarnation, top, beat, age_ds)| {
            let at = SocketAddrV4::new(ip.into(), port);
            Stamp {
                at,
                incarnation,
                top,
                beat,
                age_ds,
            }
        })
}

proptest! {
    #[test]
    fn what_is_written_is_read(stamps in proptest::collection::vec(stamp(), 0..60), swim: Vec<u8>) {
        for message in [Message::Stamps(stamps.clone()), Message::Swim(swim.clone())] {
            prop_assert_eq!(decode(&encode(&message)), Ok(message));
        }
        prop_assert!(stamps.iter().all(|stamp| encode(&Message::Stamps(vec![*stamp])).len() <= 2 + stamp.wire_bytes()));
    }

    /// The decoder meets bytes only from who holds a key, and still takes none for what they are not.
    #[test]
    fn any_bytes_end_in_a_message_or_an_error(bytes: Vec<u8>) {
        if let Ok(message) = decode(&bytes) {
            prop_assert!(decode(&encode(&message)).is_ok());
        }
    }
}

fn a_stamp() -> Stamp {
    Stamp {
        at: SocketAddrV4::new([10, 0, 0, 200].into(), 7946),
        incarnation: 1_790_000_000_000,
        top: 300,
        beat: 5,
        age_ds: 129,
    }
}

const STAMP: &[u8] = &[
    10, 0, 0, 200, // address
    0x8a, 0x3e, // port
    0x80, 0xd8, 0xc1, 0xa2, 0x8c, 0x34, // incarnation
    0xac, 0x02, // last number
    5,    // beat
    0x81, 0x01, // age
];

fn told(urgent: bool) -> Message {
    let row = Row {
        kind: 256,
        number: 299,
        life_s: 600,
        body: b"{}".to_vec(),
    };
    let taken_back = Row {
        kind: 7,
        number: 300,
        life_s: 60,
        body: Vec::new(),
    };
    Message::Tell {
        urgent,
        telling: Telling {
            stamp: a_stamp(),
            above: 130,
            rows: vec![row, taken_back],
        },
    }
}

const ROWS: &[u8] = &[
    0x82, 0x01, // above
    2,    // rows
    0x80, 0x02, 0xab, 0x02, 0xd8, 0x04, 2, b'{', b'}', // kind, number, seconds, body
    7, 0xac, 0x02, 60, 0,
];

/// The bytes of each message, as every limiter of a fleet reads and writes them.
#[test_case(Message::Swim(vec![9, 0, 255]), &[&[0, 3, 9, 0, 255]] ; "swim")]
#[test_case(Message::Stamps(vec![a_stamp(), a_stamp()]), &[&[1, 2], STAMP, STAMP] ; "stamps")]
#[test_case(Message::Ask(vec![(a_stamp().at, 1_790_000_000_000, 129)]), &[&[2, 1], &STAMP[..12], &[0x81, 0x01]] ; "ask")]
#[test_case(told(false), &[&[3, 0], STAMP, ROWS] ; "tell")]
#[test_case(told(true), &[&[3, 1], STAMP, ROWS] ; "tell urgent")]
fn message_has_the_literal_byte_form(message: Message, parts: &[&[u8]]) {
    let bytes = parts.concat();
    assert_eq!(encode(&message), bytes);
    assert_eq!(decode(&bytes), Ok(message));
}
