//! Decides what a limiter sends where reports go through aggregators: its totals to the customers' aggregators,
//! estimates to the limiters that report to it, and in each message a few relayed estimates for customers that the
//! receiver shares.

use super::account::Account;
use super::aggregation::{ESTIMATE_LIFETIME, is_relayed};
use super::estimate::QuotaSnapshot;
use super::intervals::{message_interval, tick_interval};
use super::peer_links::{PeerLink, PeerLinks};
use super::table::{AccountIndex, QuotaTable};
use super::window::WindowAge;
use crate::actions::Actions;
use crate::model::fleet::FleetConfig;
use crate::model::plan::Plan;
use crate::peer_batch::{CounterRow, ROWS_PER_MESSAGE};
use crate::time;
use std::time::Duration;

/// Relayed estimates per message, in addition to its own rows. As each limiter reads tens of messages per second, the
/// estimates of some thirty customers then reach each limiter about once a second.
const RELAYED_PER_MESSAGE: usize = 2;
/// Rows with a demand or an estimate are 1.5 times as long as rows with a total only.
const LONG_ROWS_PER_MESSAGE: usize = ROWS_PER_MESSAGE * 2 / 3;
/// Multiple of its even share of the fleet's messages that a limiter may send while its own inbox takes few estimates
/// (see [`ESTIMATE_INBOX_DIVISOR`]). Few limiters aggregate for customers with high demand, and they have to notify
/// many limiters at once.
const MESSAGE_SHARE_FACTOR: f64 = 4.0;
/// [`MESSAGE_SHARE_FACTOR`] applies while a limiter receives estimates at less than its inbox rate divided by this,
/// which leaves two thirds of the inbox to reports.
const ESTIMATE_INBOX_DIVISOR: f64 = 3.0;
/// Messages that may accumulate beyond the refill of one tick.
const MESSAGE_BURST: f64 = 4.0;
/// An aggregator's inbox rate divided by this is available for reports that only say that requests were rejected.
const DEMAND_REPORT_INBOX_DIVISOR: f64 = 4.0;
/// Urgency of an account whose bucket is empty; that of a full bucket is lower by one.
const MAX_URGENCY: f64 = 1.25;

/// Rows for one limiter.
#[derive(Clone, Debug, Default)]
struct Outgoing {
    /// Sum of the urgencies of the rows.
    urgency: f64,
    rows: Vec<CounterRow>,
}

/// An estimate that may be relayed to other limiters.
struct Relayable {
    account: AccountIndex,
    snapshot: QuotaSnapshot,
}

/// All rows that could be sent now, of which the message credit may cover only a part.
struct Batch {
    by_limiter: Vec<Outgoing>,
    relayable: Vec<Relayable>,
}

impl Batch {
    fn add(&mut self, to: u32, urgency: f64, row: CounterRow) {
        let outgoing = &mut self.by_limiter[to as usize];
        outgoing.urgency += urgency;
        outgoing.rows.push(row);
    }
}

/// Sends the most urgent messages, as many as the message credit allows.
pub fn send(
    now: Duration,
    fleet: &FleetConfig,
    plans: &[Plan],
    quotas: &mut QuotaTable,
    peers: &mut PeerLinks,
    actions: &mut dyn Actions,
) {
    refill_message_credit(now, fleet, peers);
    let mut batch = collect(now, fleet, plans, quotas, &peers.links);
    for peer in most_urgent(now, fleet, &batch, peers) {
        peers.message_credit -= 1.0;
        peers.link_mut(peer).sent_at = now;
        let mut rows = std::mem::take(&mut batch.by_limiter[peer as usize].rows);
        rows.truncate(LONG_ROWS_PER_MESSAGE);
        if rows.iter().any(|row| row.remaining.is_none()) {
            peers.link_mut(peer).unanswered += 1;
        }
        mark_sent(now, peer, &rows, quotas);
        relay(fleet, peer, &batch.relayable, quotas, peers.sent, &mut rows);
        peers.send(now, peer, &rows, actions);
    }
}

fn refill_message_credit(now: Duration, fleet: &FleetConfig, peers: &mut PeerLinks) {
    let inbox_limit = fleet.peer_inbox_rate / ESTIMATE_INBOX_DIVISOR;
    let factor = if peers.estimates_received.sum(now) < inbox_limit {
        MESSAGE_SHARE_FACTOR
    } else {
        1.0
    };
    let tick_seconds = time::seconds(tick_interval(fleet));
    let interval_seconds = time::seconds(message_interval(fleet));
    let refill = factor * f64::from(fleet.limiters) * tick_seconds / interval_seconds;
    peers.message_credit = (peers.message_credit + refill).min(refill + MESSAGE_BURST);
}

