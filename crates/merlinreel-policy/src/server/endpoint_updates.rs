//! Decides how updates of the endpoint list change the servers, and when the subscription to the list is renewed.

use super::concurrency_limit::initial_limit;
use super::pool::ServerPool;
use super::server_state::Server;
use super::subscription::EndpointSubscription;
use crate::actions::Actions;
use crate::events::EndpointUpdate;
use crate::model::endpoint::{Endpoint, EndpointConfig, EndpointState};
use std::time::Duration;

/// Minimum time between two subscription requests: limits the load on a discovery service that is overloaded, and is
/// far below `EndpointConfig::poll_deadline`.
const RESUBSCRIBE_INTERVAL: Duration = Duration::from_millis(500);

/// Applies an update of the endpoint list to the servers. A complete list removes the servers that it does not name;
/// where discovery was unavailable, the known list stays in use and the subscription is marked as lost.
pub fn apply(
    now: Duration,
    update: &EndpointUpdate,
    config: &EndpointConfig,
    limiters: u32,
    pool: &mut ServerPool,
    subscription: &mut EndpointSubscription,
) {
    subscription.lost = update.unavailable;
    if update.unavailable {
        return;
    }
    let had_no_eligible_server = pool.eligible().next().is_none();
    for started_at in update
        .endpoints
        .iter()
        .filter_map(|endpoint| endpoint.started_at)
    {
        pool.start_clock.report(now, started_at);
    }
    if update.complete {
        for server in pool.servers.values_mut() {
            server.eligible = false;
            server.endpoint.state = EndpointState::Removed;
        }
    }
    for endpoint in &update.endpoints {
        apply_endpoint(now, endpoint, config, limiters, pool);
    }
    if had_no_eligible_server {
        pool.fall_back_to_wall_clock(now, config);
    }
}

fn apply_endpoint(
    now: Duration,
    endpoint: &Endpoint,
    config: &EndpointConfig,
    limiters: u32,
    pool: &mut ServerPool,
) {
    let slot = pool.servers.slot(endpoint.server);
    let is_new = slot.is_none();
    let initial_limit = initial_limit(limiters);
    let server =
        slot.get_or_insert_with(|| Server::new(*endpoint, initial_limit, config.overload_window));
    let has_restarted = is_new || endpoint.started_at != server.endpoint.started_at;
    server.endpoint = *endpoint;
    server.eligible = endpoint.state == EndpointState::Ready;
    if let Some(started_at) = endpoint.started_at.filter(|_| has_restarted) {
        let since = now.saturating_sub(pool.start_clock.age(now, started_at));
        // This limiter may itself have detected a restart that is later than the reported start.
        let known_since = server.slow_start_since;
        server.slow_start_since = Some(known_since.map_or(since, |known| known.max(since)));
        server.limit.attempts = server.limit.attempts.min(initial_limit);
    }
}

/// Requests the endpoint list again, at intervals, while the subscription is lost.
pub fn renew_subscription(
    now: Duration,
    subscription: &mut EndpointSubscription,
    actions: &mut dyn Actions,
) {
    if subscription.lost && now >= subscription.requested_at + RESUBSCRIBE_INTERVAL {
        subscription.requested_at = now;
        actions.set_endpoint_subscription(true);
    }
}
