//! Quotas in a fleet too large for limiters to report to each other in time, where one of a customer's limiters
//! aggregates the reports.

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

/// Links to ninety limiters, none of which has left a report unanswered.
const ALL_ANSWERED: [PeerLink; 90] = [PeerLink {
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

fn relayed_estimate(demand: f64, remaining: f64, age: f64) -> CounterRow {
    CounterRow {
        demand: Some(demand),
        age: Some(at(age)),
        ..row(0.0, Some(remaining))
    }
}

/// A request of a customer whose limiter set has sixty limiters.
fn request_in_set_of_sixty(id: u32) -> Request {
    Request {
        id: RequestIndex(id),
        set_size: 60,
        set_first: 1,
        ..request()
    }
}

#[test_case(8.0, 1.0 => 1.0 ; "full bucket")]
#[test_case(8.0 / 3.0, 2.0 => 1.0 ; "a third of the bucket and demand at the refill rate")]
#[test_case(8.0 / 3.0, 8.0 => 0.25 ; "a third of the bucket and demand at four times the refill rate")]
#[test_case(-1.0, 2.0 => 0.0 ; "overdrawn bucket")]
fn admission_probability_follows_demand(remaining: f64, demand_rate: f64) -> f64 {
    admission_probability(remaining, demand_rate, &plan())
}

#[test_case(2.0 => 10.0 ; "thirty units within three seconds")]
#[test_case(6.0 => 0.0 ; "units older than the window do not count")]
fn demand_rate_covers_its_window(read_at: f64) -> f64 {
    let mut account = lone_account(1.0);
    assert_eq!(DEMAND_WINDOW, at(3.0));
    account.aggregation.demand.add(at(1.0), 30.0);
    account.demand_rate(at(read_at))
}

#[test_case(4 => true ; "kept after four unanswered reports as messages may be lost")]
#[test_case(5 => false ; "replaced by the next limiter of the set after five")]
fn silent_aggregator_is_replaced(unanswered: u32) -> bool {
    let mut account = lone_account(1.0);
    account.limiters = LimiterSet {
        size: 40,
        first: 50,
    };
    let first = account.aggregator(&large_fleet(), &ALL_ANSWERED);
    let mut links = ALL_ANSWERED;
    links[first as usize].unanswered = unanswered;
    account.aggregator(&large_fleet(), &links) == first
}

#[test]
fn update_goes_to_the_aggregator_only() {
    let mut limiter = limiter(Idempotency::Idempotent, large_fleet());
    let account = account(&mut limiter);
    account.limiters = LimiterSet { size: 60, first: 1 };
    account.charge(WindowNumber(0), 1.0);
    let aggregator = account.aggregator(&large_fleet(), &ALL_ANSWERED);
    let mut actions = RecordedActions::default();
    limiter.send_updates(at(1.0), &mut actions);
    assert_eq!(actions.receivers(), [aggregator]);
}

/// The number of requests admitted out of four. A new quota stays split over its limiters for longer than a tick, until
/// the aggregator sends an estimate: otherwise each of hundreds of limiters would use up the bucket.
#[test_case(false => 1 ; "no estimate yet, so only the first request is admitted")]
#[test_case(true => 4 ; "estimate of a full bucket, so all requests are admitted")]
fn requests_before_the_first_estimate_are_split(estimated: bool) -> usize {
    let mut limiter = limiter(Idempotency::Idempotent, large_fleet());
    let mut actions = RecordedActions::default();
    limiter.handle_request(at(1.0), &request_in_set_of_sixty(0), &mut actions);
    let estimate = CounterRow {
        demand: Some(1.0),
        ..row(0.0, Some(8.0))
    };
    let message = peer_message(1, 1, &[estimate]);
    let from = first_account(&mut limiter).aggregator(&large_fleet(), &ALL_ANSWERED);
    if estimated {
        apply_peer_message(&mut limiter, at(1.2), &PeerMessage { from, ..message });
    }
    (1..4)
        .for_each(|id| limiter.handle_request(at(1.5), &request_in_set_of_sixty(id), &mut actions));
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

/// The number of messages sent to a limiter in answer to its second report. A report that changes nothing must not be
/// answered: answers to hundreds of such reports would delay the estimates that matter.
#[test_case(0.0 => 0 ; "nothing changed")]
#[test_case(60.0 => 1 ; "demand is much higher")]
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

/// Whether a limiter that only rejects requests reports again `after` seconds. A quarter of the aggregator's inbox
/// rate, which is 40 messages per second, is available for such reports.
#[test_case(60, 40.0, 5.0 => false ; "set of sixty after five seconds")]
#[test_case(60, 40.0, 7.0 => true ; "set of sixty after seven seconds")]
#[test_case(20, 40.0, 5.0 => true ; "set of twenty after five seconds")]
#[test_case(60, 0.0, 7.0 => false ; "inbox rate of zero is not divided by")]
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

/// The number of messages that an aggregator with estimates due to thirty limiters sends in one tick. It sends four
/// times its even share of the fleet's messages, or estimates would arrive seconds late; but only its even share while
/// estimates fill up its own inbox, which it takes as a sample of all inboxes.
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

#[test_case(0, 2.0 ; "estimate less the units not reported to the aggregator")]
#[test_case(5, 5.0 ; "estimate from a limiter that is not the aggregator")]
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

/// Whether a customer's first request at a limiter is admitted. An estimate relayed by a limiter that is not the
/// aggregator counts too: otherwise each of hundreds of limiters would admit a first request against a quota that is
/// used up.
#[test_case(None => true ; "no estimate")]
#[test_case(Some((0.0, 0.5)) => false ; "relayed estimate of an empty bucket")]
#[test_case(Some((8.0, 0.5)) => true ; "relayed estimate of a full bucket")]
#[test_case(Some((0.0, 6.0)) => true ; "relayed estimate past its lifetime")]
fn relayed_estimate_decides_admission(estimate: Option<(f64, f64)>) -> bool {
    let mut limiter = limiter(Idempotency::Idempotent, large_fleet());
    if let Some((remaining, age)) = estimate {
        let message = peer_message(1, 1, &[relayed_estimate(3.0, remaining, age)]);
        apply_peer_message(&mut limiter, at(10.0), &message);
    }
    let mut actions = RecordedActions::default();
    limiter.handle_request(at(10.0), &request_in_set_of_sixty(0), &mut actions);
    actions.lines.is_empty()
}

/// The newer of two estimates is used, in whatever order they arrive. The aggregator uses only its own counts.
#[test_case(&[(1, 8.0, 0.1), (2, 0.0, 2.0)], 60 => 8.0 ; "older estimate arrives last")]
#[test_case(&[(1, 0.0, 2.0), (2, 8.0, 0.1)], 60 => 8.0 ; "newer estimate arrives last")]
#[test_case(&[(1, 0.0, 0.1)], 1 => 8.0 ; "at the aggregator")]
fn newest_estimate_is_used(estimates: &[(u64, f64, f64)], set_size: u32) -> f64 {
    let mut limiter = limiter(Idempotency::Idempotent, large_fleet());
    account(&mut limiter).limiters = LimiterSet {
        size: set_size,
        first: u32::from(set_size != 1),
    };
    for &(sequence, remaining, age) in estimates {
        let message = peer_message(1, sequence, &[relayed_estimate(20.0, remaining, age)]);
        apply_peer_message(&mut limiter, at(3.0), &message);
    }
    first_account(&mut limiter).remaining(at(3.0), &plan())
}

/// The number of relayed estimates in the messages of an aggregator. The estimate of a customer that requests ten times
/// its quota is relayed in a message about another customer, to a limiter that never reported; with low demand it is
/// not.
#[test_case(60.0 => 1 ; "high demand")]
#[test_case(0.5 => 0 ; "low demand")]
fn high_demand_is_relayed(demand: f64) -> usize {
    let mut limiter = limiter(Idempotency::Idempotent, large_fleet());
    let busy = account(&mut limiter);
    busy.limiters = LimiterSet { size: 90, first: 0 };
    // Looks for a customer whose aggregator is this limiter.
    while busy.aggregator(&large_fleet(), &ALL_ANSWERED) != 0 {
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

/// The number of requests reported out of 2000, rounded to hundreds, in a plan whose small requests would overload the
/// aggregator's inbox. The units reported have to match those admitted within 15 %, twice the random variation of the
/// sampling.
#[test_case(None => 2000 ; "without an estimate each request is reported")]
#[test_case(Some(100.0) => 200 ; "with an estimate one request in ten is reported")]
fn report_of_one_request_represents_several(demand_rate: Option<f64>) -> u32 {
    let mut limiter = limiter(Idempotency::Idempotent, large_fleet());
    limiter.config.plans[0] = Plan {
        rate: 100.0,
        burst: 10_000.0,
        ..plan()
    };
    let (mut reports, mut units) = (0, 0.0);
    for id in 0..2000 {
        let account = account(&mut limiter);
        // Resets the account, so that requests admitted before do not affect the next one.
        account.bucket.own = CurrentAndPrevious::default();
        account.replication.pending_broadcasts = CurrentAndPrevious::default();
        account.replication.unreported_units = 0.0;
        let published = &mut account.aggregation.published;
        published.demand_rate = demand_rate;
        published.remaining = 10_000.0;
        published.at = at(1.0);
        let mut actions = RecordedActions::default();
        limiter.handle_request(at(1.0), &request_in_set_of_sixty(id), &mut actions);
        let account = first_account(&mut limiter);
        reports += u32::from(account.replication.pending_broadcasts.current > 0);
        units += account.bucket.own.current;
    }
    assert!((units - 2000.0_f64).abs() < 300.0, "{units}");
    (reports + 50) / 100 * 100
}

/// A rejected request gives back exactly what was charged for it: nothing if it was not sampled, and the units of all
/// the requests that it represents if it was.
#[test_case(0.0 ; "not sampled")]
#[test_case(10.0 ; "represents ten requests")]
fn rejected_request_gives_back_what_was_charged(sampling_factor: f64) {
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
