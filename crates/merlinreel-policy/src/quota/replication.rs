//! Decides whether usage is reported through aggregators, to the counter service or directly to the other limiters, and
//! what a direct report holds.

use super::aggregator_batch;
use super::counter;
use super::counter_client::CounterClient;
use super::intervals::{message_interval, uses_aggregator};
use super::peer_links::PeerLinks;
use super::table::{DirtyAccount, QuotaTable};
use super::window::WindowAge;
use crate::actions::Actions;
use crate::model::fleet::FleetConfig;
use crate::model::plan::Plan;
use crate::peer_batch::{CounterRow, ROWS_PER_MESSAGE};
use std::cmp::Ordering;
use std::time::Duration;

/// Sends the reports that are due. A limiter is sent only customers whose limiter set contains it.
pub fn send_updates(
    now: Duration,
    fleet: &FleetConfig,
    plans: &[Plan],
    quotas: &mut QuotaTable,
    peers: &mut PeerLinks,
    counter: &mut CounterClient,
    actions: &mut dyn Actions,
) {
    if uses_aggregator(fleet) {
        aggregator_batch::send(now, fleet, plans, quotas, peers, actions);
        return;
    }
    let dirty = collect_dirty(now, fleet, plans, quotas);
    if fleet.counter {
        counter::send_updates(now, plans, quotas, counter, &dirty, actions);
    }
    // Where there is a counter service, limiters report directly only while it cannot take all calls because it is
    // overloaded, slow or down.
    let counter_suffices = fleet.counter && now >= counter.overloaded_until;
    if !fleet.peer_messages || now < peers.next_broadcast_at || counter_suffices {
        return;
    }
    peers.next_broadcast_at = now + message_interval(fleet);
    broadcast(now, fleet, quotas, peers, &dirty, actions);
}

/// The accounts that have something to report, those with the emptiest buckets first: reports that exceed the message
/// or the call budget wait for a later tick.
fn collect_dirty(
    now: Duration,
    fleet: &FleetConfig,
    plans: &[Plan],
    quotas: &mut QuotaTable,
) -> Vec<DirtyAccount> {
    let QuotaTable {
        accounts, dirty, ..
    } = quotas;
    let mut order = Vec::new();
    dirty.retain(|&index| {
        let account = &mut accounts[index.0];
        let plan = &plans[account.plan];
        account.advance(now, plan);
        let replication = &mut account.replication;
        let counter_update_due = fleet.counter && replication.has_update_due();
        replication.dirty = replication.has_pending_broadcasts() || counter_update_due;
        let is_dirty = replication.dirty;
        if is_dirty {
            order.push(DirtyAccount {
                remaining_fraction: account.remaining(now, plan) / plan.burst.max(1.0),
                account: index,
            });
        }
        is_dirty
    });
    order.sort_by(|one, other| {
        one.remaining_fraction
            .partial_cmp(&other.remaining_fraction)
            .map_or(Ordering::Equal, |order| {
                order.then(one.account.cmp(&other.account))
            })
    });
    order
}

/// Sends each peer at most one batch. A row is sent to all of its receivers together, or waits while one of their
/// batches is full.
fn broadcast(
    now: Duration,
    fleet: &FleetConfig,
    quotas: &mut QuotaTable,
    peers: &mut PeerLinks,
    dirty: &[DirtyAccount],
    actions: &mut dyn Actions,
) {
    let limiters = fleet.limiters;
    let mut batches: Vec<Vec<CounterRow>> = vec![Vec::new(); limiters as usize];
    for entry in dirty {
        let account = &mut quotas[entry.account];
        let limiter_set = account.limiters;
        let receivers = (0..limiters)
            .filter(|&peer| peer != fleet.own_index && limiter_set.contains(peer, limiters));
        for age in WindowAge::OLDEST_FIRST {
            let is_full = receivers
                .clone()
                .any(|peer| batches[peer as usize].len() >= ROWS_PER_MESSAGE);
            if account.replication.pending_broadcasts[age] == 0 || is_full {
                continue;
            }
            for peer in receivers.clone() {
                batches[peer as usize].push(account.row(age));
            }
            account.replication.pending_broadcasts[age] -= 1;
            account.replication.unreported_units = 0.0;
        }
    }
    for (peer, rows) in (0..).zip(&batches) {
        if !rows.is_empty() {
            peers.send(now, peer, rows, actions);
        }
    }
}
