use super::*;
use std::future::Future;
use std::pin::pin;
use std::task::{Context, Waker};

/// Memory for 16 bytes.
fn memory() -> ResponseMemory {
    ResponseMemory {
        bytes: Arc::new(Semaphore::new(16)),
    }
}

/// A complete response occupies memory until its client has received it; the next response waits until memory is free.
#[tokio::test]
async fn complete_response_waits_for_memory_until_another_is_delivered() {
    let memory = memory();
    let mut undelivered = Vec::new();
    for _ in 0..4 {
        let Ok(bytes) = memory.account(Bytes::from_static(b"held")).await else {
            panic!("a body that fits")
        };
        undelivered.push(bytes);
    }
    let mut next = pin!(memory.account(Bytes::from_static(b"next")));
    let mut context = Context::from_waker(Waker::noop());
    assert!(next.as_mut().poll(&mut context).is_pending());
    undelivered.pop();
    assert_eq!(next.await.map(|bytes| bytes.len()), Ok(4));
}
