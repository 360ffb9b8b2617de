use super::*;
use test_case::test_case;

#[test_case(15.0, 3.9, 4.1, 1.2 ; "what is left goes over the edge, with no second allowance")]
#[test_case(0.0, 1.0, 9.0, 8.0 ; "the store never holds more than its size")]
fn window_edge(used: f64, used_at: f64, read_at: f64, left: f64) {
    let mut account = Account::new(5, 0, &plan(), fleet(), at(0.0), ASKED_OVER);
    account.own[0] = used;
    account.roll(at(used_at), &plan());
    account.roll(at(read_at), &plan());
    assert!((account.left(at(read_at), &plan()) - left).abs() < 1e-6);
}

/// On sockets the clock is Unix time: windows, refill and rings must be as true there as near nothing.
#[test_case(0.0 ; "near nothing")]
#[test_case(1_900_000_000.0 ; "Unix time")]
fn any_size_of_clock(start: f64) {
    let mut account = Account::new(5, 0, &plan(), fleet(), at(start + 0.5), ASKED_OVER);
    account.add_own(account.window, 8.0);
    account.asked_units.add(at(start + 0.5), 8.0);
    account.roll(at(start + 4.1), &plan());
    assert_eq!(
        (account.window, account.own),
        (start as u64 / 4 + 1, [0.0, 8.0])
    );
    assert!((account.left(at(start + 4.5), &plan()) - 8.0).abs() < 1e-5);
    assert!((account.opens_in(at(start + 4.1), &plan(), 8.0) - 3.9).abs() < 1e-5);
    assert_eq!(
        (account.asked(at(start + 1.0), ASKED_OVER) * secs(ASKED_OVER)).round(),
        8.0
    );
    assert_eq!(account.asked(at(start + 30.0), ASKED_OVER), 0.0);
}

#[test]
fn even_refill_after_the_edge() {
    let mut account = Account::new(5, 0, &plan(), fleet(), at(0.0), ASKED_OVER);
    account.roll(at(1.0), &plan());
    account.own[0] = 8.0;
    account.roll(at(5.0), &plan());
    assert!((account.left(at(5.0), &plan()) - 8.0).abs() < 1e-6);
}

#[test_case(0, 3.0, 5.0 ; "a total of this window")]
#[test_case(9, 3.0, 8.0 ; "a window yet to come is dropped")]
fn hearing(window: u64, total: f64, left: f64) {
    let mut account = Account::new(5, 0, &plan(), fleet(), at(1.0), ASKED_OVER);
    account.hear(at(1.0), &plan(), 1, window, total, 0.0);
    account.hear(at(1.0), &plan(), 1, window, total, 0.0);
    assert!((account.left(at(1.0), &plan()) - left).abs() < 1e-6);
}

#[test]
fn late_total_of_the_window_before_still_counts() {
    let mut account = Account::new(5, 0, &plan(), fleet(), at(3.9), ASKED_OVER);
    account.own[0] = 4.0;
    account.roll(at(4.0), &plan());
    account.hear(at(4.0), &plan(), 1, 0, 3.0, 0.0);
    assert!(account.left(at(4.0), &plan()) < 1.3);
}

#[test]
fn overshoot_took_nothing_from_the_store() {
    let mut account = Account::new(5, 0, &plan(), fleet(), at(1.0), ASKED_OVER);
    account.hear(at(1.0), &plan(), 1, 0, 12.0, 0.0);
    assert!(account.left(at(1.0), &plan()).abs() < 1e-6);
}

#[test_case(0, 0.0, 1.0 => false ; "settled later, in the window first charged")]
#[test_case(1, 0.0, 1.0 => true ; "settled in the present window")]
fn settling(window: u64, before: f64, units: f64) -> bool {
    let mut account = Account::new(5, 0, &plan(), fleet(), at(5.0), ASKED_OVER);
    account.own[0] = before;
    account.add_own(window, units);
    account.own[0] == before + units
}

