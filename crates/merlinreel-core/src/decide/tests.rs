mod cold_servers;
mod gathering;
mod helpers;

use super::quotas::*;
use super::requests::*;
use super::servers::*;
use super::*;
use crate::peer_message::Head;
use helpers::*;
use test_case::test_case;

// ---- Quotas ----

#[test_case(15.0, 3.9, 4.1, 1.2 ; "what is left goes over the edge, with no second allowance")]
#[test_case(0.0, 1.0, 9.0, 8.0 ; "the store never holds more than its size")]
fn window_edge(used: f64, used_at: f64, read_at: f64, left: f64) {
    let mut account = Account::new(5, 0, &plan(), peers(), at(0.0), ASKED_OVER);
    account.own[0] = used;
    account.roll(at(used_at), &plan());
    account.roll(at(read_at), &plan());
    assert!((account.left(at(read_at), &plan()) - left).abs() < 1e-6);
}

/// On sockets the clock is Unix time: windows, refill and rings must be as true there as near nothing.
#[test_case(0.0 ; "near nothing")]
#[test_case(1_900_000_000.0 ; "Unix time")]
fn any_size_of_clock(start: f64) {
    let mut account = Account::new(5, 0, &plan(), peers(), at(start + 0.5), ASKED_OVER);
    account.add_own(account.window, 8.0);
    account.asked_units.add(at(start + 0.5), 8.0);
    account.roll(at(start + 4.1), &plan());
    assert_eq!((account.window, account.own), (start as u64 / 4 + 1, [0.0, 8.0]));
    assert!((account.left(at(start + 4.5), &plan()) - 8.0).abs() < 1e-5);
    assert!((account.opens_in(at(start + 4.1), &plan(), 8.0) - 3.9).abs() < 1e-5);
    assert_eq!((account.asked(at(start + 1.0), ASKED_OVER) * secs(ASKED_OVER)).round(), 8.0);
    assert_eq!(account.asked(at(start + 30.0), ASKED_OVER), 0.0);
}

#[test]
fn even_refill_after_the_edge() {
    let mut account = Account::new(5, 0, &plan(), peers(), at(0.0), ASKED_OVER);
    account.roll(at(1.0), &plan());
    account.own[0] = 8.0;
    account.roll(at(5.0), &plan());
    assert!((account.left(at(5.0), &plan()) - 8.0).abs() < 1e-6);
}

#[test_case(0, 3.0, 5.0 ; "a total of this window")]
#[test_case(9, 3.0, 8.0 ; "a window yet to come is dropped")]
fn hearing(window: u64, total: f64, left: f64) {
    let mut account = Account::new(5, 0, &plan(), peers(), at(1.0), ASKED_OVER);
    account.hear(at(1.0), &plan(), 1, window, total, 0.0);
    account.hear(at(1.0), &plan(), 1, window, total, 0.0);
    assert!((account.left(at(1.0), &plan()) - left).abs() < 1e-6);
}

#[test]
fn late_total_of_the_window_before_still_counts() {
    let mut account = Account::new(5, 0, &plan(), peers(), at(3.9), ASKED_OVER);
    account.own[0] = 4.0;
    account.roll(at(4.0), &plan());
    account.hear(at(4.0), &plan(), 1, 0, 3.0, 0.0);
    assert!(account.left(at(4.0), &plan()) < 1.3);
}

#[test]
fn overshoot_took_nothing_from_the_store() {
    let mut account = Account::new(5, 0, &plan(), peers(), at(1.0), ASKED_OVER);
    account.hear(at(1.0), &plan(), 1, 0, 12.0, 0.0);
    assert!(account.left(at(1.0), &plan()).abs() < 1e-6);
}

#[test_case(0, 0.0, 1.0 => false ; "settled later, in the window first charged")]
#[test_case(1, 0.0, 1.0 => true ; "settled in the present window")]
fn settling(window: u64, before: f64, units: f64) -> bool {
    let mut account = Account::new(5, 0, &plan(), peers(), at(5.0), ASKED_OVER);
    account.own[0] = before;
    account.add_own(window, units);
    account.own[0] == before + units
}

