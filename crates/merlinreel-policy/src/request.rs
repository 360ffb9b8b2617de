//! Requests: admission, the queue, retries, and the final response.
//!
//! State: [`remaining_time`] and [`crate::request_table`]. Decisions: [`time_spent`], [`admission`], [`queue`], [`retry`],
//! [`response_forwarding`], [`repeated_id`] and [`completion`].

pub mod admission;
pub mod completion;
pub mod queue;
pub mod remaining_time;
pub mod repeated_id;
pub mod response_forwarding;
pub mod retry;
pub mod time_spent;

#[cfg(test)]
mod tests;