#[test_case(0.0, 8.0, 0.0 => true ; "the first of a new customer")]
#[test_case(0.0, 8.0, 4.0 => false ; "a new customer is split over its set")]
#[test_case(1.0, 8.0, 4.0 => true ; "after one interval the whole quota stands")]
#[test_case(1.0, 0.5, 0.0 => false ; "nothing beyond the quota")]
fn admitting(after: f64, left: f64, untold: f64) -> bool {
    let mut account = Account::new(5, 0, &plan(), fleet(), at(0.0), ASKED_OVER);
    (account.set_size, account.split_until) = (2, at(0.5));
    account.carried = left - 2.0 * after;
    account.untold = untold;
    account.carried -= untold * f64::from(u8::from(after == 0.0));
    account.admits(at(after), &plan(), 1.0, 0.1, fleet(), 0.999)
}

#[test_case(3.0, 0.0, 40.0 => true ; "an active peer leaves this limiter its share")]
#[test_case(1.5, 0.0, 40.0 => false ; "the last unit is nobody's share")]
#[test_case(3.0, 2.0, 40.0 => false ; "peers cannot know yet what was taken")]
#[test_case(1.5, 0.0, 0.0 => true ; "a slow customer's quota is hardly split")]
fn sharing(left: f64, untold: f64, tries: f64) -> bool {
    let mut account = Account::new(5, 0, &plan(), fleet(), at(4.0), ASKED_OVER);
    account.note(0, 1, 1.0);
    account.carried = left + 1.0;
    (account.own[0], account.untold, account.tries[0]) = (untold, untold, tries);
    account.admits(at(4.0), &plan(), 1.0, 0.1, fleet(), 0.0)
}

#[test_case(0.2, 1.0 => false ; "a restart finds no ceiling to spend")]
#[test_case(4.0, 1.0 => true ; "its part fills with time")]
#[test_case(60.0, 6.0 => false ; "up to its part of the depth")]
fn ceiling(after: f64, units: f64) -> bool {
    let plan = Plan {
        ceiling_rate: 1.0,
        ceiling_burst: 10.0,
        ceiling_slack: 1.0,
        ..plan()
    };
    let mut account = Account::new(5, 0, &plan, fleet(), at(0.0), ASKED_OVER);
    account.set_size = 2;
    account.under_ceiling(at(after), &plan, units)
}

#[test_case(1.4, 1.0, 0.0 ; "a common time left is a first try's")]
#[test_case(0.5, 1.0, 1.5 ; "a rare one was cut by the deadline")]
#[test_case(0.5, 0.1, 0.0 ; "nothing is known where few are common")]
fn time_waited(left: f64, firsts: f64, waited: f64) {
    let mut seen = vec![0.0; 130];
    seen[90] = 50.0;
    assert_eq!(
        elapsed(at(left), &mut seen, &mut firsts.clone(), at(2.0)),
        at(waited)
    );
}

#[test]
fn clients_that_turn_hasty_are_first_tries_again_soon() {
    let (mut seen, mut firsts) = (vec![0.0; 130], 1.0);
    seen[90] = 400.0;
    (0..60).for_each(|_| _ = elapsed(at(0.3), &mut seen, &mut firsts, at(2.0)));
    assert_eq!(elapsed(at(0.3), &mut seen, &mut firsts, at(2.0)), at(0.0));
}

#[test]
fn only_the_customers_set_is_told() {
    let mut limiter = limiter(Idempotency::Idempotent, fleet());
    account(&mut limiter).add_own(0, 1.0);
    let mut notes = Notes::default();
    limiter.sync(at(1.0), &mut notes);
    let told: Vec<u32> = notes
        .peer_messages
        .iter()
        .map(|peer_message| peer_message.0)
        .collect();
    assert_eq!(told, [1]);
}