#[test_case(0.0, 8.0, 0.0 => true ; "the first of a new customer")]
#[test_case(0.0, 8.0, 4.0 => false ; "a new customer is split over its set")]
#[test_case(1.0, 8.0, 4.0 => true ; "after one interval the whole quota stands")]
#[test_case(1.0, 0.5, 0.0 => false ; "nothing beyond the quota")]
fn admitting(after: f64, left: f64, untold: f64) -> bool {
    let mut account = Account::new(5, 0, &plan(), peers(), at(0.0), ASKED_OVER);
    (account.set_size, account.split_until) = (2, at(0.5));
    account.carried = left - 2.0 * after;
    account.untold = untold;
    account.carried -= untold * f64::from(u8::from(after == 0.0));
    account.admits(at(after), &plan(), 1.0, 0.1, peers(), 0.999)
}

#[test_case(3.0, 0.0, 40.0 => true ; "an active peer leaves this limiter its share")]
#[test_case(1.5, 0.0, 40.0 => false ; "the last unit is nobody's share")]
#[test_case(3.0, 2.0, 40.0 => false ; "peers cannot know yet what was taken")]
#[test_case(1.5, 0.0, 0.0 => true ; "a slow customer's quota is hardly split")]
fn sharing(left: f64, untold: f64, tries: f64) -> bool {
    let mut account = Account::new(5, 0, &plan(), peers(), at(4.0), ASKED_OVER);
    account.note(0, 1, 1.0);
    account.carried = left + 1.0;
    (account.own[0], account.untold, account.tries[0]) = (untold, untold, tries);
    account.admits(at(4.0), &plan(), 1.0, 0.1, peers(), 0.0)
}

#[test_case(0.2, 1.0 => false ; "a restart finds no ceiling to spend")]
#[test_case(4.0, 1.0 => true ; "its part fills with time")]
#[test_case(60.0, 6.0 => false ; "up to its part of the depth")]
fn ceiling(after: f64, units: f64) -> bool {
    let plan = Plan { ceiling_rate: 1.0, ceiling_depth: 10.0, ceiling_slack: 1.0, ..plan() };
    let mut account = Account::new(5, 0, &plan, peers(), at(0.0), ASKED_OVER);
    account.set_size = 2;
    account.under_ceiling(at(after), &plan, units)
}

#[test_case(1.4, 1.0, 0.0 ; "a common time left is a first try's")]
#[test_case(0.5, 1.0, 1.5 ; "a rare one was cut by the outer limit")]
#[test_case(0.5, 0.1, 0.0 ; "nothing is known where few are common")]
fn time_waited(left: f64, firsts: f64, waited: f64) {
    let mut seen = vec![0.0; 130];
    seen[90] = 50.0;
    assert_eq!(elapsed(at(left), &mut seen, &mut firsts.clone(), at(2.0)), at(waited));
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
    let mut limiter = limiter(Repeats::Replayable, peers());
    account(&mut limiter).add_own(0, 1.0);
    let mut notes = Notes::default();
    limiter.sync(at(1.0), &mut notes);
    let told: Vec<u32> = notes.peer_messages.iter().map(|peer_message| peer_message.0).collect();
    assert_eq!(told, [1]);
}

#[test]
fn more_news_than_a_message_holds_waits() {
    let mut limiter = limiter(Repeats::Replayable, peers());
    for customer in 0..60 {
        let i = limiter.account(at(1.0), customer, 0);
        limiter.accounts[i].set_size = 2;
        limiter.accounts[i].add_own(0, 1.0 + customer as f64 / 10.0);
    }
    let mut notes = Notes::default();
    limiter.sync(at(1.0), &mut notes);
    let rows =
        peer_message::read(&notes.peer_messages[0].1).map(|peer_message| peer_message.1).unwrap_or_default();
    assert_eq!((notes.peer_messages.len(), rows[0].customer), (1, 59));
}

fn row(total: f64, left: Option<f64>) -> Row {
    Row { customer: 5, plan: 0, window: 0, total, asked: None, left, age: None }
}

fn peer_message(life: u64, number: u64, rows: &[Row]) -> PeerMessage {
    let bytes = peer_message::write(Head { life, number }, rows).remove(0);
    PeerMessage { from: 1, bytes }
}

