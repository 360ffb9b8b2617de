//! Quotas where limiters are too many to tell each other in time, and one of a set gathers the counts.

use super::*;
use test_case::test_case;

#[test_case(8.0, 1.0 => 1.0 ; "a full store admits")]
#[test_case(8.0 / 3.0, 2.0 => 1.0 ; "so does a third of it where no more is asked than comes back")]
#[test_case(8.0 / 3.0, 8.0 => 0.25 ; "four times as much asked, a quarter admitted")]
#[test_case(-1.0, 2.0 => 0.0 ; "nothing left")]
fn chance_where_one_gathers(left: f64, pace: f64) -> f64 {
    draw(left, pace, &plan())
}

#[test_case(2.0 => 10.0 ; "thirty units within three seconds")]
#[test_case(6.0 => 0.0 ; "a burst is soon forgotten")]
fn units_asked_for_of_late(read_at: f64) -> f64 {
    let mut account = Account::new(5, 0, &plan(), many(), at(1.0), ASKED_OVER);
    account.asked_units.add(at(1.0), 30.0);
    account.asked(at(read_at), ASKED_OVER)
}

#[test_case(4 => true ; "some peer messages are lost")]
#[test_case(5 => false ; "five unanswered are silence: the next of the set gathers")]
fn gathering_limiter(unanswered: u32) -> bool {
    let mut account = Account::new(5, 0, &plan(), many(), at(1.0), ASKED_OVER);
    (account.set_size, account.set_first) = (40, 50);
    let first = account.gatherer(many(), &[0; 90]);
    let mut owing = [0; 90];
    owing[first as usize] = unanswered;
    account.gatherer(many(), &owing) == first
}

#[test]
fn where_one_gathers_only_it_is_told() {
    let mut limiter = limiter(Idempotency::Idempotent, many());
    let account = account(&mut limiter);
    (account.set_size, account.set_first) = (60, 1);
    account.add_own(0, 1.0);
    let gatherer = account.gatherer(many(), &[0; 90]);
    let mut notes = Notes::default();
    limiter.sync(at(1.0), &mut notes);
    assert_eq!(
        notes
            .peer_messages
            .iter()
            .map(|peer_message| peer_message.0)
            .collect::<Vec<_>>(),
        [gatherer]
    );
}

/// Where one gathers, a new quota stays split over its set of sixty past a beat, until the gatherer tells
/// what is left: else each of hundreds of limiters would take the whole store.
#[test_case(false => 1 ; "past a beat, no word yet: the first job only")]
#[test_case(true => 4 ; "the gatherer tells a full store: all of them")]
fn jobs_let_in_before_the_gatherers_word(told: bool) -> usize {
    let (mut limiter, mut notes) = (limiter(Idempotency::Idempotent, many()), Notes::default());
    let request = |n: u32| Request {
        id: n,
        set_size: 60,
        set_first: 1,
        ..request()
    };
    limiter.take(at(1.0), &request(0), &mut notes);
    let word = peer_message(
        1,
        1,
        &[CounterRow {
            demand: Some(1.0),
            ..row(0.0, Some(8.0))
        }],
    );
    let from = limiter.accounts[0].gatherer(many(), &[0; 90]);
    told.then(|| limiter.read_peer_message(at(1.2), &PeerMessage { from, ..word }));
    (1..4).for_each(|n| limiter.take(at(1.5), &request(n), &mut notes));
    4 - notes
        .lines
        .iter()
        .filter(|line| line.starts_with("refuse"))
        .count()
}

#[test]
fn who_reports_is_told_what_is_left() {
    let mut limiter = limiter(Idempotency::Idempotent, many());
    let report = CounterRow {
        demand: Some(6.0),
        ..row(3.0, None)
    };
    limiter.read_peer_message(at(1.0), &peer_message(1, 1, &[report]));
    let mut notes = Notes::default();
    limiter.sync(at(1.0), &mut notes);
    let rows = peer_batch::decode(&notes.peer_messages[0].1)
        .map(|peer_message| peer_message.1)
        .unwrap_or_default();
    assert_eq!(
        (notes.peer_messages[0].0, rows[0].total, rows[0].remaining),
        (1, 3.0, Some(5.0))
    );
}

