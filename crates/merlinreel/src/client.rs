//! Client connections: reads requests, passes them to the event loop, and sends one response to each.

mod accept;
mod arrival_times;
mod body;
mod connection;
mod decode;
mod eviction;
mod framing;
mod in_flight;
mod listener;
mod request_reader;
mod response;
mod serving;
mod shutdown;
mod stream;
#[cfg(test)]
mod tests;

pub use listener::ClientListener;
pub use shutdown::ListenerOrigin;
