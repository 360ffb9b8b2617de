//! Decides how messages from other limiters change the accounts. Malformed, outdated and duplicate messages change
//! nothing.

use super::account::Account;
use super::account_parts::Subscriber;
use super::aggregation::ESTIMATE_LIFETIME;
use super::estimate::QuotaSnapshot;
use super::peer_links::PeerLinks;
use super::table::QuotaTable;
use super::token_bucket::UsageSource;
use super::window::{WindowAge, WindowNumber};
use crate::events::PeerMessage;
use crate::model::fleet::FleetConfig;
use crate::model::plan::Plan;
use crate::peer_batch::{self, BatchHeader, CounterRow};
use std::time::Duration;

/// A row with a larger total is ignored as invalid.
const MAX_TOTAL_UNITS: f64 = 1e9;
/// A row holds only the lowest two bits of its window's number.
const WINDOW_MASK: u64 = 3;

/// Applies the rows of a message, if it is newer than all others from its sender.
pub fn apply(
    now: Duration,
    peer_message: &PeerMessage,
    fleet: &FleetConfig,
    plans: &[Plan],
    quotas: &mut QuotaTable,
    peers: &mut PeerLinks,
) {
    let Some((header, rows)) = peer_batch::decode(&peer_message.bytes) else {
        return;
    };
    let from = peer_message.from;
    if from as usize >= peers.links.len() || from == fleet.own_index {
        return;
    }
    let link = peers.link_mut(from);
    let last = BatchHeader {
        incarnation: link.incarnation,
        sequence: link.sequence,
    };
    if (header.incarnation, header.sequence) <= (last.incarnation, last.sequence) {
        return;
    }
    link.incarnation = header.incarnation;
    link.sequence = header.sequence;
    link.unanswered = 0;
    let holds_estimate = rows
        .iter()
        .any(|row| row.remaining.is_some() && row.age.is_none());
    let estimates = f64::from(u8::from(holds_estimate));
    peers.estimates_received.add(now, estimates);
    if header.incarnation > last.incarnation {
        forget_totals_of(now, from, plans, quotas);
    }
    for row in &rows {
        apply_row(now, from, row, fleet, plans, quotas, peers);
    }
}

/// A restarted limiter reports totals that count from zero again; the units that it reported before stay subtracted.
fn forget_totals_of(now: Duration, limiter: u32, plans: &[Plan], quotas: &mut QuotaTable) {
    for account in &mut quotas.accounts {
        account.advance(now, &plans[account.plan]);
        account.bucket.forget_totals_of(limiter);
    }
}

fn apply_row(
    now: Duration,
    from: u32,
    row: &CounterRow,
    fleet: &FleetConfig,
    plans: &[Plan],
    quotas: &mut QuotaTable,
    peers: &PeerLinks,
) {
    if row.plan >= plans.len() || row.total.abs() > MAX_TOTAL_UNITS {
        return;
    }
    // Without room for its account, what others admit for a customer is not known here until a request of it arrives.
    let Some(index) = quotas.find_or_create(now, row.customer, row.plan, plans) else {
        return;
    };
    let plan = &plans[row.plan];
    let account = &mut quotas[index];
    if account.plan != row.plan {
        return;
    }
    account.advance(now, plan);
    let Some(remaining) = row.remaining else {
        apply_report(now, from, row, fleet, plan, account);
        return;
    };
    let aggregator = account.aggregator(fleet, &peers.links);
    if let (Some(age), Some(demand_rate)) = (row.age, row.demand) {
        if aggregator != fleet.own_index || account.limiters.size == 0 {
            let snapshot = QuotaSnapshot {
                remaining,
                demand_rate,
                age,
            };
            account.apply_relayed(now, plan, snapshot, ESTIMATE_LIFETIME);
        }
    } else if aggregator == from {
        apply_estimate(now, row, remaining, plan, account);
    }
}

/// The window of a row: the latest one that has begun and whose number ends with the row's bits.
fn window_of(row: &CounterRow, account: &Account) -> WindowNumber {
    let current = account.bucket.window.0;
    let windows_ago = current.wrapping_sub(row.window) & WINDOW_MASK;
    WindowNumber(current.saturating_sub(windows_ago))
}

/// Applies another limiter's total. If the row holds a demand, counts the demand and subscribes that limiter to this
/// limiter's estimates.
fn apply_report(
    now: Duration,
    from: u32,
    row: &CounterRow,
    fleet: &FleetConfig,
    plan: &Plan,
    account: &mut Account,
) {
    // Units corrected by a response may take a bucket below zero, by one request of the maximum size at most.
    let debt_limit = if fleet.settles_units {
        fleet.max_units
    } else {
        0.0
    };
    let window = window_of(row, account);
    let source = UsageSource::Peer(from);
    account.set_usage_elsewhere(now, plan, source, window, row.total, debt_limit);
    if let Some(demand) = row.demand {
        account.aggregation.demand.add(now, demand);
        subscribe(now, from, &mut account.aggregation.subscribers);
    }
}

/// Applies an estimate of the aggregator, less the units of this limiter that the aggregator had not counted yet.
fn apply_estimate(
    now: Duration,
    row: &CounterRow,
    remaining: f64,
    plan: &Plan,
    account: &mut Account,
) {
    let Some(age) = account.bucket.age(window_of(row, account)) else {
        return;
    };
    let own = account.bucket.own;
    let own_units = match age {
        WindowAge::Current => own.current,
        WindowAge::Previous => own.current + own.previous,
    };
    let estimated = remaining - own_units + row.total;
    account.bucket.correction += account.remaining(now, plan) - estimated;
    let published = &mut account.aggregation.published;
    published.remaining = estimated;
    published.demand_rate = row.demand;
    published.at = now;
    account.split_until = Duration::ZERO;
}

/// Adds or renews a subscriber. An estimate is due to it unless it was subscribed already and has been sent the latest
/// one.
fn subscribe(now: Duration, peer: u32, subscribers: &mut Vec<Subscriber>) {
    let is_up_to_date = subscribers
        .iter()
        .any(|subscriber| subscriber.peer == peer && !subscriber.estimate_due);
    subscribers.retain(|subscriber| subscriber.peer != peer);
    subscribers.push(Subscriber {
        peer,
        reported_at: now,
        estimate_due: !is_up_to_date,
    });
}