fn collect(
    now: Duration,
    fleet: &FleetConfig,
    plans: &[Plan],
    quotas: &mut QuotaTable,
    links: &[PeerLink],
) -> Batch {
    let mut batch = Batch {
        by_limiter: vec![Outgoing::default(); fleet.limiters as usize],
        relayable: Vec::new(),
    };
    let QuotaTable {
        accounts, dirty, ..
    } = quotas;
    dirty.retain(|&index| {
        let account = &mut accounts[index.0];
        let plan = &plans[account.plan];
        account.advance(now, plan);
        let aggregator = account.aggregator(fleet, links);
        let is_aggregator = account.limiters.size > 0 && aggregator == fleet.own_index;
        let snapshot = account.snapshot(now, is_aggregator, plan);
        if let Some(snapshot) = snapshot.filter(|snapshot| is_relayed(snapshot, plan)) {
            batch.relayable.push(Relayable {
                account: index,
                snapshot,
            });
        }
        if is_aggregator || account.limiters.size == 0 {
            if is_aggregator || !account.aggregation.subscribers.is_empty() {
                account.notify_subscribers(now, plan);
            }
            account.mark_reported();
        }
        collect_rows(now, fleet, plan, account, aggregator, &mut batch);
        let replication = &mut account.replication;
        replication.dirty = !account.aggregation.subscribers.is_empty()
            || replication.has_pending_broadcasts()
            || replication.update_due.current;
        replication.dirty
    });
    batch
}

/// Adds the rows of one account: reports to its aggregator, and estimates to the subscribers of this limiter.
fn collect_rows(
    now: Duration,
    fleet: &FleetConfig,
    plan: &Plan,
    account: &mut Account,
    aggregator: u32,
    batch: &mut Batch,
) {
    let remaining = account.remaining(now, plan);
    let demand_rate = account.demand_rate(now);
    let urgency = MAX_URGENCY - (remaining / plan.burst.max(1.0)).clamp(0.0, 1.0);
    let pending = account.replication.pending_broadcasts;
    if pending.previous > 0 {
        let row = CounterRow {
            demand: Some(0.0),
            ..account.row(WindowAge::Previous)
        };
        batch.add(aggregator, urgency, row);
    }
    if pending.current > 0 || is_demand_report_due(now, fleet, account) {
        let row = CounterRow {
            demand: Some(account.aggregation.unreported_demand),
            ..account.row(WindowAge::Current)
        };
        batch.add(aggregator, urgency, row);
    }
    for subscriber in &account.aggregation.subscribers {
        if !subscriber.estimate_due {
            continue;
        }
        let elsewhere = &account.bucket.elsewhere;
        let row = CounterRow {
            total: elsewhere.reported_by(subscriber.peer, WindowAge::Current),
            demand: Some(demand_rate),
            remaining: Some(remaining),
            ..account.row(WindowAge::Current)
        };
        batch.add(subscriber.peer, urgency, row);
    }
}

/// Whether a limiter that only rejected requests reports its demand now. The interval between such reports grows with
/// the size of the limiter set, as those of hundreds of limiters would fill the aggregator's inbox.
fn is_demand_report_due(now: Duration, fleet: &FleetConfig, account: &Account) -> bool {
    let rotation_seconds = DEMAND_REPORT_INBOX_DIVISOR * f64::from(account.limiters.size)
        / fleet.peer_inbox_rate.max(1.0);
    let interval = time::from_seconds(rotation_seconds).max(ESTIMATE_LIFETIME * 3 / 4);
    account.replication.update_due.current && now >= account.aggregation.reported_at + interval
}

/// The limiters to send a message to now, the most urgent first. Urgency grows with the time since the last message to
/// a limiter.
fn most_urgent(now: Duration, fleet: &FleetConfig, batch: &Batch, peers: &PeerLinks) -> Vec<u32> {
    let urgency = |peer: u32| {
        let waited = now.saturating_sub(peers.links[peer as usize].sent_at);
        batch.by_limiter[peer as usize].urgency * time::seconds(waited)
    };
    let mut order: Vec<u32> = (0..fleet.limiters)
        .filter(|&peer| batch.by_limiter[peer as usize].urgency > 0.0)
        .collect();
    order.sort_by(|&one, &other| urgency(other).total_cmp(&urgency(one)));
    order.truncate(peers.message_credit as usize);
    order
}

/// Clears the due marks of the reports and estimates that a message holds.
fn mark_sent(now: Duration, peer: u32, rows: &[CounterRow], quotas: &mut QuotaTable) {
    for row in rows {
        let index = quotas.by_customer[&row.customer];
        let account = &mut quotas[index];
        if row.remaining.is_none() {
            account.mark_reported();
            account.aggregation.reported_at = now;
            continue;
        }
        for subscriber in &mut account.aggregation.subscribers {
            if subscriber.peer == peer {
                subscriber.estimate_due = false;
            }
        }
    }
}

/// Adds relayed estimates for customers that the receiver shares, in rotation from message to message.
fn relay(
    fleet: &FleetConfig,
    peer: u32,
    relayable: &[Relayable],
    quotas: &QuotaTable,
    messages_sent: u64,
    rows: &mut Vec<CounterRow>,
) {
    let start = (messages_sent as usize * RELAYED_PER_MESSAGE) % relayable.len().max(1);
    let rotated = relayable[start..].iter().chain(&relayable[..start]);
    let relayed = rotated
        .filter(|entry| {
            quotas[entry.account]
                .limiters
                .contains(peer, fleet.limiters)
        })
        .take(RELAYED_PER_MESSAGE)
        .map(|entry| quotas[entry.account].relayed_row(entry.snapshot));
    rows.extend(relayed);
}