#[test]
fn more_news_than_a_message_holds_waits() {
    let mut limiter = limiter(Idempotency::Idempotent, fleet());
    for customer in 0..60 {
        let i = limiter.account(at(1.0), customer, 0);
        limiter.accounts[i].set_size = 2;
        limiter.accounts[i].add_own(0, 1.0 + customer as f64 / 10.0);
    }
    let mut notes = Notes::default();
    limiter.sync(at(1.0), &mut notes);
    let rows = peer_batch::decode(&notes.peer_messages[0].1)
        .map(|peer_message| peer_message.1)
        .unwrap_or_default();
    assert_eq!((notes.peer_messages.len(), rows[0].customer), (1, 59));
}

#[test_case(peer_message(1, 5, &[row(3.0, None)]), 5.0 ; "news")]
#[test_case(peer_message(1, 4, &[row(3.0, None)]), 8.0 ; "a repeat or a late one")]
#[test_case(peer_message(0, 9, &[row(3.0, None)]), 8.0 ; "one of an earlier life")]
#[test_case(peer_message(1, 5, &[CounterRow { plan: 7, ..row(3.0, None) }]), 8.0 ; "an unknown plan")]
#[test_case(PeerMessage { from: 9, ..peer_message(1, 5, &[row(3.0, None)]) }, 8.0 ; "an unknown sender")]
#[test_case(PeerMessage { from: 1, bytes: vec![0x82, 5, 9, 0x80] }, 8.0 ; "half a row")]
fn reading_peer_messages(peer_message: PeerMessage, left: f64) {
    let mut limiter = limiter(Idempotency::Idempotent, fleet());
    limiter.started = Some(at(0.9));
    limiter.last_peer_message[1] = (1, 4);
    account(&mut limiter);
    limiter.read_peer_message(at(1.0), &peer_message);
    assert!((limiter.accounts[0].left(at(1.0), &plan()) - left).abs() < 1e-6);
}

#[test_case(Some(9.0), false => (5.0, 2.0, 0) ; "the others' part of the total")]
#[test_case(None, false => (0.0, 2.0, 0) ; "unanswered counts as made")]
#[test_case(None, true => (0.0, 0.0, 1) ; "turned away is due again")]
fn counter_answers(total: Option<f64>, not_added: bool) -> (f64, f64, u8) {
    let mut limiter = limiter(
        Idempotency::Idempotent,
        FleetConfig {
            counter: true,
            ..fleet()
        },
    );
    let account = account(&mut limiter);
    (account.own[0], account.counted[0], account.calling) = (4.0, 2.0, Some((0, 4.0, 2.0)));
    limiter.read_count(
        at(1.0),
        &CounterReply {
            customer: 5,
            window: 0,
            total,
            not_added,
        },
    );
    let account = &limiter.accounts[0];
    (
        account.summed[0],
        account.counted[0],
        u8::from(account.due[0]),
    )
}

#[test_case(None => 0.8 ; "fewer where calls fail")]
#[test_case(Some(1.0) => 1.01 ; "more where they are answered and too few")]
fn calls_follow_the_counter(total: Option<f64>) -> f64 {
    let mut limiter = limiter(
        Idempotency::Idempotent,
        FleetConfig {
            counter: true,
            ..fleet()
        },
    );
    (limiter.calls, limiter.behind_until) = (1.0, at(2.0));
    limiter.read_count(
        at(1.0),
        &CounterReply {
            customer: 5,
            window: 0,
            total,
            not_added: false,
        },
    );
    limiter.calls
}

#[test]
fn peer_messages_tell_what_the_budget_of_counter_calls_leaves() {
    let mut limiter = limiter(
        Idempotency::Idempotent,
        FleetConfig {
            counter: true,
            ..fleet()
        },
    );
    for customer in 0..60 {
        let i = limiter.account(at(1.0), customer, 0);
        limiter.accounts[i].set_size = 2;
        limiter.accounts[i].add_own(0, 1.0);
    }
    let mut notes = Notes::default();
    limiter.sync(at(1.0), &mut notes);
    assert_eq!((notes.lines.len(), notes.peer_messages.len()), (6, 1));
}
