//! Watches discovery for the endpoint list. While discovery does not respond, the last list stays in use.

mod address_watch;
mod call_timing;
mod discovery_connection;
mod failure_log;
mod open_calls;
#[cfg(test)]
mod tests;

pub use discovery_connection::DiscoveryError;

use crate::config::limits::Limits;
use crate::messages::Queue;
use address_watch::AddressWatch;
use std::net::SocketAddr;
use tokio::sync::{oneshot, watch};

/// Watches discovery until the future is dropped. `version` is that of the cached endpoint list, or `None` if there is
/// no such list. When `address` changes, the open calls are dropped and the full list is fetched from the new address
/// at once, as its version numbers may differ. Updates are sent to `queue`; `first_list` is notified after the first
/// response, once its update, if it has changes, is in the queue.
pub async fn watch(
    mut address: watch::Receiver<SocketAddr>,
    mut version: Option<u64>,
    limits: Limits,
    queue: Queue,
    first_list: oneshot::Sender<()>,
) {
    let mut first_list = Some(first_list);
    loop {
        let current = *address.borrow_and_update();
        tokio::select! {
            biased;
            changed = address.changed() => match changed {
                Ok(()) => version = None,
                // The sender was dropped, so the address can't change any more.
                Err(_) => {
                    return AddressWatch::new(current, version, &limits, &queue, &mut first_list)
                        .run()
                        .await;
                }
            },
            () = AddressWatch::new(current, version, &limits, &queue, &mut first_list).run() => {}
        }
    }
}