/// Peer messages to a limiter that reports again a little later: none where it was told all that changed, as each of
/// hundreds of reports would else draw an answer and those that matter wait; one where much more is asked for.
#[test_case(0.0 => 0 ; "nothing changed")]
#[test_case(60.0 => 1 ; "far more is asked for")]
fn a_second_report(asked: f64) -> usize {
    let mut limiter = limiter(Idempotency::Idempotent, many());
    let mut notes = Notes::default();
    for (number, when, asked) in [(1, 1.0, 6.0), (2, 1.5, asked)] {
        notes.peer_messages.clear();
        let report = CounterRow {
            demand: Some(asked),
            ..row(3.0, None)
        };
        limiter.read_peer_message(at(when), &peer_message(1, number, &[report]));
        limiter.sync(at(when), &mut notes);
    }
    notes.peer_messages.len()
}

/// Whether one that only refuses reports again after so long: the gatherer's inbox takes 40 a second, and a quarter of
/// that is for such. Guards the reports that matter against those of a set of hundreds.
#[test_case(60, 40.0, 5.0 => false ; "not yet in a set of sixty")]
#[test_case(60, 40.0, 7.0 => true ; "then it does")]
#[test_case(20, 40.0, 5.0 => true ; "sooner in a smaller set")]
#[test_case(60, 0.0, 7.0 => false ; "an inbox that takes nothing is none to divide by")]
fn asking_again(set_size: u32, peer_inbox_rate: f64, after: f64) -> bool {
    let mut limiter = limiter(
        Idempotency::Idempotent,
        FleetConfig {
            peer_inbox_rate,
            ..many()
        },
    );
    let account = account(&mut limiter);
    account.roll(at(10.0), &plan());
    (account.set_size, account.set_first, account.due[0]) = (set_size, 1, true);
    account.asked_at = at(10.0 - after);
    let mut notes = Notes::default();
    limiter.sync(at(10.0), &mut notes);
    !notes.peer_messages.is_empty()
}

/// Peer messages in one beat of a gatherer that owes thirty limiters its word: four times its even share of the fleet's
/// peer messages, else its word comes seconds late; its even share while inboxes, its own the sample, fill with such.
#[test_case(0.0 => 12 ; "inboxes have room")]
#[test_case(20.0 => 3 ; "inboxes fill")]
fn messages_in_a_beat(words: f64) -> usize {
    let mut limiter = limiter(Idempotency::Idempotent, many());
    let report = CounterRow {
        demand: Some(6.0),
        ..row(3.0, None)
    };
    (1..31).for_each(|from| {
        limiter.read_peer_message(
            at(1.0),
            &PeerMessage {
                from,
                ..peer_message(1, 1, &[report])
            },
        )
    });
    limiter.word.add(at(1.0), words);
    let mut notes = Notes::default();
    limiter.sync(at(1.0), &mut notes);
    notes.peer_messages.len()
}

#[test_case(0, 2.0 ; "its reading less what it was not told yet")]
#[test_case(5, 5.0 ; "one that does not gather is not heeded")]
fn reading_the_gatherer(first: u32, left: f64) {
    let mut limiter = limiter(Idempotency::Idempotent, many());
    let account = account(&mut limiter);
    (account.set_size, account.set_first, account.own[0]) = (1, 1 + first, 3.0);
    let told = CounterRow {
        demand: Some(6.0),
        ..row(2.0, Some(3.0))
    };
    limiter.read_peer_message(at(1.0), &peer_message(1, 1, &[told]));
    assert!((limiter.accounts[0].left(at(1.0), &plan()) - left).abs() < 1e-6);
}

/// A limiter that knows nothing of a customer yet, told that its store is empty by one that does not gather for it.
/// Guards against hundreds of limiters that each let in a first job of a quota used up long ago.
#[test_case(None => true ; "no word: its first job is let in")]
#[test_case(Some((0.0, 0.5)) => false ; "a reading passed on: the store is empty")]
#[test_case(Some((8.0, 0.5)) => true ; "a reading passed on: the store is full")]
#[test_case(Some((0.0, 6.0)) => true ; "too old to tell anything")]
fn what_is_passed_on_is_heeded(reading: Option<(f64, f64)>) -> bool {
    let (mut limiter, mut notes) = (limiter(Idempotency::Idempotent, many()), Notes::default());
    if let Some((left, age)) = reading {
        let row = CounterRow {
            demand: Some(3.0),
            age: Some(at(age)),
            ..row(0.0, Some(left))
        };
        limiter.read_peer_message(at(10.0), &peer_message(1, 1, &[row]));
    }
    limiter.take(
        at(10.0),
        &Request {
            set_size: 60,
            set_first: 1,
            ..request()
        },
        &mut notes,
    );
    notes.lines.is_empty()
}

