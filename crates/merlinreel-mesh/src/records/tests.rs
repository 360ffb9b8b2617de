use super::*;
use crate::capacity::Capacity;
use proptest::prelude::*;
use serde::Deserialize;
use test_case::test_case;

fn at(port: u16) -> SocketAddrV4 {
    SocketAddrV4::new([127, 0, 0, 1].into(), port)
}

fn process(port: u16, incarnation: u64) -> Records {
    Records::new(
        Member {
            at: at(port),
            incarnation,
        },
        Capacity::for_limiters(3).owners,
    )
}

fn s(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

const LIFE: Duration = Duration::from_secs(30);

/// All that `from` holds of `of` goes to `to`, in as many pieces as it takes.
fn pass(from: &Records, to: &mut Records, of: u16, now: Duration) {
    for _ in 0..20 {
        let above = match to.owners.get(&at(of)) {
            Some(owner) if owner.incarnation == from.owners[&at(of)].incarnation => owner.top,
            _ => 0,
        };
        let Some(telling) = from.tell(at(of), above, now, 1000) else {
            return;
        };
        let over = telling.stamp.top >= from.owners[&at(of)].top;
        to.take(telling, now).expect("room");
        if over {
            return;
        }
    }
}

fn bodies(of: &Records, kind: Kind, now: Duration) -> Vec<(u16, Vec<u8>, u64)> {
    of.view(now)
        .raw(kind)
        .map(|held| (held.owner.at.port(), held.body.to_vec(), held.age.as_secs()))
        .collect()
}

#[test]
fn a_record_is_passed_on_by_who_has_it_and_grows_no_younger() {
    let (mut one, mut two, mut three) = (process(1, 5), process(2, 5), process(3, 5));
    one.publish(7, b"a".to_vec(), LIFE, s(0)).expect("short");
    one.beat(s(0));
    pass(&one, &mut two, 1, s(1));
    // Ten seconds later, at a process whose clock shows something else, from one that heard nothing since.
    let told = two.tell(at(1), 0, s(11), 1000).expect("room");
    three.take(told, s(500)).expect("room");
    assert_eq!(bodies(&three, 7, s(500)), [(1, b"a".to_vec(), 11)]);
    // Its owner's next beat, over the same way, makes it young again; without one it is let go of after its time.
    one.beat(s(12));
    let stamp = one.owners[&at(1)].stamp(at(1), s(12));
    assert_eq!(three.hear(&stamp, s(503)), Lead::Level);
    assert_eq!(bodies(&three, 7, s(503)), [(1, b"a".to_vec(), 0)]);
    assert!(bodies(&three, 7, s(534)).is_empty());
    three.tidy(s(534));
    assert!(three.owners[&at(1)].rows.is_empty());
}

/// Guards against a late copy: whoever was away comes back with what was true before.
#[test]
fn a_process_that_was_away_brings_nothing_older_back() {
    let (mut one, mut two, mut away) = (process(1, 5), process(2, 5), process(3, 5));
    one.publish(7, b"old".to_vec(), LIFE, s(0)).expect("short");
    pass(&one, &mut two, 1, s(0));
    pass(&one, &mut away, 1, s(0));
    one.publish(7, b"new".to_vec(), LIFE, s(1)).expect("short");
    pass(&one, &mut two, 1, s(1));
    let late = away.tell(at(1), 0, s(2), 1000).expect("room");
    assert_eq!(two.take(late.clone(), s(2)), Ok(false));
    assert_eq!(bodies(&two, 7, s(2))[0].1, b"new");
    // Nor once the newer one was let go of, nor against a later life of its owner.
    two.tidy(s(100));
    assert_eq!(two.take(late.clone(), s(100)), Ok(false));
    assert!(bodies(&two, 7, s(100)).is_empty());
    let mut again = process(1, 6);
    again.beat(s(100));
    again
        .publish(7, b"again".to_vec(), LIFE, s(0))
        .expect("short");
    pass(&again, &mut two, 1, s(101));
    assert_eq!(two.take(late, s(102)), Ok(false));
    assert_eq!(bodies(&two, 7, s(102))[0].1, b"again");
}

/// A process that starts with no memory, and even with a clock behind its last life's, learns that others hold
/// something of it and goes on above that.
#[test]
fn a_process_with_no_memory_goes_on_above_its_last_life() {
    let (mut before, mut other) = (process(1, 9), process(2, 5));
    before
        .publish(7, b"before".to_vec(), LIFE, s(0))
        .expect("short");
    pass(&before, &mut other, 1, s(0));
    let mut now = process(1, 4);
    now.publish(7, b"now".to_vec(), LIFE, s(0)).expect("short");
    let stamp = other.owners[&at(1)].stamp(at(1), s(1));
    assert_eq!(
        now.hear(&stamp, s(1)),
        Lead::Ours {
            incarnation: 10,
            above: 0
        }
    );
    pass(&now, &mut other, 1, s(1));
    assert_eq!(bodies(&other, 7, s(1))[0].1, b"now");
}

#[derive(Debug, Deserialize, PartialEq)]
struct Known {
    load: u32,
}

/// Records of newer processes: other kinds are held and passed on, other fields have no meaning, what can't be read
/// is counted and harms no other.
#[test]
fn what_a_newer_process_tells_does_no_harm() {
    let (mut new, mut old, mut third) = (process(1, 5), process(2, 5), process(3, 5));
    new.publish(7, br#"{"load":3,"mood":"fine"}"#.to_vec(), LIFE, s(0))
        .expect("short");
    new.publish(900, b"odd".to_vec(), LIFE, s(0))
        .expect("short");
    pass(&new, &mut old, 1, s(0));
    old.publish(7, br#"{"load":4}"#.to_vec(), LIFE, s(0))
        .expect("short");
    pass(&old, &mut third, 1, s(0));
    pass(&old, &mut third, 2, s(0));
    third
        .publish(7, br#"{"load":"none"}"#.to_vec(), LIFE, s(0))
        .expect("short");
    let (read, unread) = third.view(s(0)).read::<Known>(7);
    assert_eq!(
        (
            read.iter().map(|held| held.body.load).collect::<Vec<_>>(),
            unread
        ),
        (vec![3, 4], 1)
    );
    assert_eq!(bodies(&third, 900, s(0)), [(1, b"odd".to_vec(), 0)]);
}

#[test_case(MOST_RECORD + 1, 0 => Err(PublishError::TooLong { bytes: MOST_RECORD + 1, most: MOST_RECORD }) ; "too long")]
#[test_case(3, MOST_KINDS => Err(PublishError::TooMany(MOST_KINDS)) ; "too many kinds")]
#[test_case(0, 2 => Ok(None) ; "nothing to take back")]
#[test_case(MOST_RECORD, 2 => Ok(Some(3)) ; "as long as it may be")]
fn what_a_process_tells_is_bounded(
    bytes: usize,
    kinds: usize,
) -> Result<Option<u64>, PublishError> {
    let mut one = process(1, 5);
    for kind in 0..kinds {
        one.publish(kind as Kind, vec![1], LIFE, s(0))
            .expect("room");
    }
    one.publish(500, vec![0; bytes], LIFE, s(0))
}

/// Many processes and long records: lists go round in turn, records in pieces.
#[test]
fn what_does_not_fit_goes_in_turn() {
    let (mut one, mut two) = (process(1, 5), process(2, 5));
    for kind in 0..10 {
        one.publish(kind, vec![kind as u8; 800], LIFE, s(0))
            .expect("short");
    }
    pass(&one, &mut two, 1, s(0));
    assert_eq!(two.owners[&at(1)].rows.len(), 10);
    for port in 10..300 {
        let other = process(port, 5);
        two.take(other.tell(at(port), 0, s(0), 1000).expect("room"), s(0))
            .expect("room");
    }
    let mut seen = std::collections::BTreeSet::new();
    for _ in 0..8 {
        let stamps = two.stamps(s(0), 1000);
        assert!(
            stamps.iter().map(Stamp::wire_bytes).sum::<usize>() <= 1000 && stamps[0].at == at(2)
        );
        seen.extend(stamps.iter().map(|stamp| stamp.at));
    }
    assert_eq!(seen.len(), two.owners.len());
}

/// What `port` tells of itself, for another process to take.
fn told_by(port: u16) -> Telling {
    let mut one = process(port, 5);
    one.publish(7, port.to_be_bytes().to_vec(), LIFE, s(0))
        .expect("short");
    one.tell(at(port), 0, s(0), 1000).expect("room")
}

/// A process of a large fleet holds a record of each other one.
#[test]
fn a_large_fleet_is_held_whole() {
    const LIMITERS: u16 = 2300;
    let own = Member {
        at: at(1),
        incarnation: 5,
    };
    let mut records = Records::new(own, Capacity::for_limiters(LIMITERS.into()).owners);
    for port in 2..=LIMITERS {
        assert_eq!(records.take(told_by(port), s(0)), Ok(true), "{port}");
    }
    assert_eq!(bodies(&records, 7, s(0)).len(), usize::from(LIMITERS) - 1);
}

/// One process too many is refused by name and not asked for; what is held stands and goes on, and once a place is
/// free the newcomer gets it.
#[test]
fn a_process_beyond_the_bound_harms_nothing_that_is_held() {
    let mut records = Records::new(
        Member {
            at: at(1),
            incarnation: 5,
        },
        3,
    );
    for port in [2, 3] {
        assert_eq!(records.take(told_by(port), s(0)), Ok(true));
    }
    let held = bodies(&records, 7, s(0));
    assert_eq!(records.take(told_by(4), s(0)), Err(Dropped::OwnersFull));
    assert_eq!(records.hear(&told_by(4).stamp, s(0)), Lead::NoRoom);
    assert_eq!(bodies(&records, 7, s(0)), held);
    assert_eq!(records.hear(&told_by(3).stamp, s(0)), Lead::Level);
    let later = FLOOR_MEMORY + LIFE;
    records.tidy(later);
    assert_eq!(records.take(told_by(4), later), Ok(true));
}

/// What three processes do to one another: 0 and 1 write and beat, all pass on what they hold, or lose it, or start
/// again.
#[derive(Clone, Copy, Debug)]
enum Deed {
    Write(usize, u8),
    Pass { from: usize, to: usize, of: usize },
    Restart(usize),
    Late { of: usize, to: usize },
}

fn deeds() -> impl Strategy<Value = Vec<Deed>> {
    let deed = prop_oneof![
        (0..2usize, 1u8..).prop_map(|(who, what)| Deed::Write(who, what)),
        (0..3usize, 0..3usize, 0..2usize).prop_map(|(from, to, of)| Deed::Pass { from, to, of }),
        (0..3usize).prop_map(Deed::Restart),
        (0..2usize, 0..3usize).prop_map(|(of, to)| Deed::Late { of, to }),
    ];
    proptest::collection::vec(deed, 1..60)
}

proptest! {
    /// Whatever is lost, late, told twice or told by a process that started again: nobody's copy goes back to what its
    /// owner wrote before, no copy is younger than its owner's last beat, and once all is passed on all hold the same.
    #[test]
    fn copies_only_go_forward(deeds in deeds()) {
        let mut lives = [5u64; 3];
        let mut all: Vec<Records> = (0..3).map(|i| process(i as u16, 5)).collect();
        let mut kept: Vec<(Duration, Telling)> = Vec::new();
        // What the network holds back is younger by that much to who gets it; signatures bound that time.
        let mut held_back = [Duration::ZERO; 3];
        // What each owner wrote, in order; where each holder was in it.
        let mut written: [Vec<u8>; 2] = Default::default();
        let mut reached = [[0usize; 2]; 3];
        // A write is a beat: a copy of what was before is as old as that at least.
        let at_place = |written: &[Vec<u8>; 2], of: usize, place: usize| written[of].get(place).map(|&n| s(n.into()));
        for (i, deed) in deeds.into_iter().enumerate() {
            let now = s(i as u64);
            match deed {
                Deed::Write(who, what) => {
                    let what = vec![what, i as u8];
                    written[who].push(i as u8);
                    all[who].publish(1, what, LIFE * 100, now).expect("short");
                    all[who].beat(now);
                }
                Deed::Pass { from, to, of } if from != to => {
                    if let Some(told) = all[from].tell(at(of as u16), 0, now, 1000) {
                        held_back[to] = held_back[to].max(held_back[from]);
                        kept.push((now, told.clone()));
                        all[to].take(told, now).expect("room");
                    }
                }
                Deed::Late { of, to } => {
                    if let Some((sent, told)) = kept.iter().find(|(_, told)| told.stamp.at == at(of as u16)) {
                        held_back[to] = held_back[to].max(now - *sent);
                        all[to].take(told.clone(), now).expect("room");
                    }
                }
                Deed::Restart(who) => {
                    lives[who] += 1;
                    all[who] = process(who as u16, lives[who].max(all[who].own().incarnation + 1));
                    // With no memory it may be told an older copy again, never an owner of itself.
                    reached[who] = [0; 2];
                    if who < 2 {
                        written[who].push(i as u8);
                        all[who].publish(1, vec![0, i as u8], LIFE * 100, now).expect("short");
                        all[who].beat(now);
                    }
                }
                Deed::Pass { .. } => {}
            }
            for (holder, records) in all.iter().enumerate() {
                for held in records.view(now).raw(1) {
                    let of = usize::from(held.owner.at.port());
                    let place = written[of].iter().rposition(|&n| n == held.body[1]).expect("written");
                    prop_assert!(place >= reached[holder][of], "{holder} went back on {of}");
                    reached[holder][of] = place;
                    if let Some(next) = at_place(&written, of, place + 1) {
                        prop_assert!(held.age + held_back[holder] >= now - next, "{holder} holds {of} for too young");
                    }
                }
            }
        }
        let end = s(100);
        for of in 0..2u16 {
            all[usize::from(of)].publish(1, vec![9, 255], LIFE * 100, end).expect("short");
            for to in 0..3usize {
                if to != usize::from(of) {
                    let told = all[usize::from(of)].tell(at(of), 0, end, 1000).expect("room");
                    all[to].take(told, end).expect("room");
                    let held = all[to].view(end).raw(1).find(|held| held.owner.at == at(of));
                    prop_assert_eq!(held.map(|held| held.body.to_vec()), Some(vec![9, 255]));
                }
            }
        }
    }
}
