//! Decides which customers' units are added to the counter service, and adjusts the rate of calls to it.

use super::account_parts::CounterCall;
use super::counter_client::CounterClient;
use super::table::{DirtyAccount, QuotaTable};
use super::token_bucket::UsageSource;
use super::window::{WindowAge, WindowNumber, window_seconds};
use crate::actions::Actions;
use crate::events::CounterReply;
use crate::model::fleet::FleetConfig;
use crate::model::plan::Plan;
use crate::time;
use std::time::Duration;

/// Calls that may always accumulate: in a large fleet, each limiter has a budget of less than one call per tick.
const MIN_CALL_BURST: f64 = 4.0;
/// Time for which the counter service is considered overloaded after a call had to wait.
const OVERLOAD_DURATION: Duration = Duration::from_secs(1);
/// Number of windows for which the counter service keeps a counter after an increment.
const COUNTER_LIFETIME_WINDOWS: f64 = 3.0;
/// Upper bound of the time for which the counter service keeps a counter.
const MAX_COUNTER_LIFETIME_SECONDS: f64 = 60.0;
/// Factor on the call rate after a reply. With [`RATE_DECREASE_FACTOR`], one call in twenty may fail before the rate
/// falls.
const RATE_INCREASE_FACTOR: f64 = 1.01;
/// Factor on the call rate after a call without a reply.
const RATE_DECREASE_FACTOR: f64 = 0.8;
/// With ticks of 20 ms: one call every two seconds.
const MIN_CALLS_PER_TICK: f64 = 0.01;
const MAX_CALLS_PER_TICK: f64 = 64.0;

/// Sends the counter service the units of the accounts that have an update due, in the order given, until the call
/// budget is used up.
pub fn send_updates(
    now: Duration,
    plans: &[Plan],
    quotas: &mut QuotaTable,
    counter: &mut CounterClient,
    dirty: &[DirtyAccount],
    actions: &mut dyn Actions,
) {
    let burst = counter.calls_per_tick.max(MIN_CALL_BURST);
    counter.call_credit = (counter.call_credit + counter.calls_per_tick).min(burst);
    for entry in dirty {
        let account = &mut quotas[entry.account];
        for age in WindowAge::OLDEST_FIRST {
            if !account.replication.update_due[age] || account.counter.in_flight.is_some() {
                continue;
            }
            if counter.call_credit < 1.0 {
                counter.overloaded_until = now + OVERLOAD_DURATION;
                continue;
            }
            counter.call_credit -= 1.0;
            let window = account.bucket.wire_number(age);
            let own_units = account.bucket.own[age];
            let amount = own_units - account.counter.counted[age];
            account.counter.counted[age] = own_units;
            account.counter.in_flight = Some(CounterCall {
                window,
                own_units,
                amount,
            });
            account.replication.update_due[age] = false;
            account.replication.unreported_units = 0.0;
            let lifetime_seconds = window_seconds(&plans[account.plan]) * COUNTER_LIFETIME_WINDOWS;
            let lifetime = time::from_seconds(lifetime_seconds.min(MAX_COUNTER_LIFETIME_SECONDS));
            actions.increment_counter(account.customer, window.0, amount, lifetime);
        }
    }
}

/// Lowers the call rate after a call without a reply, as the counter service may be overloaded or down. A reply raises
/// it, but only if calls had to wait recently.
fn adjust_rate(now: Duration, counter: &mut CounterClient, replied: bool) {
    let increase = if now < counter.overloaded_until {
        RATE_INCREASE_FACTOR
    } else {
        1.0
    };
    counter.calls_per_tick *= if replied {
        increase
    } else {
        RATE_DECREASE_FACTOR
    };
    counter.calls_per_tick = counter
        .calls_per_tick
        .clamp(MIN_CALLS_PER_TICK, MAX_CALLS_PER_TICK);
}

/// Applies the reply to a call, or its absence. Units of a call without a reply count as added, unless they are known
/// not to have been: then they are due again.
pub fn apply_reply(
    now: Duration,
    reply: &CounterReply,
    fleet: &FleetConfig,
    plans: &[Plan],
    quotas: &mut QuotaTable,
    counter: &mut CounterClient,
) {
    adjust_rate(now, counter, reply.total.is_some());
    let Some(&index) = quotas.by_customer.get(&reply.customer) else {
        return;
    };
    quotas.mark_dirty(index);
    let account = &mut quotas[index];
    let window = WindowNumber(reply.window);
    let in_flight = account.counter.in_flight;
    let Some(call) = in_flight.filter(|call| call.window == window) else {
        return;
    };
    account.counter.in_flight = None;
    let plan = &plans[account.plan];
    account.advance(now, plan);
    if let Some(total) = reply.total {
        let others = total - call.own_units;
        let source = UsageSource::Counter;
        account.set_usage_elsewhere(now, plan, source, window, others, fleet.max_units);
        return;
    }
    if let (Some(age), true) = (account.bucket.age(window), reply.not_added) {
        account.counter.counted[age] -= call.amount;
        account.replication.update_due[age] = true;
    }
}
