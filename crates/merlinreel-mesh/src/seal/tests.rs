use super::*;
use proptest::prelude::*;
use test_case::test_case;

fn at(port: u16) -> SocketAddrV4 {
    SocketAddrV4::new([127, 0, 0, 1].into(), port)
}

fn member(port: u16) -> Member {
    Member {
        at: at(port),
        incarnation: 1_790_000_000_000,
    }
}

fn keys(ids: &[u8], signs: u8) -> Keys {
    Keys::new(
        ids.iter().map(|&id| (id, vec![id; 32])).collect(),
        Some(signs),
    )
    .expect("sound")
}

const UNIX: Duration = Duration::from_secs(1_790_000_100);
const SENDERS: usize = 8;
const NOW: Duration = Duration::from_secs(50);

fn sealed() -> Vec<u8> {
    Seal::new(keys(&[1], 1), SENDERS).close(member(1), at(2), UNIX, b"content")
}

#[test]
fn what_was_signed_is_read_once() {
    let (bytes, mut seal) = (sealed(), Seal::new(keys(&[1, 2], 2), SENDERS));
    assert!(
        bytes.len() <= OVERHEAD + b"content".len(),
        "{}",
        bytes.len()
    );
    assert_eq!(
        seal.open(member(2), NOW, UNIX, &bytes),
        Ok((member(1), &b"content"[..]))
    );
    assert_eq!(
        seal.open(member(2), NOW, UNIX, &bytes),
        Err(Dropped::Repeated)
    );
}

/// The bytes of a datagram, as every limiter of a fleet reads and writes them.
#[test]
fn datagram_has_the_literal_byte_form() {
    let mut seal = Seal::new(keys(&[1, 200], 200), SENDERS);
    seal.number = 299;
    let bytes = seal.close(member(1), at(2), UNIX, b"content");
    let head = [
        1,   // form
        200, // key
        127, 0, 0, 1, // sender's address
        1, // and port
        0x80, 0xd8, 0xc1, 0xa2, 0x8c, 0x34, // incarnation
        0xac, 0x02, // number
        0xe4, 0xf7, 0xc4, 0xd5, 0x06, // Unix time in seconds
    ];
    let tag = [
        0x9a, 0x32, 0xf2, 0x7f, 0xb5, 0xb4, 0xf1, 0x7c, 0xac, 0x27, 0x17, 0xe7, 0x14, 0x7a, 0x23,
        0xfd,
    ];
    assert_eq!(bytes, [&head[..], b"content", &tag].concat());
    let mut other = Seal::new(keys(&[1, 200], 1), SENDERS);
    assert_eq!(
        other.open(member(2), NOW, UNIX, &bytes),
        Ok((member(1), &b"content"[..]))
    );
}

/// Rotation: the new key is known everywhere before it signs, and the old one for as long as somebody signs so.
#[test_case(&[1], &[1, 2], 1 => true ; "given out")]
#[test_case(&[1, 2], &[1, 2], 2 => true ; "signs")]
#[test_case(&[2, 1], &[2], 2 => true ; "the old one is gone")]
#[test_case(&[1], &[2], 2 => false ; "a process that was left out")]
fn keys_rotate_with_an_overlap(receiver: &[u8], sender: &[u8], signs: u8) -> bool {
    let bytes = Seal::new(keys(sender, signs), SENDERS).close(member(1), at(2), UNIX, b"x");
    Seal::new(keys(receiver, receiver[0]), SENDERS)
        .open(member(2), NOW, UNIX, &bytes)
        .is_ok()
}

#[test_case(|b| b.truncate(10) => Dropped::Malformed ; "truncated")]
#[test_case(|b| b.truncate(b.len() - 1) => Dropped::Forged ; "its end cut off")]
#[test_case(|b| b.resize(MOST_BYTES + 1, 0) => Dropped::Oversized ; "oversized")]
#[test_case(|b| b.clear() => Dropped::Malformed ; "empty")]
#[test_case(|b| b[0] = 9 => Dropped::OtherForm ; "a later form")]
#[test_case(|b| b[1] = 9 => Dropped::UnknownKey ; "a stranger's key")]
#[test_case(|b| *b.last_mut().expect("bytes") ^= 1 => Dropped::Forged ; "forged")]
#[test_case(|b| b[4] ^= 1 => Dropped::Forged ; "another sender")]
fn what_is_not_sound_changes_nothing(spoil: fn(&mut Vec<u8>)) -> Dropped {
    let (sound, mut seal) = (sealed(), Seal::new(keys(&[1], 1), SENDERS));
    let mut bytes = sound.clone();
    spoil(&mut bytes);
    let dropped = seal
        .open(member(2), NOW, UNIX, &bytes)
        .expect_err("not sound");
    assert!(
        seal.open(member(2), NOW, UNIX, &sound).is_ok(),
        "the sound one was noted as seen"
    );
    dropped
}

#[test_case(member(3), 0 => Dropped::Forged ; "meant for another")]
#[test_case(member(2), 61 => Dropped::Clock ; "kept and sent on a minute later")]
#[test_case(member(1), 0 => Dropped::Forged ; "sent back")]
fn a_datagram_is_good_for_one_place_and_time(own: Member, later: u64) -> Dropped {
    let unix = UNIX + Duration::from_secs(later);
    Seal::new(keys(&[1], 1), SENDERS)
        .open(own, NOW, unix, &sealed())
        .expect_err("not for it")
}

proptest! {
    /// Whatever comes, it is dropped: only who has a key gets through.
    #[test]
    fn noise_is_dropped(mut noise: Vec<u8>, formed: bool) {
        if formed && noise.len() > 2 {
            noise[..2].copy_from_slice(&[FORM, 1]);
        }
        prop_assert!(Seal::new(keys(&[1], 1), SENDERS).open(member(2), NOW, UNIX, &noise).is_err());
    }

    /// A sound datagram with any one byte changed is dropped.
    #[test]
    fn one_byte_changed_is_noticed(place: proptest::sample::Index, by in 1u8..) {
        let mut bytes = sealed();
        let place = place.index(bytes.len());
        bytes[place] = bytes[place].wrapping_add(by);
        prop_assert!(Seal::new(keys(&[1], 1), SENDERS).open(member(2), NOW, UNIX, &bytes).is_err());
    }
}