#[test_case(peer_message(1, 5, &[row(3.0, None)]), 5.0 ; "news")]
#[test_case(peer_message(1, 4, &[row(3.0, None)]), 8.0 ; "a repeat or a late one")]
#[test_case(peer_message(0, 9, &[row(3.0, None)]), 8.0 ; "one of an earlier life")]
#[test_case(peer_message(1, 5, &[Row { plan: 7, ..row(3.0, None) }]), 8.0 ; "an unknown plan")]
#[test_case(PeerMessage { from: 9, ..peer_message(1, 5, &[row(3.0, None)]) }, 8.0 ; "an unknown sender")]
#[test_case(PeerMessage { from: 1, bytes: vec![0x82, 5, 9, 0x80] }, 8.0 ; "half a row")]
fn reading_peer_messages(peer_message: PeerMessage, left: f64) {
    let mut limiter = limiter(Repeats::Replayable, peers());
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
    let mut limiter = limiter(Repeats::Replayable, Peers { counter: true, ..peers() });
    let account = account(&mut limiter);
    (account.own[0], account.counted[0], account.calling) = (4.0, 2.0, Some((0, 4.0, 2.0)));
    limiter.read_count(at(1.0), &CountAnswer { customer: 5, window: 0, total, not_added });
    let account = &limiter.accounts[0];
    (account.summed[0], account.counted[0], u8::from(account.due[0]))
}

#[test_case(None => 0.8 ; "fewer where calls fail")]
#[test_case(Some(1.0) => 1.01 ; "more where they are answered and too few")]
fn calls_follow_the_counter(total: Option<f64>) -> f64 {
    let mut limiter = limiter(Repeats::Replayable, Peers { counter: true, ..peers() });
    (limiter.calls, limiter.behind_until) = (1.0, at(2.0));
    limiter.read_count(at(1.0), &CountAnswer { customer: 5, window: 0, total, not_added: false });
    limiter.calls
}

#[test]
fn peer_messages_tell_what_the_budget_of_counter_calls_leaves() {
    let mut limiter = limiter(Repeats::Replayable, Peers { counter: true, ..peers() });
    for customer in 0..60 {
        let i = limiter.account(at(1.0), customer, 0);
        limiter.accounts[i].set_size = 2;
        limiter.accounts[i].add_own(0, 1.0);
    }
    let mut notes = Notes::default();
    limiter.sync(at(1.0), &mut notes);
    assert_eq!((notes.lines.len(), notes.peer_messages.len()), (6, 1));
}

// ---- Servers ----

#[test_case(0.02, 2.0 => true ; "quick answers while jobs wait earn credit")]
#[test_case(1.0, 2.0 => false ; "long ones cost it")]
fn credits_follow_answers(took: f64, start: f64) -> bool {
    let mut server = Server::new(entry(0), &server_rules(), 3);
    server.credits = start;
    (0..8).for_each(|i| server.pace(at(f64::from(i)), took, 0.2, 1.0, true));
    server.credits > start
}

#[test_case(|_| () => Some(0) ; "the nearer of two that are alike")]
#[test_case(|s| s.listed = false => Some(1) ; "one that drains or is gone")]
#[test_case(|s| s.benched_until = at(9.0) => Some(1) ; "one that failed")]
#[test_case(|s| s.out = 2 => Some(1) ; "no credit left")]
#[test_case(|s| s.errors = 0.2 => Some(1) ; "one that fails fast and so looks idle")]
fn choosing(trouble: fn(&mut Server)) -> Option<u32> {
    let mut limiter = with_servers(on_attempt(Repeats::Replayable));
    limiter.servers[1].as_mut().into_iter().for_each(|server| server.took = 0.25);
    limiter.servers[0].as_mut().into_iter().for_each(|server| server.took = 0.2);
    limiter.jobs[0].as_mut().into_iter().for_each(|open| open.attempts.clear());
    limiter.servers[0].as_mut().into_iter().for_each(trouble);
    limiter.choose(at(2.0), 0)
}

