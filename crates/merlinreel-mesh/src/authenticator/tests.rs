use super::*;
use crate::keys::Key;
use proptest::prelude::*;
use test_case::test_case;

fn address(port: u16) -> SocketAddrV4 {
    SocketAddrV4::new([127, 0, 0, 1].into(), port)
}

fn member(port: u16) -> Member {
    Member {
        address: address(port),
        incarnation: 1_790_000_000_000,
    }
}

fn keys(ids: &[u8], signing_id: u8) -> Keys {
    Keys::new(
        ids.iter().map(|&id| Key::new(id, vec![id; 32])).collect(),
        Some(signing_id),
    )
    .expect("valid keys")
}

const UNIX_TIME: Duration = Duration::from_secs(1_790_000_100);
const MAX_SENDERS: usize = 8;
const NOW: Duration = Duration::from_secs(50);

fn signed() -> Vec<u8> {
    Authenticator::new(keys(&[1], 1), MAX_SENDERS).sign(
        member(1),
        address(2),
        UNIX_TIME,
        b"content",
    )
}

#[test]
fn signed_datagram_is_accepted_once() {
    let (bytes, mut authenticator) = (signed(), Authenticator::new(keys(&[1, 2], 2), MAX_SENDERS));
    assert!(
        bytes.len() <= MAX_OVERHEAD_BYTES + b"content".len(),
        "{}",
        bytes.len()
    );
    assert_eq!(
        authenticator.verify(member(2), NOW, UNIX_TIME, &bytes),
        Ok(VerifiedDatagram {
            sender: member(1),
            content: b"content"
        })
    );
    assert_eq!(
        authenticator.verify(member(2), NOW, UNIX_TIME, &bytes),
        Err(DropReason::Replayed)
    );
}

/// Pins the encoding of a datagram, on which all members of a fleet must agree.
#[test]
fn datagram_has_the_pinned_encoding() {
    let mut sender = Authenticator::new(keys(&[1, 200], 200), MAX_SENDERS);
    sender.last_sequence = 299;
    let bytes = sender.sign(member(1), address(2), UNIX_TIME, b"content");
    let header = [
        1,   // format version
        200, // key id
        127, 0, 0, 1, // sender's address
        1, // and port
        0x80, 0xd8, 0xc1, 0xa2, 0x8c, 0x34, // incarnation
        0xac, 0x02, // sequence number
        0xe4, 0xf7, 0xc4, 0xd5, 0x06, // Unix time in seconds
    ];
    let signature = [
        0x9a, 0x32, 0xf2, 0x7f, 0xb5, 0xb4, 0xf1, 0x7c, 0xac, 0x27, 0x17, 0xe7, 0x14, 0x7a, 0x23,
        0xfd,
    ];
    assert_eq!(bytes, [&header[..], b"content", &signature].concat());
    let mut receiver = Authenticator::new(keys(&[1, 200], 1), MAX_SENDERS);
    assert_eq!(
        receiver.verify(member(2), NOW, UNIX_TIME, &bytes),
        Ok(VerifiedDatagram {
            sender: member(1),
            content: b"content"
        })
    );
}

/// Key rotation: all members accept the new key before one signs with it, and the old key until none signs with it.
#[test_case(&[1], &[1, 2], 1 => true ; "new key distributed")]
#[test_case(&[1, 2], &[1, 2], 2 => true ; "new key signs")]
#[test_case(&[2, 1], &[2], 2 => true ; "old key removed")]
#[test_case(&[1], &[2], 2 => false ; "receiver without the new key")]
fn datagram_is_accepted_while_receiver_has_its_key(
    receiver: &[u8],
    sender: &[u8],
    signing_id: u8,
) -> bool {
    let bytes = Authenticator::new(keys(sender, signing_id), MAX_SENDERS).sign(
        member(1),
        address(2),
        UNIX_TIME,
        b"x",
    );
    Authenticator::new(keys(receiver, receiver[0]), MAX_SENDERS)
        .verify(member(2), NOW, UNIX_TIME, &bytes)
        .is_ok()
}

#[test_case(|bytes| bytes.truncate(10) => DropReason::Malformed ; "truncated")]
#[test_case(|bytes| bytes.truncate(bytes.len() - 1) => DropReason::InvalidSignature ; "last byte missing")]
#[test_case(|bytes| bytes.resize(MAX_DATAGRAM_BYTES + 1, 0) => DropReason::Oversized ; "oversized")]
#[test_case(std::vec::Vec::clear => DropReason::Malformed ; "empty")]
#[test_case(|bytes| bytes[0] = 9 => DropReason::UnsupportedVersion ; "another format version")]
#[test_case(|bytes| bytes[1] = 9 => DropReason::UnknownKey ; "unknown key")]
#[test_case(|bytes| *bytes.last_mut().expect("bytes") ^= 1 => DropReason::InvalidSignature ; "forged")]
#[test_case(|bytes| bytes[4] ^= 1 => DropReason::InvalidSignature ; "sender changed")]
fn invalid_datagram_is_dropped_and_does_not_count_as_received(
    corrupt: fn(&mut Vec<u8>),
) -> DropReason {
    let (valid, mut authenticator) = (signed(), Authenticator::new(keys(&[1], 1), MAX_SENDERS));
    let mut bytes = valid.clone();
    corrupt(&mut bytes);
    let dropped = authenticator
        .verify(member(2), NOW, UNIX_TIME, &bytes)
        .expect_err("invalid");
    assert!(
        authenticator
            .verify(member(2), NOW, UNIX_TIME, &valid)
            .is_ok(),
        "the valid datagram must not count as received"
    );
    dropped
}

#[test_case(member(3), 0 => DropReason::InvalidSignature ; "addressed to another receiver")]
#[test_case(member(2), 61 => DropReason::ClockSkew ; "replayed a minute later")]
#[test_case(member(1), 0 => DropReason::InvalidSignature ; "returned to its sender")]
fn datagram_is_dropped_at_another_receiver_or_time(own: Member, delay_s: u64) -> DropReason {
    let unix_time = UNIX_TIME + Duration::from_secs(delay_s);
    Authenticator::new(keys(&[1], 1), MAX_SENDERS)
        .verify(own, NOW, unix_time, &signed())
        .expect_err("refused")
}

proptest! {
    /// Random bytes, which no key has signed, are dropped.
    #[test]
    fn random_bytes_are_dropped(mut bytes: Vec<u8>, has_valid_start: bool) {
        if has_valid_start && bytes.len() > 2 {
            bytes[..2].copy_from_slice(&[FORMAT_VERSION, 1]);
        }
        prop_assert!(Authenticator::new(keys(&[1], 1), MAX_SENDERS).verify(member(2), NOW, UNIX_TIME, &bytes).is_err());
    }

    /// A valid datagram with any one byte changed is dropped.
    #[test]
    fn datagram_with_one_changed_byte_is_dropped(position: proptest::sample::Index, increment in 1u8..) {
        let mut bytes = signed();
        let position = position.index(bytes.len());
        bytes[position] = bytes[position].wrapping_add(increment);
        prop_assert!(Authenticator::new(keys(&[1], 1), MAX_SENDERS).verify(member(2), NOW, UNIX_TIME, &bytes).is_err());
    }
}
