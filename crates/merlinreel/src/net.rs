//! Network utilities shared by the connections to clients, servers and the discovery agent.

pub mod backoff;
pub mod late_deadline;
pub mod observed_stream;
pub mod system_errors;
pub mod text_response;
