//! Deadlines of what peers send. Where the limiter was held up past one, by the machine or by its own work, what the peer
//! had sent in time may still lie in the socket: it is read before the peer is called late.
//!
//! A wait for the poller that a signal interrupts (SIGCONT, SIGHUP) returns no events, and the runtime's timers fire
//! all the same. So a timer that has fired does not prove that nothing arrived before.

use std::time::Duration;

/// A turn of the runtime, in which the poller is asked once more.
pub const POLLER_TURN: Duration = Duration::from_millis(1);