#[test_case(false ; "cold")]
#[test_case(true ; "struck and on trial")]
fn many_limiters_do_not_all_try_a_weak_server_at_once(struck: bool) {
    let tries = |me: u32| {
        let mut limiter = limiter(Repeats::Replayable, Peers { me, ..many() });
        limiter.servers = (0..2).map(|i| Some(Server::new(entry(i), &server_rules(), 90))).collect();
        limiter.jobs = on_attempt(Repeats::Replayable).jobs;
        limiter.jobs[0].as_mut().into_iter().for_each(|open| open.attempts.clear());
        if let [Some(weak), Some(other)] = &mut limiter.servers[..] {
            (weak.cold_since, weak.strikes) = ((!struck).then_some(at(1.9)), u32::from(struck));
            other.out = 1;
        }
        limiter.warm_sends = 3.0;
        limiter.choose(at(2.0), 0).is_some()
    };
    assert!((0..90).filter(|&me| tries(me)).count() <= 4);
}

#[test_case(3.0 => None ; "it had its share")]
#[test_case(30.0 => Some(0) ; "it did not")]
fn a_cold_server_gets_its_share_of_what_warm_ones_get(warm_sends: f64) -> Option<u32> {
    let mut limiter = on_attempt(Repeats::Replayable);
    limiter.jobs[0].as_mut().into_iter().for_each(|open| open.attempts.clear());
    limiter.warm_sends = warm_sends;
    if let [Some(cold), Some(warm)] = &mut limiter.servers[..] {
        (cold.cold_since, cold.out) = (Some(at(1.0)), 0);
        cold.credits = 8.0;
        cold.sends.add(at(2.0), 1.0);
        (warm.credits, warm.out) = (9.0, 9);
    }
    limiter.choose(at(2.0), 0)
}

#[test_case(true, 7.0 => 12.0 ; "what the warm one gets")]
#[test_case(false, 7.0 => 7.0 ; "what was seen last while none is warm")]
#[test_case(false, 0.0 => 5.0 ; "enough for an attempt where nothing was seen")]
fn what_cold_servers_are_measured_by(warm: bool, seen: f64) -> f64 {
    let mut limiter = with_servers(limiter(Repeats::Replayable, peers()));
    limiter.warm_sends = seen;
    for server in limiter.servers.iter_mut().flatten() {
        server.cold_since = Some(at(1.0));
    }
    if let Some(server) = limiter.servers[1].as_mut() {
        server.cold_since = (!warm).then_some(at(1.0));
        server.sends.add(at(2.0), 12.0);
    }
    limiter.gauge(at(2.0));
    limiter.warm_sends
}

#[test_case(Ending::Dropped, 0, 0.0 => (0, false) ; "one dropped attempt is the link's doing")]
#[test_case(Ending::Dropped, 2, 0.0 => (1, false) ; "three in a row are the server's")]
#[test_case(Ending::Dropped, 2, 0.4 => (0, false) ; "three in a row are chance where all fail often")]
#[test_case(Ending::Dropped, 9, 0.4 => (1, false) ; "ten are not")]
#[test_case(Ending::NoConnection, 0, 0.0 => (1, true) ; "no connection: the process is gone")]
#[test_case(Ending::Error, 0, 0.4 => (0, false) ; "what all servers share is no server's doing")]
fn failing(ending: Ending, drops: u32, erring: f64) -> (u32, bool) {
    let mut limiter = on_attempt(Repeats::Replayable);
    limiter.erring = erring;
    if let Some(server) = limiter.servers[0].as_mut() {
        (server.drops, server.errors) = (drops, erring);
    }
    limiter.end_attempt(at(1.1), &attempt_end(ending, false), &mut Notes::default());
    limiter.servers[0].as_ref().map_or((9, false), |server| (server.strikes, server.down))
}

#[test]
fn parts_of_a_credit_go_by_turns() {
    let sends = |me: u32| {
        let mut limiter = on_attempt(Repeats::Replayable);
        limiter.peers.me = me;
        for server in limiter.servers.iter_mut().flatten() {
            (server.credits, server.out) = (1.0 / 3.0, 0);
        }
        limiter.jobs[0].as_mut().into_iter().for_each(|open| open.attempts.clear());
        limiter.choose(at(2.0), 0) == Some(0)
    };
    assert_eq!((0..3).filter(|&me| sends(me)).count(), 1);
}

