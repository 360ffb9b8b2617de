//! Network helpers shared by the client and the upstream side.

pub mod backoff;
pub mod observed_stream;
pub mod system_errors;
