//! Deadlines for data from the remote end of a connection. If the limiter itself stalled past a deadline (a busy machine,
//! or its own work), data that was sent in time may still be unread in the socket receive buffer: it is read before the
//! remote end counts as late.
//!
//! When a signal (SIGCONT, SIGHUP) interrupts the poller, it returns no events, but the runtime's timers fire nevertheless.
//! So an expired timer does not prove that no data had arrived.

use std::future::Future;
use std::time::{Duration, Instant};
use tokio::time::error::Elapsed;
use tokio::time::{sleep, sleep_until, timeout_at};

/// Time that lets the runtime query the poller once more before a deadline counts or a connection is closed.
pub const EXTRA_POLL_TIME: Duration = Duration::from_millis(1);
/// A timer that fires later than this after its deadline shows that the limiter stalled.
const MAX_TIMER_DELAY: Duration = Duration::from_millis(5);
/// After a stall, the unread data in the socket receive buffers is read within this time.
pub const CATCH_UP_TIME: Duration = Duration::from_millis(20);

/// Additional time to read data that arrived before `deadline`, if its expiry is noticed now.
fn catch_up_time(deadline: Instant) -> Duration {
    if deadline.elapsed() > MAX_TIMER_DELAY {
        CATCH_UP_TIME
    } else {
        EXTRA_POLL_TIME
    }
}

/// Waits until the deadline has passed and the limiter has had time to read the data that had arrived by then.
pub async fn sleep_until_caught_up(deadline: Instant) {
    sleep_until(deadline.into()).await;
    sleep(catch_up_time(deadline)).await;
}

/// Runs `future`, which waits for the remote end, until the deadline has passed and the data that had arrived by then was
/// read. Returns `None` then.
pub async fn before_deadline<F: Future>(deadline: Instant, future: F) -> Option<F::Output> {
    tokio::select! {
        biased;
        output = future => Some(output),
        () = sleep_until_caught_up(deadline) => None,
    }
}

/// Runs `future`, which waits for the remote end, for at most the time `within` plus the time to read the data that had
/// arrived by then.
///
/// # Errors
///
/// The time has elapsed, and the data that had arrived by then was read.
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
