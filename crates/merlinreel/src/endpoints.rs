//! The watch of discovery for the list of servers. As long as discovery is silent the last list is kept.

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

/// Watches discovery until it is dropped, from the list of `version` on where one is known. Where `address` changes the
/// open calls are dropped and the other address is asked for the full list at once, as its versions may be others. Updates
/// go to `queue`; `first_list` is notified once the first one is there.
pub async fn watch(
    mut address: watch::Receiver<SocketAddr>,
    mut version: Option<u64>,
    limits: Limits,
    queue: Queue,
    first_list: oneshot::Sender<()>,
) {
    let mut first_list = Some(first_list);
    loop {
        let present = *address.borrow_and_update();
        tokio::select! {
            biased;
            changed = address.changed() => match changed {
                Ok(()) => version = None,
                // The address can't change any more.
                Err(_) => {
                    return AddressWatch::new(present, version, &limits, &queue, &mut first_list)
                        .run()
                        .await;
                }
            },
            () = AddressWatch::new(present, version, &limits, &queue, &mut first_list).run() => {}
        }
    }
}
