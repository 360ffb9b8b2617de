//! Types of the interface: plans, request classes, endpoints, requests, attempts and the fleet.
//!
//! Plain data that decides nothing; the input and the decisions are in [`crate::events`] and [`crate::actions`].

pub mod arriving_body;
pub mod attempt;
pub mod endpoint;
pub mod fleet;
pub mod index;
pub mod limiter_config;
pub mod plan;
pub mod reject_reason;
pub mod request;
pub mod request_class;
