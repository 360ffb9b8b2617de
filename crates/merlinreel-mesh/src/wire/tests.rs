use super::*;
use crate::records::Record;
use proptest::prelude::*;
use test_case::test_case;

fn any_digest() -> impl Strategy<Value = Digest> {
    (
        any::<[u8; 4]>(),
        any::<u16>(),
        any::<u64>(),
        any::<u64>(),
        any::<u64>(),
        any::<u16>(),
    )
        .prop_map(
            |(ip, port, incarnation, max_version, heartbeat, heartbeat_age_ds)| {
                let owner = SocketAddrV4::new(ip.into(), port);
                Digest {
                    owner,
                    incarnation,
                    max_version,
                    heartbeat,
                    heartbeat_age_ds,
                }
            },
        )
}

proptest! {
    #[test]
    fn encoded_message_decodes_to_itself(digests in proptest::collection::vec(any_digest(), 0..60), swim: Vec<u8>) {
        for message in [Message::Digests(digests.clone()), Message::Swim(swim.clone())] {
            prop_assert_eq!(decode(&encode(&message)), Ok(message));
        }
        prop_assert!(digests.iter().all(|digest| encode(&Message::Digests(vec![*digest])).len() <= 2 + digest.max_encoded_bytes()));
    }

    /// The decoder receives bytes only from members that hold a key, but must not panic on any bytes.
    #[test]
    fn arbitrary_bytes_decode_to_a_message_or_an_error(bytes: Vec<u8>) {
        if let Ok(message) = decode(&bytes) {
            prop_assert!(decode(&encode(&message)).is_ok());
        }
    }
}

fn digest() -> Digest {
    Digest {
        owner: SocketAddrV4::new([10, 0, 0, 200].into(), 7946),
        incarnation: 1_790_000_000_000,
        max_version: 300,
        heartbeat: 5,
        heartbeat_age_ds: 129,
    }
}

fn request() -> RecordsRequest {
    RecordsRequest {
        owner: digest().owner,
        incarnation: digest().incarnation,
        since_version: 129,
    }
}

const DIGEST: &[u8] = &[
    10, 0, 0, 200, // address
    0x8a, 0x3e, // port
    0x80, 0xd8, 0xc1, 0xa2, 0x8c, 0x34, // incarnation
    0xac, 0x02, // maximum version
    5,    // heartbeat
    0x81, 0x01, // age of the heartbeat
];

fn update(urgent: bool) -> Message {
    let record = Record {
        kind: 256,
        version: 299,
        ttl_s: 600,
        body: b"{}".to_vec(),
    };
    let withdrawn = Record {
        kind: 7,
        version: 300,
        ttl_s: 60,
        body: Vec::new(),
    };
    Message::Update {
        urgent,
        update: RecordsUpdate {
            digest: digest(),
            since_version: 130,
            records: vec![record, withdrawn],
        },
    }
}

const RECORDS: &[u8] = &[
    0x82, 0x01, // since version
    2,    // number of records
    0x80, 0x02, 0xab, 0x02, 0xd8, 0x04, 2, b'{', b'}', // kind, version, TTL in seconds, body
    7, 0xac, 0x02, 60, 0,
];

/// Pins the encoding of each message, on which all members of a fleet must agree.
#[test_case(Message::Swim(vec![9, 0, 255]), &[&[0, 3, 9, 0, 255]] ; "swim")]
#[test_case(Message::Digests(vec![digest(), digest()]), &[&[1, 2], DIGEST, DIGEST] ; "digests")]
#[test_case(Message::Requests(vec![request()]), &[&[2, 1], &DIGEST[..12], &[0x81, 0x01]] ; "requests")]
#[test_case(update(false), &[&[3, 0], DIGEST, RECORDS] ; "update")]
#[test_case(update(true), &[&[3, 1], DIGEST, RECORDS] ; "urgent update")]
fn message_has_the_pinned_encoding(message: Message, parts: &[&[u8]]) {
    let bytes = parts.concat();
    assert_eq!(encode(&message), bytes);
    assert_eq!(decode(&bytes), Ok(message));
}