#[test_case(Standing::Draining, false => false ; "told that it drains")]
#[test_case(Standing::Up, true => true ; "a whole list keeps who is on it")]
fn following(standing: Standing, whole: bool) -> bool {
    let mut limiter = with_servers(limiter(Repeats::Replayable, peers()));
    let entries = vec![ServerEntry { standing, ..entry(0) }];
    let server_list = ServerList { whole, restored: false, unavailable: false, entries };
    limiter.follow(&server_list);
    let listed = |i: usize| limiter.servers[i].as_ref().is_some_and(|server| server.listed);
    assert_eq!(listed(1), !whole);
    listed(0)
}

/// Rounds a second apart; how many accounts and servers are kept then.
#[test_case(33, 0.0, false => (0, 1) ; "a customer that came once, and a server that is gone")]
#[test_case(20, 0.0, false => (1, 2) ; "not within half a minute")]
#[test_case(33, 200.0, false => (1, 1) ; "a store that is not full again")]
#[test_case(33, 0.0, true => (1, 2) ; "what an open job refers to")]
fn forgetting(seconds: u32, used: f64, open: bool) -> (usize, usize) {
    let mut limiter = with_servers(limiter(Repeats::Replayable, peers()));
    let entries = vec![entry(1)];
    limiter.follow(&ServerList { whole: true, restored: false, unavailable: false, entries });
    account(&mut limiter).add_own(0, used);
    if open {
        let attempts = vec![Attempt { server: 0, sent: at(1.0), out: true, revoked: true, overdue: true }];
        let job = OpenJob::new(&job(), 0, at(1.0), at(900.0), None);
        limiter.jobs = vec![Some(OpenJob { attempts, queued: false, ..job })];
    }
    let mut notes = Notes::default();
    (1..=seconds).for_each(|second| limiter.round(at(f64::from(second)), &Round::default(), &mut notes));
    let kept = (limiter.by_customer.len(), limiter.servers.iter().flatten().count());
    assert_eq!(notes.lines.iter().filter(|line| *line == "forget 0").count(), 2 - kept.1);
    // The next customer takes the place of one that was forgotten.
    assert_eq!(limiter.account(at(99.0), 78, 0), kept.0);
    kept
}

#[test_case(1.0, 1 ; "at once when it was not asked of late")]
#[test_case(0.2, 0 ; "not again within half a second")]
fn a_lost_server_list_is_asked_for_again(when: f64, calls: usize) {
    let mut limiter = limiter(Repeats::Replayable, Peers { peer_messages: false, ..peers() });
    (limiter.started, limiter.discovery_lost) = (Some(at(0.0)), true);
    let mut notes = Notes::default();
    limiter.round(at(when), &Round::default(), &mut notes);
    assert_eq!(notes.lines.len(), calls);
}

/// How many of the limiters send to each of the servers as a rule: the fewest and the most. Guards against servers
/// that nobody meets, and against a connection from each of many limiters.
#[test_case(1, 0, false => (0, 0) ; "none listed")]
#[test_case(1, 3, true => (1, 1) ; "one limiter without a peer")]
#[test_case(300, 1, false => (300, 300) ; "a lone server")]
#[test_case(4, 14, false => (4, 4) ; "all where limiters are few")]
#[test_case(100, 60, false => (9, 11) ; "ten of a hundred")]
#[test_case(300, 200, false => (9, 12) ; "ten of three hundred")]
#[test_case(100, 60, true => (11, 29) ; "more where half of the servers are cold")]
fn limiters_at_a_server(limiters: u32, servers: u32, cold: bool) -> (usize, usize) {
    let mut at_server = vec![0; servers as usize];
    for me in 0..limiters {
        let mut limiter = limiter(Repeats::Replayable, Peers { limiters, me, ..peers() });
        limiter.servers =
            (0..servers).map(|i| Some(Server::new(entry(i), &server_rules(), limiters))).collect();
        let starts = limiter.servers.iter_mut().step_by(2).flatten().filter(|_| cold);
        starts.for_each(|server| server.cold_since = Some(at(1.0)));
        limiter.keep_regulars(at(1.0));
        let regulars = limiter.servers.iter().flatten().filter(|server| !server.aside);
        regulars.for_each(|server| at_server[server.entry.server as usize] += 1);
    }
    (at_server.iter().copied().min().unwrap_or(0), at_server.iter().copied().max().unwrap_or(0))
}

