use super::owner::VERSION_RETENTION;
use super::record::{MAX_BODY_BYTES, MAX_KINDS};
use super::*;
use crate::capacity::Capacity;
use proptest::prelude::*;
use serde::Deserialize;
use test_case::test_case;

fn address(port: u16) -> SocketAddrV4 {
    SocketAddrV4::new([127, 0, 0, 1].into(), port)
}

fn store(port: u16, incarnation: u64) -> RecordStore {
    RecordStore::new(
        Member {
            address: address(port),
            incarnation,
        },
        Capacity::for_limiters(3).owners,
    )
}

fn s(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

const TTL: Duration = Duration::from_secs(30);

/// Sends all that `from` holds of `of` to `to`, in as many updates as necessary.
fn transfer(from: &RecordStore, to: &mut RecordStore, of: u16, now: Duration) {
    for _ in 0..20 {
        let since_version = match to.owners.get(&address(of)) {
            Some(held) if held.incarnation == from.owners[&address(of)].incarnation => {
                held.max_version
            }
            _ => 0,
        };
        let Some(update) = from.updates_since(address(of), since_version, now, 1000) else {
            return;
        };
        let is_complete = update.digest.max_version >= from.owners[&address(of)].max_version;
        to.apply_update(update, now).expect("capacity");
        if is_complete {
            return;
        }
    }
}

fn bodies(of: &RecordStore, kind: Kind, now: Duration) -> Vec<(u16, Vec<u8>, u64)> {
    of.view(now)
        .raw(kind)
        .map(|held| {
            (
                held.owner.address.port(),
                held.body.to_vec(),
                held.age.as_secs(),
            )
        })
        .collect()
}

#[test]
fn copied_record_keeps_its_age() {
    let (mut one, mut two, mut three) = (store(1, 5), store(2, 5), store(3, 5));
    one.publish(7, b"a".to_vec(), TTL, s(0)).expect("short");
    one.increment_heartbeat(s(0));
    transfer(&one, &mut two, 1, s(1));
    // Ten seconds later, to a process whose clock differs, from one that heard of no heartbeat since.
    let update = two
        .updates_since(address(1), 0, s(11), 1000)
        .expect("capacity");
    three.apply_update(update, s(500)).expect("capacity");
    assert_eq!(bodies(&three, 7, s(500)), [(1, b"a".to_vec(), 11)]);
    // The owner's next heartbeat confirms it; without another one it expires after its TTL.
    one.increment_heartbeat(s(12));
    let digest = one.owners[&address(1)].digest(address(1), s(12));
    assert_eq!(three.apply_digest(&digest, s(503)), Comparison::InSync);
    assert_eq!(bodies(&three, 7, s(503)), [(1, b"a".to_vec(), 0)]);
    assert!(bodies(&three, 7, s(534)).is_empty());
    three.remove_expired(s(534));
    assert!(three.owners[&address(1)].records.is_empty());
}

/// A process that was stalled still holds an older version.
#[test]
fn late_copy_does_not_replace_a_newer_version() {
    let (mut one, mut two, mut stalled) = (store(1, 5), store(2, 5), store(3, 5));
    one.publish(7, b"old".to_vec(), TTL, s(0)).expect("short");
    transfer(&one, &mut two, 1, s(0));
    transfer(&one, &mut stalled, 1, s(0));
    one.publish(7, b"new".to_vec(), TTL, s(1)).expect("short");
    transfer(&one, &mut two, 1, s(1));
    let late = stalled
        .updates_since(address(1), 0, s(2), 1000)
        .expect("capacity");
    assert_eq!(two.apply_update(late.clone(), s(2)), Ok(false));
    assert_eq!(bodies(&two, 7, s(2))[0].1, b"new");
    // Nor after the newer one has expired, nor against a later incarnation of its owner.
    two.remove_expired(s(100));
    assert_eq!(two.apply_update(late.clone(), s(100)), Ok(false));
    assert!(bodies(&two, 7, s(100)).is_empty());
    let mut restarted = store(1, 6);
    restarted.increment_heartbeat(s(100));
    restarted
        .publish(7, b"again".to_vec(), TTL, s(0))
        .expect("short");
    transfer(&restarted, &mut two, 1, s(101));
    assert_eq!(two.apply_update(late, s(102)), Ok(false));
    assert_eq!(bodies(&two, 7, s(102))[0].1, b"again");
}

/// A process that starts with no memory, and with a clock behind that of its previous incarnation, learns that others
/// hold something of it and continues with a greater incarnation.
#[test]
fn restarted_process_continues_above_its_previous_incarnation() {
    let (mut before, mut other) = (store(1, 9), store(2, 5));
    before
        .publish(7, b"before".to_vec(), TTL, s(0))
        .expect("short");
    transfer(&before, &mut other, 1, s(0));
    let mut now = store(1, 4);
    now.publish(7, b"now".to_vec(), TTL, s(0)).expect("short");
    let digest = other.owners[&address(1)].digest(address(1), s(1));
    assert_eq!(
        now.apply_digest(&digest, s(1)),
        Comparison::Ahead {
            incarnation: 10,
            since_version: 0
        }
    );
    transfer(&now, &mut other, 1, s(1));
    assert_eq!(bodies(&other, 7, s(1))[0].1, b"now");
}

#[derive(Debug, Deserialize, PartialEq)]
struct Load {
    load: u32,
}

/// Records of newer processes: unknown kinds are held and passed on, unknown object members are ignored, what can't be
/// decoded is counted.
#[test]
fn records_of_a_newer_version_are_tolerated() {
    let (mut new, mut old, mut third) = (store(1, 5), store(2, 5), store(3, 5));
    new.publish(7, br#"{"load":3,"mood":"fine"}"#.to_vec(), TTL, s(0))
        .expect("short");
    new.publish(900, b"odd".to_vec(), TTL, s(0)).expect("short");
    transfer(&new, &mut old, 1, s(0));
    old.publish(7, br#"{"load":4}"#.to_vec(), TTL, s(0))
        .expect("short");
    transfer(&old, &mut third, 1, s(0));
    transfer(&old, &mut third, 2, s(0));
    third
        .publish(7, br#"{"load":"none"}"#.to_vec(), TTL, s(0))
        .expect("short");
    let decoded = third.view(s(0)).decode::<Load>(7);
    let loads: Vec<u32> = decoded
        .records
        .iter()
        .map(|record| record.body.load)
        .collect();
    assert_eq!((loads, decoded.unreadable), (vec![3, 4], 1));
    assert_eq!(bodies(&third, 900, s(0)), [(1, b"odd".to_vec(), 0)]);
}

#[test_case(MAX_BODY_BYTES + 1, 0 => Err(PublishError::TooLong { bytes: MAX_BODY_BYTES + 1, max: MAX_BODY_BYTES }) ; "too long")]
#[test_case(3, MAX_KINDS => Err(PublishError::TooManyKinds(MAX_KINDS)) ; "too many kinds")]
#[test_case(0, 2 => Ok(None) ; "nothing to withdraw")]
#[test_case(MAX_BODY_BYTES, 2 => Ok(Some(3)) ; "maximum length")]
fn published_records_are_bounded(bytes: usize, kinds: usize) -> Result<Option<u64>, PublishError> {
    let mut one = store(1, 5);
    for kind in 0..kinds {
        one.publish(kind as Kind, vec![1], TTL, s(0))
            .expect("capacity");
    }
    one.publish(500, vec![0; bytes], TTL, s(0))
}

/// Many owners and long records: digest lists continue where the last one ended, records go in several updates.
#[test]
fn lists_larger_than_one_datagram_are_sent_in_parts() {
    let (mut one, mut two) = (store(1, 5), store(2, 5));
    for kind in 0..10 {
        one.publish(kind, vec![kind as u8; 800], TTL, s(0))
            .expect("short");
    }
    transfer(&one, &mut two, 1, s(0));
    assert_eq!(two.owners[&address(1)].records.len(), 10);
    for port in 10..300 {
        let other = store(port, 5);
        two.apply_update(
            other
                .updates_since(address(port), 0, s(0), 1000)
                .expect("capacity"),
            s(0),
        )
        .expect("capacity");
    }
    let mut seen = std::collections::BTreeSet::new();
    for _ in 0..8 {
        let digests = two.digests(s(0), 1000);
        assert!(
            digests.iter().map(Digest::max_encoded_bytes).sum::<usize>() <= 1000
                && digests[0].owner == address(2)
        );
        seen.extend(digests.iter().map(|digest| digest.owner));
    }
    assert_eq!(seen.len(), two.owners.len());
}

/// An update with the record of the process at `port`.
fn update_of(port: u16) -> RecordsUpdate {
    let mut one = store(port, 5);
    one.publish(7, port.to_be_bytes().to_vec(), TTL, s(0))
        .expect("short");
    one.updates_since(address(port), 0, s(0), 1000)
        .expect("capacity")
}

/// A process of a large fleet holds a record of each other one.
#[test]
fn all_records_of_a_large_fleet_are_held() {
    const LIMITERS: u16 = 2300;
    let own = Member {
        address: address(1),
        incarnation: 5,
    };
    let mut records = RecordStore::new(own, Capacity::for_limiters(LIMITERS.into()).owners);
    for port in 2..=LIMITERS {
        assert_eq!(
            records.apply_update(update_of(port), s(0)),
            Ok(true),
            "{port}"
        );
    }
    assert_eq!(bodies(&records, 7, s(0)).len(), usize::from(LIMITERS) - 1);
}

/// One owner too many is refused with its own reason and nothing is requested of it; what is held stays, and once an
/// owner is forgotten the new one is accepted.
#[test]
fn owner_above_capacity_is_refused_and_held_records_stay() {
    let mut records = RecordStore::new(
        Member {
            address: address(1),
            incarnation: 5,
        },
        3,
    );
    for port in [2, 3] {
        assert_eq!(records.apply_update(update_of(port), s(0)), Ok(true));
    }
    let held = bodies(&records, 7, s(0));
    assert_eq!(
        records.apply_update(update_of(4), s(0)),
        Err(DropReason::OwnersAtCapacity)
    );
    assert_eq!(
        records.apply_digest(&update_of(4).digest, s(0)),
        Comparison::AtCapacity
    );
    assert_eq!(bodies(&records, 7, s(0)), held);
    assert_eq!(
        records.apply_digest(&update_of(3).digest, s(0)),
        Comparison::InSync
    );
    let later = VERSION_RETENTION + TTL;
    records.remove_expired(later);
    assert_eq!(records.apply_update(update_of(4), later), Ok(true));
}

/// What happens to three processes: 0 and 1 write and make heartbeats, each passes on what it holds or restarts, and an
/// old update arrives late.
#[derive(Clone, Copy, Debug)]
enum Operation {
    Write(usize, u8),
    Transfer { from: usize, to: usize, of: usize },
    Restart(usize),
    Late { of: usize, to: usize },
}

fn operations() -> impl Strategy<Value = Vec<Operation>> {
    let operation = prop_oneof![
        (0..2usize, 1u8..).prop_map(|(who, what)| Operation::Write(who, what)),
        (0..3usize, 0..3usize, 0..2usize).prop_map(|(from, to, of)| Operation::Transfer {
            from,
            to,
            of
        }),
        (0..3usize).prop_map(Operation::Restart),
        (0..2usize, 0..3usize).prop_map(|(of, to)| Operation::Late { of, to }),
    ];
    proptest::collection::vec(operation, 1..60)
}

proptest! {
    /// Whatever is lost, late, repeated or sent by a restarted process: no copy returns to an earlier version, no copy is
    /// younger than its owner's last heartbeat, and once all updates have arrived all processes hold the same.
    #[test]
    fn copies_never_return_to_an_earlier_version(operations in operations()) {
        let mut incarnations = [5u64; 3];
        let mut all: Vec<RecordStore> = (0..3).map(|i| store(i as u16, 5)).collect();
        let mut kept: Vec<(Duration, RecordsUpdate)> = Vec::new();
        // A delayed update makes its receiver underestimate the age by the delay; signatures bound it.
        let mut delays = [Duration::ZERO; 3];
        // What each owner wrote, in order, and how far each holder was in it.
        let mut written: [Vec<u8>; 2] = Default::default();
        let mut reached = [[0usize; 2]; 3];
        // A write is a heartbeat: a copy of the version before it is at least that old.
        let written_at = |written: &[Vec<u8>; 2], of: usize, index: usize| written[of].get(index).map(|&n| s(n.into()));
        for (i, operation) in operations.into_iter().enumerate() {
            let now = s(i as u64);
            match operation {
                Operation::Write(who, what) => {
                    let what = vec![what, i as u8];
                    written[who].push(i as u8);
                    all[who].publish(1, what, TTL * 100, now).expect("short");
                    all[who].increment_heartbeat(now);
                }
                Operation::Transfer { from, to, of } if from != to => {
                    if let Some(update) = all[from].updates_since(address(of as u16), 0, now, 1000) {
                        delays[to] = delays[to].max(delays[from]);
                        kept.push((now, update.clone()));
                        all[to].apply_update(update, now).expect("capacity");
                    }
                }
                Operation::Late { of, to } => {
                    if let Some((sent, update)) = kept.iter().find(|(_, update)| update.digest.owner == address(of as u16)) {
                        delays[to] = delays[to].max(now.checked_sub(*sent).unwrap());
                        all[to].apply_update(update.clone(), now).expect("capacity");
                    }
                }
                Operation::Restart(who) => {
                    incarnations[who] += 1;
                    all[who] = store(who as u16, incarnations[who].max(all[who].own().incarnation + 1));
                    // With no memory a holder may receive an older copy again, but an owner never one of its own records.
                    reached[who] = [0; 2];
                    if who < 2 {
                        written[who].push(i as u8);
                        all[who].publish(1, vec![0, i as u8], TTL * 100, now).expect("short");
                        all[who].increment_heartbeat(now);
                    }
                }
                Operation::Transfer { .. } => {}
            }
            for (holder, records) in all.iter().enumerate() {
                for held in records.view(now).raw(1) {
                    let of = usize::from(held.owner.address.port());
                    let index = written[of].iter().rposition(|&n| n == held.body[1]).expect("written");
                    prop_assert!(index >= reached[holder][of], "{holder} returned to an earlier version of {of}");
                    reached[holder][of] = index;
                    if let Some(next) = written_at(&written, of, index + 1) {
                        prop_assert!(held.age + delays[holder] >= now.checked_sub(next).unwrap(), "{holder} underestimates the age of {of}");
                    }
                }
            }
        }
        let end = s(100);
        for of in 0..2u16 {
            all[usize::from(of)].publish(1, vec![9, 255], TTL * 100, end).expect("short");
            for to in 0..3usize {
                if to != usize::from(of) {
                    let update = all[usize::from(of)].updates_since(address(of), 0, end, 1000).expect("capacity");
                    all[to].apply_update(update, end).expect("capacity");
                    let held = all[to].view(end).raw(1).find(|held| held.owner.address == address(of));
                    prop_assert_eq!(held.map(|held| held.body.to_vec()), Some(vec![9, 255]));
                }
            }
        }
    }
}
