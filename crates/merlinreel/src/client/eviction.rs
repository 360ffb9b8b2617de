//! Which idle connections are closed so that new clients find a place.

use super::connection::ClientConnection;
use super::listener::ClientListener;
use crate::config::limits::Limits;
use crate::sync::lock;
use std::sync::Arc;
use std::sync::atomic::Ordering;

impl ClientListener {
    /// Asks idle connections to close where too many are open.
    pub(super) fn evict_idle(&self) {
        for client_connection in
            select_evictions(lock(&self.client_connections).values(), &self.limits)
        {
            client_connection.evict();
        }
    }
}

/// Selects as many idle connections as there are over the number that may stay idle; one that carried several requests
/// only at the connection limit. Proxies that hold so many connections and no more are thereby safe from clients that
/// connect, ask once and stay.
pub fn select_evictions<'a>(
    client_connections: impl ExactSizeIterator<Item = &'a Arc<ClientConnection>>,
    limits: &Limits,
) -> Vec<&'a ClientConnection> {
    let with_next = client_connections.len() + 1;
    if with_next <= limits.client.max_idle_connections {
        return Vec::new();
    }
    // Those that were asked to close before may still be open.
    let (evicted, others): (Vec<_>, Vec<_>) = client_connections
        .map(Arc::as_ref)
        .partition(|client_connection| client_connection.evicted.load(Ordering::Relaxed));
    let mut evictable: Vec<&ClientConnection> = others
        .into_iter()
        .filter(|client_connection| client_connection.is_evictable(limits))
        .collect();
    if with_next <= limits.client.max_connections {
        evictable
            .retain(|client_connection| client_connection.requests.load(Ordering::Relaxed) < 2);
    }
    evictable.sort_unstable_by_key(|client_connection| client_connection.eviction_rank());
    let excess = with_next - limits.client.max_idle_connections;
    evictable.truncate(excess.saturating_sub(evicted.len()));
    evictable
}