#[test]
fn a_start_told_by_discovery_makes_a_server_cold() {
    let mut limiter = with_servers(limiter(Repeats::Replayable, peers()));
    let entries = vec![ServerEntry { up_since: Some(at(20.0)), ..entry(0) }];
    let server_list = ServerList { whole: false, restored: false, unavailable: false, entries };
    limiter.follow(&server_list);
    let warmth = limiter.servers[0].as_ref().map(|s| s.warmth(at(22.0), &server_rules()));
    assert!(warmth.is_some_and(|warmth| warmth < 0.4));
}

// ---- Jobs ----

const ZONE: Repeats = Repeats::Referenced(Group::Zone, Duration::from_millis(600));

#[test_case(Repeats::Replayable, Ending::Error, 1.1 => (vec![0], 0) ; "replayable goes again")]
#[test_case(Repeats::SingleUse, Ending::TurnedAway, 1.1 => (vec![0], 0) ; "single-use that never ran")]
#[test_case(Repeats::SingleUse, Ending::Dropped, 1.1 => (vec![], 1) ; "single-use that may have run")]
#[test_case(ZONE, Ending::Dropped, 1.1 => (vec![0], 0) ; "referenced within its memory")]
#[test_case(ZONE, Ending::Dropped, 1.7 => (vec![], 1) ; "referenced after it")]
#[test_case(Repeats::Replayable, Ending::Expired, 3.0 => (vec![], 1) ; "nothing after the client's time")]
fn further_attempts(repeats: Repeats, ending: Ending, when: f64) -> (Vec<u32>, usize) {
    let mut limiter = on_attempt(repeats);
    let mut notes = Notes::default();
    limiter.end_attempt(at(when), &attempt_end(ending, false), &mut notes);
    (limiter.queue, notes.lines.len())
}

#[test_case(Repeats::Replayable => "defer 0 3.0" ; "harmless to try again")]
#[test_case(Repeats::SingleUse => "scrap 0" ; "no promise where it may have run")]
#[test_case(ZONE => "scrap 0" ; "nor outside the group that drops repeats")]
fn giving_up(repeats: Repeats) -> String {
    let mut limiter = on_attempt(repeats);
    limiter.jobs[0].as_mut().into_iter().for_each(|open| open.ran = Some((0, at(1.0))));
    let mut notes = Notes::default();
    limiter.give_up(at(1.0), 0, &mut notes);
    notes.lines.remove(0)
}

#[test]
fn units_of_a_job_never_sent_are_given_back() {
    let mut limiter = on_attempt(Repeats::SingleUse);
    limiter.jobs[0].as_mut().into_iter().for_each(|open| open.attempts.clear());
    limiter.give_up(at(1.0), 0, &mut Notes::default());
    assert_eq!(limiter.accounts[0].own[0], 0.0);
}

#[test_case(ZONE => Some(0) ; "referenced stays in the zone of its first attempt")]
#[test_case(Repeats::Replayable => Some(1) ; "replayable goes elsewhere")]
fn where_to_next(repeats: Repeats) -> Option<u32> {
    let mut limiter = on_attempt(repeats);
    if let Some(open) = &mut limiter.jobs[0] {
        open.attempts[0].out = false;
        open.ran = Some((0, at(1.0)));
    }
    limiter.choose(at(1.1), 0)
}

#[test]
fn a_server_that_streams_is_not_silent() {
    let mut limiter = on_attempt(Repeats::Replayable);
    limiter.answer_begins(at(4.0), 0);
    assert!(limiter.servers[0].as_ref().is_some_and(|server| server.owing_since == at(4.0)));
}

#[test_case(Repeats::Replayable => 1 ; "what may go again is taken back")]
#[test_case(Repeats::SingleUse => 0 ; "single-use waits")]
fn silent_servers(repeats: Repeats) -> usize {
    let mut limiter = on_attempt(repeats);
    limiter.jobs[0].as_mut().into_iter().for_each(|open| open.target = at(9.0));
    let mut notes = Notes::default();
    limiter.watch(at(4.0), &mut notes);
    notes.lines.len()
}

