use super::*;
use tokio::task::yield_now;

const TIMEOUT: Duration = Duration::from_millis(50);

/// A peer whose bytes are all there, and are read in several turns of the runtime.
async fn read_in_turns(turns: usize) {
    for _ in 0..turns {
        yield_now().await;
    }
}

/// Holds the runtime up past the timeout, as a busy machine does.
async fn hold_up_then(future: impl Future<Output = ()>) {
    yield_now().await;
    std::thread::sleep(2 * TIMEOUT);
    future.await;
}

/// Guards against a peer that is called late because the limiter was.
#[tokio::test]
async fn what_is_at_hand_is_read_after_a_hold_up_past_the_deadline() {
    let result = timeout_caught_up(TIMEOUT, hold_up_then(read_in_turns(20))).await;
    assert!(result.is_ok());
}

/// Guards against a second term for a peer that sends nothing.
#[tokio::test]
async fn silent_peer_is_given_up_soon_after_a_hold_up() {
    let started = Instant::now();
    let result = timeout_caught_up(TIMEOUT, hold_up_then(std::future::pending())).await;
    assert!(result.is_err());
    assert!(started.elapsed() < 20 * TIMEOUT, "{:?}", started.elapsed());
}

/// Guards against a deadline that is noticed early, or never.
#[tokio::test]
async fn deadline_passes_when_it_is_due() {
    let deadline = Instant::now() + TIMEOUT;
    sleep_until_caught_up(deadline).await;
    assert!(Instant::now() >= deadline);
}
