//! An admitted job and its attempts, as they are kept; nothing is decided here.

use crate::Request;
use std::time::Duration;

pub struct Attempt {
    pub server: u32,
    pub sent: Duration,
    pub out: bool,
    pub revoked: bool,
    /// Its answer is no more expected, and its credit given back.
    pub overdue: bool,
}

pub struct PendingRequest {
    pub request: Request,
    pub account: usize,
    pub arrived: Duration,
    pub target: Duration,
    pub give_up: Duration,
    pub attempts: Vec<Attempt>,
    /// The window that its units were charged to, if they were.
    pub window: Option<u64>,
    /// As many such jobs its report stands for.
    pub stands_for: f64,
    pub done: bool,
    pub queued: bool,
    /// The first attempt that may have run: where and when it was sent.
    pub ran: Option<(u32, Duration)>,
}

impl PendingRequest {
    /// Admitted and waiting for its first attempt.
    pub fn new(
        request: &Request,
        account: usize,
        now: Duration,
        target: Duration,
        window: Option<u64>,
    ) -> PendingRequest {
        PendingRequest {
            request: *request,
            account,
            arrived: now,
            target,
            give_up: now + request.remaining_time,
            attempts: Vec::new(),
            window,
            stands_for: 1.0,
            done: false,
            queued: true,
            ran: None,
        }
    }
}
