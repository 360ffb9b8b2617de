//! Quotas where limiters are too many to report to each other in time, and one of a customer's limiters aggregates.

use crate::events::PeerMessage;
use crate::model::fleet::FleetConfig;
use crate::model::index::RequestIndex;
use crate::model::plan::Plan;
use crate::model::request::Request;
use crate::model::request_class::Idempotency;
use crate::peer_batch::CounterRow;
use crate::quota::account_parts::LimiterSet;
use crate::quota::aggregation::{DEMAND_WINDOW, admission_probability};
use crate::quota::peer_links::PeerLink;
use crate::quota::table::AccountIndex;
use crate::quota::window::{CurrentAndPrevious, WindowNumber};
use crate::request::completion::reject_or_fail;
use crate::tests::helpers::*;
use test_case::test_case;

const ANSWERED: [PeerLink; 90] = [PeerLink {
    incarnation: 0,
    sequence: 0,
    unanswered: 0,
    sent_at: std::time::Duration::ZERO,
}; 90];

fn demand_report(demand: f64) -> CounterRow {
    CounterRow {
        demand: Some(demand),
        ..row(3.0, None)
    }
}

fn relayed(demand: f64, remaining: f64, age: f64) -> CounterRow {
    CounterRow {
        demand: Some(demand),
        age: Some(at(age)),
        ..row(0.0, Some(remaining))
    }
}

fn request_of_sixty(id: u32) -> Request {
    Request {
        id: RequestIndex(id),
        set_size: 60,
        set_first: 1,
        ..request()
    }
}

#[test_case(8.0, 1.0 => 1.0 ; "a full bucket admits")]
#[test_case(8.0 / 3.0, 2.0 => 1.0 ; "so does a third of it where no more is requested than refilled")]
#[test_case(8.0 / 3.0, 8.0 => 0.25 ; "four times the demand, a quarter admitted")]
#[test_case(-1.0, 2.0 => 0.0 ; "nothing remains")]
fn admission_probability_follows_demand(remaining: f64, demand_rate: f64) -> f64 {
    admission_probability(remaining, demand_rate, &plan())
}

#[test_case(2.0 => 10.0 ; "thirty units within three seconds")]
#[test_case(6.0 => 0.0 ; "a burst is soon forgotten")]
fn demand_rate_covers_its_window(read_at: f64) -> f64 {
    let mut account = lone_account(1.0);
    assert_eq!(DEMAND_WINDOW, at(3.0));
    account.aggregation.demand.add(at(1.0), 30.0);
    account.demand_rate(at(read_at))
}

#[test_case(4 => true ; "some peer messages are lost")]
#[test_case(5 => false ; "five unanswered: the next limiter of the set aggregates")]
fn silent_aggregator_is_replaced(unanswered: u32) -> bool {
    let mut account = lone_account(1.0);
    account.limiters = LimiterSet {
        size: 40,
        first: 50,
    };
    let first = account.aggregator(&large_fleet(), &ANSWERED);
    let mut links = ANSWERED;
    links[first as usize].unanswered = unanswered;
    account.aggregator(&large_fleet(), &links) == first
}

#[test]
fn update_goes_to_the_aggregator_only() {
    let mut limiter = limiter(Idempotency::Idempotent, large_fleet());
    let account = account(&mut limiter);
    account.limiters = LimiterSet { size: 60, first: 1 };
    account.charge(WindowNumber(0), 1.0);
    let aggregator = account.aggregator(&large_fleet(), &ANSWERED);
    let mut actions = RecordedActions::default();
    limiter.send_updates(at(1.0), &mut actions);
    assert_eq!(actions.receivers(), [aggregator]);
}

/// A new quota stays split over its sixty limiters past a tick, until the aggregator sends an estimate: else each of
/// hundreds of limiters would use up the bucket.
#[test_case(false => 1 ; "past a tick, no estimate yet: the first request only")]
#[test_case(true => 4 ; "the aggregator reports a full bucket: all of them")]
fn requests_before_the_first_estimate_are_split(estimated: bool) -> usize {
    let mut limiter = limiter(Idempotency::Idempotent, large_fleet());
    let mut actions = RecordedActions::default();
    limiter.handle_request(at(1.0), &request_of_sixty(0), &mut actions);
    let estimate = CounterRow {
        demand: Some(1.0),
        ..row(0.0, Some(8.0))
    };
    let message = peer_message(1, 1, &[estimate]);
    let from = first_account(&mut limiter).aggregator(&large_fleet(), &ANSWERED);
    if estimated {
        apply_peer_message(&mut limiter, at(1.2), &PeerMessage { from, ..message });
    }
    (1..4).for_each(|id| limiter.handle_request(at(1.5), &request_of_sixty(id), &mut actions));
    let rejected = actions
        .lines
        .iter()
        .filter(|line| line.starts_with("reject"));
    4 - rejected.count()
}

