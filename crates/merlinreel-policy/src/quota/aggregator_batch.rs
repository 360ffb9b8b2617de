//! Decides what a limiter sends where reports go through aggregators: its totals to the customers' aggregators, estimates
//! to those that report to it, and with each message some estimates that concern the receiver too.

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

/// Estimates relayed in a message beside its own rows: each of some thirty customers then reaches each limiter, which
/// reads tens of messages per second, about once a second.
const RELAYED_PER_MESSAGE: usize = 2;
/// Rows with a demand or an estimate are half as long again.
const LONG_ROWS_PER_MESSAGE: usize = ROWS_PER_MESSAGE * 2 / 3;
/// Few limiters aggregate for customers with much demand and must notify many at once: each may send this many times its
/// even share of messages...
const MESSAGE_SHARE_FACTOR: f64 = 4.0;
/// ...while estimates take less than this part of its own inbox, so that two thirds are left to reports.
const ESTIMATE_INBOX_DIVISOR: f64 = 3.0;
const MESSAGE_BURST: f64 = 4.0;
/// Part of an aggregator's inbox for reports that say only that requests were rejected.
const DEMAND_REPORT_INBOX_DIVISOR: f64 = 4.0;
/// Urgency of an account whose bucket is empty; a full one has this less one.
const MAX_URGENCY: f64 = 1.25;

/// A message to one limiter.
#[derive(Clone, Debug, Default)]
struct Outgoing {
    /// The sum of its rows' urgencies.
    urgency: f64,
    rows: Vec<CounterRow>,
}

/// An estimate that may be relayed.
struct Relayable {
    account: AccountIndex,
    snapshot: QuotaSnapshot,
}

/// Everything that could be sent now.
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

/// Sends the messages that are most urgent, as far as the budget goes.
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

/// The rows of one account: reports to its aggregator, and estimates to those that report to this limiter.
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

/// Whether a limiter that only rejected requests reports its demand. A customer's limiters report in rotation, as hundreds
/// of them would fill the aggregator's inbox with such reports.
fn is_demand_report_due(now: Duration, fleet: &FleetConfig, account: &Account) -> bool {
    let rotation_seconds = DEMAND_REPORT_INBOX_DIVISOR * f64::from(account.limiters.size)
        / fleet.peer_inbox_rate.max(1.0);
    let interval = time::from_seconds(rotation_seconds).max(ESTIMATE_LIFETIME * 3 / 4);
    account.replication.update_due.current && now >= account.aggregation.reported_at + interval
}

/// The limiters that are sent a message, the most urgent first; urgency grows while a limiter is sent nothing.
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

/// What a message holds is no longer due.
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

/// Adds estimates of customers that come through the receiver too, in rotation from message to message.
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
