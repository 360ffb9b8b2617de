//! Deadlines of what peers send. Where the limiter was held up past one, by the machine or by its own work, what the peer
//! had sent in time may still lie in the socket: it is read before the peer is called late.
//!
//! A wait for the poller that a signal interrupts (SIGCONT, SIGHUP) returns no events, and the runtime's timers fire
//! all the same. So a timer that has fired does not prove that nothing arrived before.

use std::future::Future;
use std::time::{Duration, Instant};
use tokio::time::error::Elapsed;
use tokio::time::{sleep, sleep_until, timeout_at};

/// A turn of the runtime, in which the poller is asked once more.
pub const POLLER_TURN: Duration = Duration::from_millis(1);
/// A deadline that is noticed later than this was missed by the limiter.
const MAX_TIMER_DELAY: Duration = Duration::from_millis(5);
/// Time to read what lies in the socket, for a limiter that was held up.
const CATCH_UP_TIME: Duration = Duration::from_millis(20);

/// How much longer a peer has whose deadline is noticed now.
fn catch_up_time(deadline: Instant) -> Duration {
    if deadline.elapsed() > MAX_TIMER_DELAY {
        CATCH_UP_TIME
    } else {
        POLLER_TURN
    }
}

/// Waits until a peer's deadline has passed and the limiter has had time to read what had arrived by then.
pub async fn sleep_until_caught_up(deadline: Instant) {
    sleep_until(deadline.into()).await;
    sleep(catch_up_time(deadline)).await;
}

/// The result of `future`, which waits for a peer, unless it is not there in time.
///
/// # Errors
///
/// The time is over, and what had arrived by then was read.
pub async fn timeout_caught_up<F: Future>(
    within: Duration,
    future: F,
) -> Result<F::Output, Elapsed> {
    let deadline = Instant::now() + within;
    tokio::pin!(future);
    if let Ok(result) = timeout_at(deadline.into(), future.as_mut()).await {
        return Ok(result);
    }
    let caught_up = Instant::now() + catch_up_time(deadline);
    timeout_at(caught_up.into(), future).await
}

#[cfg(test)]
mod tests;