#[test]
fn reporting_limiter_is_sent_an_estimate() {
    let mut limiter = limiter(Idempotency::Idempotent, large_fleet());
    let report = peer_message(1, 1, &[demand_report(6.0)]);
    apply_peer_message(&mut limiter, at(1.0), &report);
    let mut actions = RecordedActions::default();
    limiter.send_updates(at(1.0), &mut actions);
    let rows = actions.rows(0);
    assert_eq!(
        (actions.receivers()[0], rows[0].total, rows[0].remaining),
        (1, 3.0, Some(5.0))
    );
}

/// Messages to a limiter that reports again a little later: none where it was sent all that changed, as each of hundreds
/// of reports would else cause an answer and those that matter would wait; one where the demand is much higher.
#[test_case(0.0 => 0 ; "nothing changed")]
#[test_case(60.0 => 1 ; "far more is requested")]
fn second_report_is_answered_after_a_change(demand: f64) -> usize {
    let mut limiter = limiter(Idempotency::Idempotent, large_fleet());
    let mut actions = RecordedActions::default();
    for (sequence, now, demand) in [(1, 1.0, 6.0), (2, 1.5, demand)] {
        actions.peer_messages.clear();
        let report = peer_message(1, sequence, &[demand_report(demand)]);
        apply_peer_message(&mut limiter, at(now), &report);
        limiter.send_updates(at(now), &mut actions);
    }
    actions.peer_messages.len()
}

/// Whether a limiter that only rejects reports again after so long: the aggregator's inbox takes 40 messages per second,
/// a quarter of that for such reports.
#[test_case(60, 40.0, 5.0 => false ; "not yet in a set of sixty")]
#[test_case(60, 40.0, 7.0 => true ; "then it does")]
#[test_case(20, 40.0, 5.0 => true ; "sooner in a smaller set")]
#[test_case(60, 0.0, 7.0 => false ; "an inbox that takes nothing is none to divide by")]
fn demand_report_waits_its_turn(set_size: u32, peer_inbox_rate: f64, after: f64) -> bool {
    let fleet = FleetConfig {
        peer_inbox_rate,
        ..large_fleet()
    };
    let mut limiter = limiter(Idempotency::Idempotent, fleet);
    let account = account(&mut limiter);
    account.advance(at(10.0), &plan());
    account.limiters = LimiterSet {
        size: set_size,
        first: 1,
    };
    account.replication.update_due.current = true;
    account.aggregation.reported_at = at(10.0 - after);
    let mut actions = RecordedActions::default();
    limiter.send_updates(at(10.0), &mut actions);
    !actions.peer_messages.is_empty()
}

/// Messages in one tick of an aggregator that owes thirty limiters an estimate: four times its even share of the fleet's
/// messages, else estimates come seconds late; its even share while inboxes, of which its own is the sample, fill up.
#[test_case(0.0 => 12 ; "inboxes have capacity")]
#[test_case(20.0 => 3 ; "inboxes fill up")]
fn messages_of_a_tick_follow_the_inbox(estimates: f64) -> usize {
    let mut limiter = limiter(Idempotency::Idempotent, large_fleet());
    for from in 1..31 {
        let message = peer_message(1, 1, &[demand_report(6.0)]);
        apply_peer_message(&mut limiter, at(1.0), &PeerMessage { from, ..message });
    }
    limiter.peers.estimates_received.add(at(1.0), estimates);
    let mut actions = RecordedActions::default();
    limiter.send_updates(at(1.0), &mut actions);
    actions.peer_messages.len()
}

#[test_case(0, 2.0 ; "its estimate less what it could not know of")]
#[test_case(5, 5.0 ; "one that does not aggregate is ignored")]
fn estimate_of_the_aggregator_is_applied(first: u32, remaining: f64) {
    let mut limiter = limiter(Idempotency::Idempotent, large_fleet());
    let own = account(&mut limiter);
    own.limiters = LimiterSet {
        size: 1,
        first: 1 + first,
    };
    own.bucket.own.current = 3.0;
    let estimate = CounterRow {
        demand: Some(6.0),
        ..row(2.0, Some(3.0))
    };
    apply_peer_message(&mut limiter, at(1.0), &peer_message(1, 1, &[estimate]));
    let account = first_account(&mut limiter);
    assert!((account.remaining(at(1.0), &plan()) - remaining).abs() < 1e-6);
}

/// A limiter that knows nothing of a customer yet receives an estimate from one that does not aggregate for it. Otherwise
/// each of hundreds of limiters would admit a first request of a quota that was used up long ago.
#[test_case(None => true ; "no estimate: its first request is admitted")]
#[test_case(Some((0.0, 0.5)) => false ; "a relayed estimate: the bucket is empty")]
#[test_case(Some((8.0, 0.5)) => true ; "a relayed estimate: the bucket is full")]
#[test_case(Some((0.0, 6.0)) => true ; "too old to matter")]
fn relayed_estimate_decides_admission(estimate: Option<(f64, f64)>) -> bool {
    let mut limiter = limiter(Idempotency::Idempotent, large_fleet());
    if let Some((remaining, age)) = estimate {
        let message = peer_message(1, 1, &[relayed(3.0, remaining, age)]);
        apply_peer_message(&mut limiter, at(10.0), &message);
    }
    let mut actions = RecordedActions::default();
    limiter.handle_request(at(10.0), &request_of_sixty(0), &mut actions);
    actions.lines.is_empty()
}

