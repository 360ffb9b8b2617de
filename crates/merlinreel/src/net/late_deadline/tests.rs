use super::*;
use tokio::task::yield_now;

const TIMEOUT: Duration = Duration::from_millis(50);

/// Reads data that has already arrived, in several iterations of the runtime.
async fn read_in_iterations(iterations: usize) {
    for _ in 0..iterations {
        yield_now().await;
    }
}

/// Stalls the runtime past the timeout, as a busy machine does.
async fn stall_then(future: impl Future<Output = ()>) {
    yield_now().await;
    std::thread::sleep(2 * TIMEOUT);
    future.await;
}

/// A remote end must not count as late because the limiter stalled.
#[tokio::test]
async fn pending_data_is_read_after_a_stall_past_the_deadline() {
    let result = timeout_caught_up(TIMEOUT, stall_then(read_in_iterations(20))).await;
    assert!(result.is_ok());
}

/// A remote end that sends nothing must not get a second full timeout.
#[tokio::test]
async fn silent_remote_end_times_out_soon_after_a_stall() {
    let started = Instant::now();
    let result = timeout_caught_up(TIMEOUT, stall_then(std::future::pending())).await;
    assert!(result.is_err());
    assert!(started.elapsed() < 20 * TIMEOUT, "{:?}", started.elapsed());
}

/// A deadline must expire, and not early.
#[tokio::test]
async fn deadline_does_not_expire_early() {
    let deadline = Instant::now() + TIMEOUT;
    sleep_until_caught_up(deadline).await;
    assert!(Instant::now() >= deadline);
}
