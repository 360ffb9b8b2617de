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

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

const TTL: Duration = Duration::from_secs(30);

/// Transfers all records of the owner at port `owner` that `from` holds to `to`, in as many updates as necessary.
fn transfer(from: &RecordStore, to: &mut RecordStore, owner: u16, now: Duration) {
    for _ in 0..20 {
        let since_version = match to.owners.get(&address(owner)) {
            Some(held) if held.incarnation == from.owners[&address(owner)].incarnation => {
                held.max_version
            }
            _ => 0,
        };
        let Some(update) = from.updates_since(address(owner), since_version, now, 1000) else {
            return;
        };
        let is_complete = update.digest.max_version >= from.owners[&address(owner)].max_version;
        to.apply_update(update, now).expect("capacity");
        if is_complete {
            return;
        }
    }
}

/// The owner's port, the body, and the age in seconds of each record of a kind.
fn bodies(records: &RecordStore, kind: Kind, now: Duration) -> Vec<(u16, Vec<u8>, u64)> {
    records
        .view(now)
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
    let (mut owner, mut first_holder, mut second_holder) = (store(1, 5), store(2, 5), store(3, 5));
    owner
        .publish(7, b"a".to_vec(), TTL, seconds(0))
        .expect("short");
    owner.increment_heartbeat(seconds(0));
    transfer(&owner, &mut first_holder, 1, seconds(1));
    // Ten seconds later a process that has received no newer heartbeat sends the record to one with another clock.
    let update = first_holder
        .updates_since(address(1), 0, seconds(11), 1000)
        .expect("capacity");
    second_holder
        .apply_update(update, seconds(500))
        .expect("capacity");
    assert_eq!(
        bodies(&second_holder, 7, seconds(500)),
        [(1, b"a".to_vec(), 11)]
    );
    // The owner's next heartbeat confirms the record; without another heartbeat it expires after its TTL.
    owner.increment_heartbeat(seconds(12));
    let digest = owner.owners[&address(1)].digest(address(1), seconds(12));
    assert_eq!(
        second_holder.apply_digest(&digest, seconds(503)),
        Comparison::InSync
    );
    assert_eq!(
        bodies(&second_holder, 7, seconds(503)),
        [(1, b"a".to_vec(), 0)]
    );
    assert!(bodies(&second_holder, 7, seconds(534)).is_empty());
    second_holder.remove_expired(seconds(534));
    assert!(second_holder.owners[&address(1)].records.is_empty());
}

/// A stalled process sends an older version late. Others that hold or held a newer one must not accept it.
#[test]
fn late_copy_does_not_replace_a_newer_version() {
    let (mut owner, mut holder, mut stalled) = (store(1, 5), store(2, 5), store(3, 5));
    owner
        .publish(7, b"old".to_vec(), TTL, seconds(0))
        .expect("short");
    transfer(&owner, &mut holder, 1, seconds(0));
    transfer(&owner, &mut stalled, 1, seconds(0));
    owner
        .publish(7, b"new".to_vec(), TTL, seconds(1))
        .expect("short");
    transfer(&owner, &mut holder, 1, seconds(1));
    let late = stalled
        .updates_since(address(1), 0, seconds(2), 1000)
        .expect("capacity");
    assert_eq!(holder.apply_update(late.clone(), seconds(2)), Ok(false));
    assert_eq!(bodies(&holder, 7, seconds(2))[0].1, b"new");
    // The old version is not accepted after the newer one has expired either, nor after the owner has restarted.
    holder.remove_expired(seconds(100));
    assert_eq!(holder.apply_update(late.clone(), seconds(100)), Ok(false));
    assert!(bodies(&holder, 7, seconds(100)).is_empty());
    let mut restarted = store(1, 6);
    restarted.increment_heartbeat(seconds(100));
    restarted
        .publish(7, b"again".to_vec(), TTL, seconds(0))
        .expect("short");
    transfer(&restarted, &mut holder, 1, seconds(101));
    assert_eq!(holder.apply_update(late, seconds(102)), Ok(false));
    assert_eq!(bodies(&holder, 7, seconds(102))[0].1, b"again");
}

/// A process restarts without memory, and its clock is behind that of its previous incarnation. It learns from a digest
/// that others hold records of that incarnation, and continues under a greater one.
#[test]
fn restarted_process_continues_above_its_previous_incarnation() {
    let (mut previous, mut holder) = (store(1, 9), store(2, 5));
    previous
        .publish(7, b"before".to_vec(), TTL, seconds(0))
        .expect("short");
    transfer(&previous, &mut holder, 1, seconds(0));
    let mut restarted = store(1, 4);
    restarted
        .publish(7, b"now".to_vec(), TTL, seconds(0))
        .expect("short");
    let digest = holder.owners[&address(1)].digest(address(1), seconds(1));
    assert_eq!(
        restarted.apply_digest(&digest, seconds(1)),
        Comparison::Ahead {
            incarnation: 10,
            since_version: 0
        }
    );
    transfer(&restarted, &mut holder, 1, seconds(1));
    assert_eq!(bodies(&holder, 7, seconds(1))[0].1, b"now");
}

