//! Decides when unused accounts and servers are dropped. Otherwise customers that send a single request and servers
//! that are replaced again and again would fill the memory. Accounts are dropped earlier where there are too many.

use crate::actions::Actions;
use crate::model::endpoint::EndpointState;
use crate::model::limiter_config::LimiterConfig;
use crate::model::plan::Plan;
use crate::quota::account::Account;
use crate::quota::table::QuotaTable;
use crate::quota::window::window_seconds;
use crate::request_table::RequestTable;
use crate::server::pool::ServerPool;
use crate::server::server_state::Server;
use std::time::Duration;

/// Time between two checks for expiry.
pub const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// An idle account is kept for longer than the two windows in which it counts usage.
const ACCOUNT_WINDOWS: f64 = 2.0;
/// An idle account is kept for longer than this many checks, as many customers return.
const MIN_ACCOUNT_CHECKS: f64 = 30.0;
/// Shortest time between two early drops of accounts: each goes through all accounts.
const EARLY_DROP_INTERVAL: Duration = Duration::from_millis(100);
/// A removed server is kept for this many checks.
const REMOVED_SERVER_CHECKS: u32 = 30;

/// Drops accounts and servers that no request, window or peer message needs. Must be called once per
/// [`CHECK_INTERVAL`].
pub fn remove_expired(
    now: Duration,
    config: &LimiterConfig,
    quotas: &mut QuotaTable,
    servers: &mut ServerPool,
    requests: &RequestTable,
    actions: &mut dyn Actions,
) {
    let accounts_in_use = requests.pending.values().map(|pending| pending.account);
    quotas.remove_expired(&config.plans, accounts_in_use, |account, plan| {
        is_account_expired(now, account, plan)
    });
    let servers_in_use = requests
        .pending
        .values()
        .flat_map(|pending| &pending.attempts)
        .map(|attempt| attempt.server);
    for server in servers.remove_expired(servers_in_use, is_server_expired) {
        actions.release_endpoint(server);
    }
}

/// Makes room for new accounts in a table that is full: drops those that no request in progress refers to and whose bucket is
/// as full as that of a new account, without waiting until they have been idle for long. What is lost is a report of demand
/// that is not sent yet, and that the customer's quota was not split any more.
pub fn drop_full_accounts(
    now: Duration,
    config: &LimiterConfig,
    quotas: &mut QuotaTable,
    requests: &RequestTable,
) {
    let is_due = quotas
        .last_early_drop
        .is_none_or(|last| now >= last + EARLY_DROP_INTERVAL);
    if !is_due {
        return;
    }
    quotas.last_early_drop = Some(now);
    let accounts_in_use = requests.pending.values().map(|pending| pending.account);
    quotas.remove_expired(&config.plans, accounts_in_use, |account, plan| {
        account.counter.in_flight.is_none() && is_as_new(now, account, plan)
    });
}

/// Whether the account's bucket is as full as that of a new one.
fn is_as_new(now: Duration, account: &mut Account, plan: &Plan) -> bool {
    account.advance(now, plan);
    account.remaining(now, plan) >= plan.burst
}

/// Counts a check of an account that no request in progress refers to. After enough checks since the last call of
/// [`QuotaTable::mark_dirty`] for it, the account is expired if it has no counter call in flight, nothing to report and
/// no subscribers, and its bucket is as full as that of a new account.
fn is_account_expired(now: Duration, account: &mut Account, plan: &Plan) -> bool {
    account.idle_checks += 1;
    let min_checks = (ACCOUNT_WINDOWS * window_seconds(plan)).max(MIN_ACCOUNT_CHECKS);
    let is_idle = f64::from(account.idle_checks) > min_checks
        && !account.replication.dirty
        && account.counter.in_flight.is_none()
        && account.aggregation.subscribers.is_empty();
    is_idle && is_as_new(now, account, plan)
}

/// Counts the checks of a server since it was removed from the endpoint list; the server is expired after enough of
/// them.
fn is_server_expired(server: &mut Server) -> bool {
    server.removed_checks = if server.endpoint.state == EndpointState::Removed {
        server.removed_checks + 1
    } else {
        0
    };
    server.removed_checks > REMOVED_SERVER_CHECKS
}

#[cfg(test)]
mod tests;