/// The newer of two estimates holds, whatever order they come in, and the aggregator uses none but its own.
#[test_case(&[(1, 8.0, 0.1), (2, 0.0, 2.0)], 60 => 8.0 ; "an older one that comes later")]
#[test_case(&[(1, 0.0, 2.0), (2, 8.0, 0.1)], 60 => 8.0 ; "a newer one")]
#[test_case(&[(1, 0.0, 0.1)], 1 => 8.0 ; "at the aggregator")]
fn newest_estimate_holds(estimates: &[(u64, f64, f64)], set_size: u32) -> f64 {
    let mut limiter = limiter(Idempotency::Idempotent, large_fleet());
    account(&mut limiter).limiters = LimiterSet {
        size: set_size,
        first: u32::from(set_size != 1),
    };
    for &(sequence, remaining, age) in estimates {
        let message = peer_message(1, sequence, &[relayed(20.0, remaining, age)]);
        apply_peer_message(&mut limiter, at(3.0), &message);
    }
    first_account(&mut limiter).remaining(at(3.0), &plan())
}

/// The aggregator of a customer that requests ten times its quota relays so in a message about another one, to a limiter
/// that never reported; of one with little demand it informs nobody else.
#[test_case(60.0 => 1 ; "much demand")]
#[test_case(0.5 => 0 ; "little demand")]
fn high_demand_is_relayed(demand: f64) -> usize {
    let mut limiter = limiter(Idempotency::Idempotent, large_fleet());
    let busy = account(&mut limiter);
    busy.limiters = LimiterSet { size: 90, first: 0 };
    // One that this limiter aggregates for.
    while busy.aggregator(&large_fleet(), &ANSWERED) != 0 {
        busy.customer += 1;
    }
    let customer = busy.customer;
    limiter.quotas.by_customer = [(customer, AccountIndex(0))].into();
    let busy = first_account(&mut limiter);
    busy.bucket.own.current = 8.0;
    busy.aggregation.demand.add(at(1.0), demand);
    let other = CounterRow {
        customer: 1,
        demand: Some(1.0),
        ..row(1.0, None)
    };
    apply_peer_message(&mut limiter, at(1.0), &peer_message(1, 1, &[other]));
    let mut actions = RecordedActions::default();
    limiter.send_updates(at(1.0), &mut actions);
    (0..actions.peer_messages.len())
        .flat_map(|message| actions.rows(message))
        .filter(|row| row.customer == customer && row.age.is_some())
        .count()
}

/// Requests reported, to the next hundred, of two thousand small ones of a plan that admits far more than an aggregator's
/// inbox takes. What they stand for is what was admitted, to a seventh: twice what chance leaves open.
#[test_case(None => 2000 ; "no estimate yet: each is reported")]
#[test_case(Some(100.0) => 200 ; "known: one in ten, each for ten")]
fn report_stands_for_several_requests(demand_rate: Option<f64>) -> u32 {
    let mut limiter = limiter(Idempotency::Idempotent, large_fleet());
    limiter.config.plans[0] = Plan {
        rate: 100.0,
        burst: 10_000.0,
        ..plan()
    };
    let (mut reports, mut units) = (0, 0.0);
    for id in 0..2000 {
        let account = account(&mut limiter);
        // Each request alone: what was admitted before does not matter.
        account.bucket.own = CurrentAndPrevious::default();
        account.replication.pending_broadcasts = CurrentAndPrevious::default();
        account.replication.unreported_units = 0.0;
        let published = &mut account.aggregation.published;
        published.demand_rate = demand_rate;
        published.remaining = 10_000.0;
        published.at = at(1.0);
        let mut actions = RecordedActions::default();
        limiter.handle_request(at(1.0), &request_of_sixty(id), &mut actions);
        let account = first_account(&mut limiter);
        reports += u32::from(account.replication.pending_broadcasts.current > 0);
        units += account.bucket.own.current;
    }
    assert!((units - 2000.0_f64).abs() < 300.0, "{units}");
    (reports + 50) / 100 * 100
}

/// A request that no report stands for returns nothing that was never counted, and one that stands for ten not too little.
#[test_case(0.0 ; "none")]
#[test_case(10.0 ; "for ten")]
fn rejected_request_returns_what_was_counted(sampling_factor: f64) {
    let mut limiter = with_attempt(Idempotency::Idempotent);
    let remaining = first_account(&mut limiter).remaining(at(1.0), &plan());
    let window = (sampling_factor > 0.0).then_some(WindowNumber(0));
    let pending = pending_mut(&mut limiter, 0);
    pending.window = window;
    pending.sampling_factor = sampling_factor;
    pending.attempts.clear();
    if let Some(window) = window {
        first_account(&mut limiter).charge(window, sampling_factor);
    }
    reject_or_fail(
        at(1.0),
        RequestIndex(0),
        &limiter.config,
        &mut limiter.quotas,
        &mut limiter.requests,
        &mut RecordedActions::default(),
    );
    let account = first_account(&mut limiter);
    assert!((account.remaining(at(1.0), &plan()) - remaining).abs() < 1e-6);
}