#[derive(Debug, Deserialize, PartialEq)]
struct Load {
    load: u32,
}

/// Records of newer processes: unknown kinds are held and passed on, unknown object members are ignored, and records
/// that can't be decoded are counted.
#[test]
fn records_of_a_newer_version_are_tolerated() {
    let (mut new, mut old, mut third) = (store(1, 5), store(2, 5), store(3, 5));
    new.publish(7, br#"{"load":3,"mood":"fine"}"#.to_vec(), TTL, seconds(0))
        .expect("short");
    new.publish(900, b"odd".to_vec(), TTL, seconds(0))
        .expect("short");
    transfer(&new, &mut old, 1, seconds(0));
    old.publish(7, br#"{"load":4}"#.to_vec(), TTL, seconds(0))
        .expect("short");
    transfer(&old, &mut third, 1, seconds(0));
    transfer(&old, &mut third, 2, seconds(0));
    third
        .publish(7, br#"{"load":"none"}"#.to_vec(), TTL, seconds(0))
        .expect("short");
    let decoded = third.view(seconds(0)).decode::<Load>(7);
    let loads: Vec<u32> = decoded
        .records
        .iter()
        .map(|record| record.body.load)
        .collect();
    assert_eq!((loads, decoded.unreadable), (vec![3, 4], 1));
    assert_eq!(bodies(&third, 900, seconds(0)), [(1, b"odd".to_vec(), 0)]);
}

#[test_case(MAX_BODY_BYTES + 1, 0 => Err(PublishError::TooLong { bytes: MAX_BODY_BYTES + 1, max: MAX_BODY_BYTES }) ; "too long")]
#[test_case(3, MAX_KINDS => Err(PublishError::TooManyKinds(MAX_KINDS)) ; "too many kinds")]
#[test_case(0, 2 => Ok(None) ; "nothing to withdraw")]
#[test_case(MAX_BODY_BYTES, 2 => Ok(Some(3)) ; "maximum length")]
fn published_records_are_bounded(bytes: usize, kinds: usize) -> Result<Option<u64>, PublishError> {
    let mut owner = store(1, 5);
    for kind in 0..kinds {
        owner
            .publish(kind as Kind, vec![1], TTL, seconds(0))
            .expect("capacity");
    }
    owner.publish(500, vec![0; bytes], TTL, seconds(0))
}

/// With many owners and long records, a list of digests continues where the last one ended, and records are sent in
/// several updates.
#[test]
fn lists_larger_than_one_datagram_are_sent_in_parts() {
    let (mut owner, mut holder) = (store(1, 5), store(2, 5));
    for kind in 0..10 {
        owner
            .publish(kind, vec![kind as u8; 800], TTL, seconds(0))
            .expect("short");
    }
    transfer(&owner, &mut holder, 1, seconds(0));
    assert_eq!(holder.owners[&address(1)].records.len(), 10);
    for port in 10..300 {
        let other = store(port, 5);
        holder
            .apply_update(
                other
                    .updates_since(address(port), 0, seconds(0), 1000)
                    .expect("capacity"),
                seconds(0),
            )
            .expect("capacity");
    }
    let mut seen = std::collections::BTreeSet::new();
    for _ in 0..8 {
        let digests = holder.digests(seconds(0), 1000);
        assert!(
            digests.iter().map(Digest::max_encoded_bytes).sum::<usize>() <= 1000
                && digests[0].owner == address(2)
        );
        seen.extend(digests.iter().map(|digest| digest.owner));
    }
    assert_eq!(seen.len(), holder.owners.len());
}

/// An update with one record of the process at `port`.
fn update_of(port: u16) -> RecordsUpdate {
    let mut owner = store(port, 5);
    owner
        .publish(7, port.to_be_bytes().to_vec(), TTL, seconds(0))
        .expect("short");
    owner
        .updates_since(address(port), 0, seconds(0), 1000)
        .expect("capacity")
}

/// A process of a large fleet holds a record of each other process.
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
            records.apply_update(update_of(port), seconds(0)),
            Ok(true),
            "{port}"
        );
    }
    assert_eq!(
        bodies(&records, 7, seconds(0)).len(),
        usize::from(LIMITERS) - 1
    );
}

/// An owner above the capacity is refused with a reason of its own and its records are not requested. The records held
/// stay. Once an owner is removed the new one is accepted.
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
        assert_eq!(records.apply_update(update_of(port), seconds(0)), Ok(true));
    }
    let held = bodies(&records, 7, seconds(0));
    assert_eq!(
        records.apply_update(update_of(4), seconds(0)),
        Err(DropReason::OwnersAtCapacity)
    );
    assert_eq!(
        records.apply_digest(&update_of(4).digest, seconds(0)),
        Comparison::AtCapacity
    );
    assert_eq!(bodies(&records, 7, seconds(0)), held);
    assert_eq!(
        records.apply_digest(&update_of(3).digest, seconds(0)),
        Comparison::InSync
    );
    let later = VERSION_RETENTION + TTL;
    records.remove_expired(later);
    assert_eq!(records.apply_update(update_of(4), later), Ok(true));
}

