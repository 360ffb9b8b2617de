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
fn driver() -> (EventLoop, Queue, mpsc::Receiver<Event>) {
    let settings = serde_json::json!({"classes": [{"idempotency": "non_idempotent", "promiseS": 30.0,
        "hardLimitS": 60.0}], "packages": [{"unitsPerS": 9.0, "mostAtOnce": 9.0}],
        "policyLimits": {"mostHeld": 1, "mayCancel": true}});
    let paths = merlinreel_settings::SettingsTree::from_json(&settings);
    let terms = paths
        .and_then(|paths| merlinreel_settings::Settings::read(&paths))
        .expect("sound");
    let limits = crate::config::limits::Limits::new(1024, 192, &terms).expect("room");
    let (queue, news) = mpsc::channel(16);
    let figures = Metrics::new(&[]);
    let servers = UpstreamPool::new(limits, &terms, queue.clone(), figures.clone());
    (
        EventLoop::new(terms.limiter(7), servers, None, Clock::start(), figures),
        queue,
        news,
    )
}

fn arrival(ticket: u64) -> (Event, oneshot::Receiver<ClientResponse>) {
    let (answer, answered) = oneshot::channel();
    let job = Request {
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
    let (method, uri, headers, body, claim) = Default::default();
    let until = Instant::now() + Duration::from_secs(60);
    let parcel = UpstreamRequest {
        method,
        uri,
        headers,
        body,
        claim,
    };
    (
        Event::Request(Box::new(IncomingRequest {
            ticket,
            job,
            until,
            parcel,
            answer,
        })),
        answered,
    )
}

#[tokio::test]
async fn what_cannot_be_held_is_refused_and_a_leaving_makes_room() {
    let (mut driver, _queue, _news) = driver();
    let ((first, mut waits), (second, mut refused)) = (arrival(1), arrival(2));
    // All that waits goes into one round, in order.
    driver.step(&mut vec![first, second]);
    assert!(waits.try_recv().is_err());
    assert!(matches!(
        refused.try_recv(),
        Ok(ClientResponse::Rejected(None))
    ));
    let (third, mut held) = arrival(3);
    driver.step(&mut vec![
        Event::ClientDisconnected(1),
        Event::ClientDisconnected(99),
    ]);
    assert!(driver.desk.held.iter().all(Option::is_none) && driver.desk.tickets.is_empty());
    driver.step(&mut vec![third]);
    assert!(held.try_recv().is_err() && driver.desk.held.len() == 1);
    assert!(driver.desk.wake_at.is_some());
}

#[tokio::test]
async fn an_end_told_twice_or_of_no_attempt_changes_nothing() {
    let (mut driver, _queue, _news) = driver();
    let end = AttemptCompletion {
        serial: 5,
        outcome: AttemptOutcome::Success,
        latency: Duration::ZERO,
        units: None,
        load: LoadReport::default(),
        delivery: None,
        reusable: false,
    };
    assert!(driver.desk.end_attempt(end).is_none());
    let (first, mut waits) = arrival(1);
    driver.step(&mut vec![first]);
    driver.desk.fail(0);
    driver.desk.reject(0, None);
    assert!(matches!(waits.try_recv(), Ok(ClientResponse::Failed)));
}
