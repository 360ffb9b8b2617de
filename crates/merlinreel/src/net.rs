//! What both sides of the limiter, clients and servers, need of the network.

pub mod backoff;
pub mod late_deadline;
pub mod observed_stream;
pub mod system_errors;
pub mod text_response;