#[test_case(2.0, 0.4, true, None => 2.01 ; "quick answers while jobs wait raise it")]
#[test_case(2.0, 0.4, false, None => 2.0 ; "nothing waits")]
#[test_case(2.0, 0.9, true, None => 1.97 ; "long answers cut it")]
#[test_case(1.0, 0.9, true, None => 1.0 ; "never under what the credits say")]
#[test_case(4.0, 0.1, true, None => 4.0 ; "nor over four times")]
#[test_case(2.0, 0.9, true, Some((0.6, 0.0)) => 2.4 ; "a report of room counts more than long answers")]
#[test_case(2.0, 0.1, true, Some((0.95, 0.0)) => 2.0 ; "a report of busy cores")]
#[test_case(2.0, 0.1, true, Some((0.6, 2.0)) => 1.6 ; "a report of jobs that wait")]
#[test_case(7.9, 0.1, true, Some((0.6, 0.0)) => 8.0 ; "at most eight times")]
fn level_over_credits(level: f64, strain: f64, pressed: bool, report: Option<(f64, f64)>) -> f64 {
    let load = report.map_or_else(Load::default, |(busy, waiting)| Load {
        busy: Some(busy),
        waiting: Some(waiting),
        ..Load::default()
    });
    (next_level(level, strain, pressed, &load) * 1000.0).round() / 1000.0
}

/// Guards against credits that are learned at the regular servers and counted at all.
#[test]
fn what_the_regular_servers_bear_stands_for_all() {
    let mut limiter = on_attempt(Repeats::SingleUse);
    limiter.servers.resize_with(20, || Some(Server::new(entry(9), &server_rules(), 100)));
    limiter.servers.iter_mut().skip(2).flatten().for_each(|server| server.aside = true);
    // One attempt is out, and two servers with two credits each stand for twenty.
    limiter.servers[0].iter_mut().for_each(|server| server.credits = 0.2);
    limiter.servers[1].iter_mut().for_each(|server| server.credits = 0.2);
    let chosen = [1.0, 10.0].map(|reach| {
        limiter.reach = reach;
        limiter.choose(at(1.1), 0)
    });
    assert_eq!(chosen, [None, Some(1)]);
}

#[test_case(0.02, 0.6 ; "a slow answer is waited for")]
#[test_case(0.12, 0.288 ; "less so where many are lost")]
#[test_case(0.9, 0.1 ; "but no less than a tenth of a second")]
fn patience_with_answers(losing: f64, patience: f64) {
    assert!((secs(overdue_after(0.1, losing)) - patience).abs() < 0.001);
}

#[test_case(0.5 => (0, 1) ; "a hang: the server answered nothing since and is struck")]
#[test_case(2.0 => (0, 0) ; "a lost answer: it answered others, its credit comes back")]
fn overdue_attempts(answered: f64) -> (u32, u32) {
    let mut limiter = on_attempt(Repeats::SingleUse);
    limiter.servers[0].as_mut().into_iter().for_each(|server| server.owing_since = at(answered));
    limiter.watch(at(4.0), &mut Notes::default());
    limiter.servers[0].as_ref().map_or((9, 9), |server| (server.out, server.strikes))
}

#[test_case(0.1, 2.0, "send 0 to 0" ; "sent where credit is left")]
#[test_case(0.1, 1.05, "defer 0 3.0" ; "given up at once when its target time cannot be met")]
#[test_case(9.0, 1.4, "send 0 to 0" ; "slow answers never close the limiter for good")]
fn dispatching(usual: f64, target: f64, decision: &str) {
    let mut limiter = on_attempt(Repeats::Replayable);
    (limiter.usual, limiter.queue) = (usual, vec![0]);
    limiter.servers[0].as_mut().into_iter().for_each(|server| server.out = 0);
    limiter.servers[1] = None;
    if let Some(open) = &mut limiter.jobs[0] {
        (open.queued, open.target, open.attempts) = (true, at(target), Vec::new());
    }
    let mut notes = Notes::default();
    limiter.dispatch(at(1.0), &mut notes);
    assert_eq!(notes.lines, [decision]);
}

#[test_case(0.3, true => 1 ; "idle servers take what earns beyond the quota")]
#[test_case(0.3, false => 0 ; "busy ones do not")]
#[test_case(0.0, true => 0 ; "nor what earns nothing")]
fn beyond_the_quota(beyond_gain: f64, idle: bool) -> usize {
    let mut limiter = limiter(Repeats::Replayable, peers());
    limiter.plans[0].beyond_gain = beyond_gain;
    limiter.idle = idle;
    account(&mut limiter).carried = -5.0;
    limiter.take(at(1.0), &job(), &mut Notes::default());
    assert_eq!(limiter.accounts[0].own[0], 0.0);
    limiter.queue.len()
}

