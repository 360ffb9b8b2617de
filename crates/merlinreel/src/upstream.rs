//! Connections to servers: the connection pool, one task per connection, and health checks. A connection carries one
//! attempt at a time, and this module never sends a request a second time on its own.

mod attempt;
mod body_buffer;
mod connection;
mod connection_task;
mod exchange;
mod health_check;
mod idle_connections;
mod load_report;
mod message;
mod open_connection;
mod pool;
mod response;
pub mod response_memory;
#[cfg(test)]
mod tests;
mod unsolicited_bytes;

pub use attempt::{Attempt, ConnectionHandle};
pub use message::strip_hop_by_hop;
pub use pool::UpstreamPool;
