use super::*;
use proptest::prelude::*;

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