/// An operation on three processes. Processes 0 and 1 write records and increment their heartbeats, each process may
/// send the records it holds or restart, and an old update may arrive late.
#[derive(Clone, Copy, Debug)]
enum Operation {
    Write(usize, u8),
    Transfer {
        from: usize,
        to: usize,
        owner: usize,
    },
    Restart(usize),
    DeliverOldUpdate {
        owner: usize,
        to: usize,
    },
}

fn operations() -> impl Strategy<Value = Vec<Operation>> {
    let operation = prop_oneof![
        (0..2usize, 1u8..).prop_map(|(process, value)| Operation::Write(process, value)),
        (0..3usize, 0..3usize, 0..2usize).prop_map(|(from, to, owner)| Operation::Transfer {
            from,
            to,
            owner
        }),
        (0..3usize).prop_map(Operation::Restart),
        (0..2usize, 0..3usize).prop_map(|(owner, to)| Operation::DeliverOldUpdate { owner, to }),
    ];
    proptest::collection::vec(operation, 1..60)
}

proptest! {
    /// Updates may be lost, late, repeated or sent by a restarted process. Still no copy returns to an earlier version,
    /// a copy of an earlier version is at least as old as the owner's next write (less the delay of updates), and after
    /// all updates have arrived all processes hold the same records.
    #[test]
    fn copies_never_return_to_an_earlier_version(operations in operations()) {
        let mut incarnations = [5u64; 3];
        let mut stores: Vec<RecordStore> = (0..3).map(|i| store(i as u16, 5)).collect();
        let mut sent_updates: Vec<(Duration, RecordsUpdate)> = Vec::new();
        // A delayed update makes its receiver underestimate the age by the delay, which the check of a datagram's
        // sending time bounds.
        let mut delays = [Duration::ZERO; 3];
        // For each owner the numbers of the operations that wrote its record, and for each holder and owner the index
        // of the newest of them that the holder has held since its start.
        let mut written: [Vec<u8>; 2] = Default::default();
        let mut newest_held = [[0usize; 2]; 3];
        // Each write increments the heartbeat, so a copy of the version before it is at least as old as the write.
        let written_at = |written: &[Vec<u8>; 2], owner: usize, index: usize| written[owner].get(index).map(|&n| seconds(n.into()));
        for (i, operation) in operations.into_iter().enumerate() {
            let now = seconds(i as u64);
            match operation {
                Operation::Write(process, value) => {
                    let body = vec![value, i as u8];
                    written[process].push(i as u8);
                    stores[process].publish(1, body, TTL * 100, now).expect("short");
                    stores[process].increment_heartbeat(now);
                }
                Operation::Transfer { from, to, owner } if from != to => {
                    if let Some(update) = stores[from].updates_since(address(owner as u16), 0, now, 1000) {
                        delays[to] = delays[to].max(delays[from]);
                        sent_updates.push((now, update.clone()));
                        stores[to].apply_update(update, now).expect("capacity");
                    }
                }
                Operation::DeliverOldUpdate { owner, to } => {
                    if let Some((sent_at, update)) = sent_updates.iter().find(|(_, update)| update.digest.owner == address(owner as u16)) {
                        delays[to] = delays[to].max(now.checked_sub(*sent_at).unwrap());
                        stores[to].apply_update(update.clone(), now).expect("capacity");
                    }
                }
                Operation::Restart(process) => {
                    incarnations[process] += 1;
                    stores[process] = store(process as u16, incarnations[process].max(stores[process].own().incarnation + 1));
                    // Without memory a holder may accept an older copy again, but an owner never accepts one of its own
                    // records.
                    newest_held[process] = [0; 2];
                    if process < 2 {
                        written[process].push(i as u8);
                        stores[process].publish(1, vec![0, i as u8], TTL * 100, now).expect("short");
                        stores[process].increment_heartbeat(now);
                    }
                }
                Operation::Transfer { .. } => {}
            }
            for (holder, records) in stores.iter().enumerate() {
                for held in records.view(now).raw(1) {
                    let owner = usize::from(held.owner.address.port());
                    let index = written[owner].iter().rposition(|&n| n == held.body[1]).expect("written");
                    prop_assert!(index >= newest_held[holder][owner], "{holder} returned to an earlier version of {owner}");
                    newest_held[holder][owner] = index;
                    if let Some(next) = written_at(&written, owner, index + 1) {
                        prop_assert!(
                            held.age + delays[holder] >= now.checked_sub(next).unwrap(),
                            "{holder} underestimates the age of {owner}"
                        );
                    }
                }
            }
        }
        let end = seconds(100);
        for owner in 0..2u16 {
            stores[usize::from(owner)].publish(1, vec![9, 255], TTL * 100, end).expect("short");
            for to in 0..3usize {
                if to != usize::from(owner) {
                    let update = stores[usize::from(owner)].updates_since(address(owner), 0, end, 1000).expect("capacity");
                    stores[to].apply_update(update, end).expect("capacity");
                    let held = stores[to].view(end).raw(1).find(|held| held.owner.address == address(owner));
                    prop_assert_eq!(held.map(|held| held.body.to_vec()), Some(vec![9, 255]));
                }
            }
        }
    }
}
