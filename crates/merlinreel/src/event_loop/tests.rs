use super::*;
use crate::messages::Queue;
use crate::messages::{AttemptCompletion, UpstreamRequest};
use tokio::sync::oneshot;

#[test]
fn the_clock_is_unix_time_and_only_runs_forward() {
    let clock = Clock::start();
    let unix = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .expect("after 1970");
    assert!(unix.abs_diff(clock.at(Instant::now())) < Duration::from_secs(60));
    let later = clock.started + Duration::from_secs(3600);
    assert_eq!(
        clock.at(later),
        clock.at(clock.started) + Duration::from_secs(3600)
    );
}

/// A driver that holds one job at most, and an arrival of that ticket.
fn event_loop() -> (EventLoop, Queue, mpsc::Receiver<Event>) {
    let settings = serde_json::json!({"classes": [{"idempotency": "non_idempotent", "promiseS": 30.0,
        "hardLimitS": 60.0}], "packages": [{"unitsPerS": 9.0, "mostAtOnce": 9.0}],
        "policyLimits": {"mostHeld": 1, "mayCancel": true}});
    let paths = merlinreel_settings::Paths::from_json(&settings);
    let settings = paths
        .and_then(|paths| merlinreel_settings::Settings::read(&paths))
        .expect("sound");
    let limits = crate::config::limits::Limits::new(1024, 192, &settings).expect("room");
    let (queue, events) = mpsc::channel(16);
    let metrics = Metrics::new(&[]);
    let servers = UpstreamPool::new(limits, &settings, queue.clone(), metrics.clone());
    (
        EventLoop::new(settings.limiter(7), servers, None, Clock::start(), metrics),
        queue,
        events,
    )
}

fn arrival(request_id: u64) -> (Event, oneshot::Receiver<ClientResponse>) {
    let (answer, answered) = oneshot::channel();
    let request = Request {
        id: 0,
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
    let until = Instant::now() + Duration::from_secs(60);
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
            until,
            upstream_request,
            answer,
        })),
        answered,
    )
}

#[tokio::test]
async fn what_cannot_be_held_is_refused_and_a_leaving_makes_room() {
    let (mut event_loop, _queue, _news) = event_loop();
    let ((first, mut waits), (second, mut refused)) = (arrival(1), arrival(2));
    // All that waits goes into one round, in order.
    event_loop.step(&mut vec![first, second]);
    assert!(waits.try_recv().is_err());
    assert!(matches!(
        refused.try_recv(),
        Ok(ClientResponse::Rejected(None))
    ));
    let (third, mut in_flight) = arrival(3);
    event_loop.step(&mut vec![
        Event::ClientDisconnected(1),
        Event::ClientDisconnected(99),
    ]);
    assert!(
        event_loop.executor.in_flight.iter().all(Option::is_none)
            && event_loop.executor.request_ids.is_empty()
    );
    event_loop.step(&mut vec![third]);
    assert!(in_flight.try_recv().is_err() && event_loop.executor.in_flight.len() == 1);
    assert!(event_loop.executor.wake_at.is_some());
}

#[tokio::test]
async fn an_end_told_twice_or_of_no_attempt_changes_nothing() {
    let (mut event_loop, _queue, _news) = event_loop();
    let end = AttemptCompletion {
        attempt_id: 5,
        outcome: AttemptOutcome::Success,
        latency: Duration::ZERO,
        units: None,
        load: LoadReport::default(),
        upstream_response: None,
        reusable: false,
    };
    assert!(event_loop.executor.end_attempt(end).is_none());
    let (first, mut waits) = arrival(1);
    event_loop.step(&mut vec![first]);
    event_loop.executor.fail(0);
    event_loop.executor.reject(0, None);
    assert!(matches!(waits.try_recv(), Ok(ClientResponse::Failed)));
}