#[test_case(1.0, 1.0 => "send 1 to 0" ; "among near equals the newest")]
#[test_case(4.0, 1.0 => "send 0 to 0" ; "far more gain before the newest")]
fn who_goes_first(older: f64, newer: f64) -> String {
    let mut limiter = on_attempt(Repeats::Replayable);
    limiter.plans = [older, newer].map(|price| Plan { price, ..plan() }).to_vec();
    limiter.servers[0].as_mut().into_iter().for_each(|server| (server.credits, server.out) = (1.0, 0));
    limiter.servers[1] = None;
    let second = on_attempt(Repeats::Replayable).jobs.remove(0);
    limiter.jobs.push(second);
    for (i, open) in limiter.jobs.iter_mut().flatten().enumerate() {
        (open.queued, open.target, open.attempts) = (true, at(2.0), Vec::new());
        (open.arrived, open.job.job, open.job.plan) = (at(1.0 + i as f64 / 10.0), i as u32, i);
    }
    limiter.queue = vec![0, 1];
    let mut notes = Notes::default();
    limiter.dispatch(at(1.2), &mut notes);
    notes.lines.remove(0)
}

#[test]
fn a_job_that_waits_twice_in_the_queue_is_sent_once() {
    let mut limiter = on_attempt(Repeats::SingleUse);
    limiter.queue = vec![0, 0];
    if let Some(open) = &mut limiter.jobs[0] {
        (open.queued, open.target, open.attempts) = (true, at(2.0), Vec::new());
    }
    let mut notes = Notes::default();
    limiter.dispatch(at(1.0), &mut notes);
    assert_eq!(notes.lines.len(), 1);
}

#[test_case(3 ; "a few limiters")]
#[test_case(40 ; "many, with rare peer messages")]
fn what_waits_is_looked_at_in_time(limiters: u32) {
    let limiter = limiter(Repeats::Replayable, Peers { limiters, ..peers() });
    assert!(limiter.beat() <= at(0.1));
}

#[test_case(-5.0, "defer 0 2.5" ; "until the refill covers it")]
#[test_case(-20.0, "defer 0 3.0" ; "to the window's end at most")]
fn a_job_beyond_the_quota_is_deferred_at_once(carried: f64, decision: &str) {
    let mut limiter = limiter(Repeats::Replayable, peers());
    account(&mut limiter).carried = carried;
    let mut notes = Notes::default();
    limiter.take(at(1.0), &job(), &mut notes);
    assert_eq!(notes.lines, [decision]);
}

#[test]
fn the_answer_settles_the_units() {
    let mut limiter = on_attempt(Repeats::Replayable);
    limiter.peers.settles = true;
    let end = AttemptEnd { units: Some(3.0), ..attempt_end(Ending::Fulfilled, true) };
    limiter.end_attempt(at(1.1), &end, &mut Notes::default());
    assert_eq!(limiter.accounts[0].own[0], 3.0);
}

/// A further attempt must reach its server while the key of a first that may have run is kept, for 0.6 s here since that was
/// sent at 1 s; else it needs no hurry. Guards against an effect twice by a repeat that its connection holds up.
#[test_case(Repeats::Referenced(Group::All, at(0.6)), Ending::Dropped => "send 0 to 1 within 0.4" ; "keyed, it may have run")]
#[test_case(Repeats::Referenced(Group::All, at(0.6)), Ending::Unsent => "send 0 to 1" ; "keyed, it never ran")]
#[test_case(Repeats::Replayable, Ending::Dropped => "send 0 to 1" ; "at will")]
fn a_repeat_is_there_while_its_key_is_kept(repeats: Repeats, ending: Ending) -> String {
    let (mut limiter, mut notes) = (on_attempt(repeats), Notes::default());
    limiter.end_attempt(at(1.2), &attempt_end(ending, false), &mut notes);
    limiter.dispatch(at(1.2), &mut notes);
    notes.lines.join(", ")
}
