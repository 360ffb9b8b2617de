//! Selects idle connections to close, so that new clients get a connection slot.

use super::connection::ClientConnection;
use super::listener::ClientListener;
use crate::config::limits::Limits;
use crate::sync::lock;
use std::sync::Arc;
use std::sync::atomic::Ordering;

impl ClientListener {
    /// Asks idle connections to close if too many are open.
    pub(super) fn evict_idle(&self) {
        for client_connection in
            select_evictions(lock(&self.client_connections).values(), &self.limits)
        {
            client_connection.evict();
        }
    }
}

/// Selects idle connections for eviction, one for each connection above `max_idle_connections`, the next one included.
/// Connections with two or more requests are selected only once the next one would exceed `max_connections`: proxies that
/// keep up to `max_idle_connections` connections thereby don't lose them to clients that connect, send one request and
/// stay.
pub fn select_evictions<'a>(
    client_connections: impl ExactSizeIterator<Item = &'a Arc<ClientConnection>>,
    limits: &Limits,
) -> Vec<&'a ClientConnection> {
    let with_next = client_connections.len() + 1;
    if with_next <= limits.client.max_idle_connections {
        return Vec::new();
    }
    // Connections that were asked to close before may still be open.
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
