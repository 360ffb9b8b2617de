use super::*;
use crate::messages::{AttemptCompletion, AttemptId, Queue, UpstreamRequest};
use merlinreel_policy::{Actions, AttemptOutcome, LoadReport};
use merlinreel_policy::{RejectReason, RequestIndex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::oneshot;

#[test]
fn clock_is_unix_time_and_never_runs_backwards() {
    let clock = Clock::start();
    let unix = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .expect("after 1970");
    assert!(unix.abs_diff(clock.unix_time_at(Instant::now())) < Duration::from_secs(60));
    let later = clock.started + Duration::from_secs(3600);
    assert_eq!(
        clock.unix_time_at(later),
        clock.unix_time_at(clock.started) + Duration::from_secs(3600)
    );
}

/// An event loop that accepts one request at a time.
fn event_loop() -> (EventLoop, Queue, mpsc::Receiver<Event>) {
    let settings = serde_json::json!({"classes": [{"idempotency": "non_idempotent", "promiseS": 30.0,
        "hardLimitS": 60.0}], "packages": [{"unitsPerS": 9.0, "mostAtOnce": 9.0}],
        "policyLimits": {"mostHeld": 1, "mayCancel": true}});
    let tree = merlinreel_settings::SettingsTree::from_json(&settings);
    let settings = tree
        .and_then(|tree| merlinreel_settings::Settings::read(&tree))
        .expect("valid settings");
    let limits = crate::config::limits::Limits::new(1024, 192, &settings).expect("enough memory");
    let (queue, events) = mpsc::channel(16);
    let metrics = Metrics::new(&[]);
    let upstreams = UpstreamPool::new(limits, &settings, queue.clone(), metrics.clone());
    (
        EventLoop::new(
            settings.limiter(7),
            upstreams,
            None,
            Clock::start(),
            metrics.clone(),
            StallMonitor::new(metrics),
        ),
        queue,
        events,
    )
}

fn incoming_request(request_id: u64) -> (Event, oneshot::Receiver<ClientResponse>) {
    let (response_sender, response) = oneshot::channel();
    let request = Request {
        id: RequestIndex(0),
        customer: 7,
        plan: 0,
        class: 0,
        units: 1.0,
        remaining_time: Duration::ZERO,
        set_size: 1,
        set_first: 0,
        is_retry: false,
    };
    let (method, uri, headers, body, permit) = Default::default();
    let deadline = Instant::now() + Duration::from_secs(60);
    let upstream_request = UpstreamRequest {
        method,
        uri,
        headers,
        body,
        permit,
    };
    (
        Event::Request(Box::new(IncomingRequest {
            request_id,
            request,
            deadline,
            upstream_request,
            response_sender,
        })),
        response,
    )
}

#[tokio::test]
async fn request_over_the_maximum_is_rejected_until_a_client_disconnects() {
    let (mut event_loop, _queue, _events) = event_loop();
    let ((first, mut first_response), (second, mut second_response)) =
        (incoming_request(1), incoming_request(2));
    // Both events are processed in one batch, in order.
    event_loop.process_events(&mut vec![first, second]);
    assert!(first_response.try_recv().is_err());
    assert!(matches!(
        second_response.try_recv(),
        Ok(ClientResponse::Rejected(None))
    ));
    let (third, mut third_response) = incoming_request(3);
    event_loop.process_events(&mut vec![
        Event::ClientDisconnected(1),
        Event::ClientDisconnected(99),
    ]);
    assert!(
        event_loop
            .executor
            .requests
            .slots
            .iter()
            .all(Option::is_none)
            && event_loop.executor.requests.waiting() == 0
    );
    event_loop.process_events(&mut vec![third]);
    assert!(third_response.try_recv().is_err() && event_loop.executor.requests.slots.len() == 1);
    assert!(event_loop.executor.wake_at.is_some());
}

#[tokio::test]
async fn repeated_or_unknown_completion_changes_nothing() {
    let (mut event_loop, _queue, _events) = event_loop();
    let completion = AttemptCompletion {
        attempt_id: AttemptId(5),
        outcome: AttemptOutcome::Success,
        latency: Duration::ZERO,
        units: None,
        load: LoadReport::default(),
        upstream_response: None,
        reusable: false,
    };
    assert!(event_loop.executor.complete_attempt(completion).is_none());
    let (first, mut first_response) = incoming_request(1);
    event_loop.process_events(&mut vec![first]);
    event_loop.executor.fail(RequestIndex(0));
    event_loop
        .executor
        .reject(RequestIndex(0), RejectReason::Quota, None);
    assert!(matches!(
        first_response.try_recv(),
        Ok(ClientResponse::Failed)
    ));
}