/// The newer of two readings holds, whatever order they come in, and the gatherer goes by none but its own.
#[test_case(&[(1, 8.0, 0.1), (2, 0.0, 2.0)], 60 => 8.0 ; "an older one that comes later")]
#[test_case(&[(1, 0.0, 2.0), (2, 8.0, 0.1)], 60 => 8.0 ; "a newer one")]
#[test_case(&[(1, 0.0, 0.1)], 1 => 8.0 ; "at the gatherer")]
fn the_newer_reading_holds(told: &[(u64, f64, f64)], set_size: u32) -> f64 {
    let mut limiter = limiter(Idempotency::Idempotent, many());
    let account = account(&mut limiter);
    (account.set_size, account.set_first) = (set_size, if set_size == 1 { 0 } else { 1 });
    for &(number, left, age) in told {
        let row = CounterRow {
            demand: Some(20.0),
            age: Some(at(age)),
            ..row(0.0, Some(left))
        };
        limiter.read_peer_message(at(3.0), &peer_message(1, number, &[row]));
    }
    limiter.accounts[0].left(at(3.0), &plan())
}

/// The gatherer of a customer that asks for ten times its quota tells so in a peer message that is about another one, to a
/// limiter that never asked; of one that asks little it tells nobody else.
#[test_case(60.0 => 1 ; "one that asks much")]
#[test_case(0.5 => 0 ; "one that asks little")]
fn peer_messages_pass_on_who_is_pressed(asked: f64) -> usize {
    let mut limiter = limiter(Idempotency::Idempotent, many());
    let pressed = account(&mut limiter);
    (pressed.set_size, pressed.set_first) = (90, 0);
    // One that this limiter gathers for.
    while pressed.gatherer(many(), &[0; 90]) != 0 {
        pressed.customer += 1;
    }
    let customer = pressed.customer;
    (limiter.by_customer, limiter.accounts[0].own[0]) = ([(customer, 0)].into(), 8.0);
    limiter.accounts[0].asked_units.add(at(1.0), asked);
    let other = CounterRow {
        customer: 1,
        demand: Some(1.0),
        ..row(1.0, None)
    };
    limiter.read_peer_message(at(1.0), &peer_message(1, 1, &[other]));
    let mut notes = Notes::default();
    limiter.sync(at(1.0), &mut notes);
    let rows = notes
        .peer_messages
        .iter()
        .flat_map(|(_, bytes)| peer_batch::decode(bytes).map(|peer_message| peer_message.1));
    rows.flatten()
        .filter(|row| row.customer == customer && row.age.is_some())
        .count()
}

/// Jobs reported, to the next hundred, of two thousand small ones of a plan that lets in far more than a gatherer's
/// inbox takes. What they stand for is what was let in, to a seventh: twice what chance leaves open.
#[test_case(None => 2000 ; "no word of the gatherer yet: each is reported")]
#[test_case(Some(100.0) => 200 ; "known: one in ten, each for ten")]
fn one_report_stands_for_some(pace: Option<f64>) -> u32 {
    let mut limiter = limiter(Idempotency::Idempotent, many());
    limiter.plans[0] = Plan {
        rate: 100.0,
        burst: 10_000.0,
        ..plan()
    };
    let (mut reports, mut units) = (0, 0.0);
    for n in 0..2000 {
        let account = account(&mut limiter);
        // Each job alone: what was let in before is neither here nor there.
        (account.own, account.news, account.untold) = ([0.0; 2], [0, 0], 0.0);
        (account.pace, account.told_left, account.told_at) = (pace, 10_000.0, at(1.0));
        limiter.take(
            at(1.0),
            &Request {
                id: n,
                set_size: 60,
                set_first: 1,
                ..request()
            },
            &mut Notes::default(),
        );
        reports += u32::from(limiter.accounts[0].news[0] > 0);
        units += limiter.accounts[0].own[0];
    }
    assert!((units - 2000.0_f64).abs() < 300.0, "{units}");
    (reports + 50) / 100 * 100
}

/// A job that no report stands for gives nothing back that was never counted, nor one that stands for ten too little.
#[test_case(0.0 ; "none")]
#[test_case(10.0 ; "for ten")]
fn what_was_counted_is_given_back(stands_for: f64) {
    let mut limiter = on_attempt(Idempotency::Idempotent);
    let left = limiter.accounts[0].left(at(1.0), &plan());
    let window = (stands_for > 0.0).then_some(0);
    if let Some(open) = &mut limiter.requests[0] {
        (open.window, open.stands_for) = (window, stands_for);
        open.attempts.clear();
    }
    window
        .into_iter()
        .for_each(|window| limiter.accounts[0].add_own(window, stands_for));
    limiter.give_up(at(1.0), 0, &mut Notes::default());
    assert!((limiter.accounts[0].left(at(1.0), &plan()) - left).abs() < 1e-6);
}
