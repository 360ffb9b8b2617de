//! A short latency measurement that checks counts and properties that do not depend on the machine's speed. The `scale`
//! command measures the latencies themselves.

use merlinreel_testkit::scale::latency::{
    ClientConnections, LatencyError, LatencySetting, Limiter, LoadResult, LoopbackServers,
    RequestPlan, Sample, measure_setting,
};
use merlinreel_testkit::scale::{DataPoint, MeasureRequest, Point, check_slope};
use std::thread;
use std::time::{Duration, Instant};
use test_case::test_case;

const SEED: u64 = 0x5eed;
const PER_SECOND: u64 = 400;
const CONNECTIONS: usize = 4;
const SERVERS: usize = 20;
const RESPONSE_BYTES: usize = 300;
/// Requests at the servers grow in proportion to those that clients send, with one attempt each (exponent 1); the
/// margin allows for retried attempts.
const MAX_EXPONENT: f64 = 1.1;

fn plan(requests: u64) -> RequestPlan {
    RequestPlan::new(PER_SECOND, requests, CONNECTIONS, SEED)
}

/// Sends a plan through a limiter. Returns the result and the number of requests that the servers received.
fn send_through_limiter(plan: &RequestPlan, response_bytes: usize) -> (LoadResult, u64) {
    let servers = LoopbackServers::start(SERVERS, response_bytes).expect("servers");
    let limiter = Limiter::start(&servers);
    let mut clients =
        ClientConnections::open(&[limiter.address()], CONNECTIONS).expect("connections");
    let result = clients
        .send(plan)
        .expect("one response with status 200 to each request");
    (result, servers.requests())
}

#[test_case(RESPONSE_BYTES ; "short responses")]
#[test_case(65_536 ; "long responses")]
fn request_through_a_limiter_is_answered_once_and_counted(response_bytes: usize) {
    let plan = plan(200);
    let (result, received) = send_through_limiter(&plan, response_bytes);
    assert_eq!((result.samples.len(), result.histogram.len()), (200, 200));
    let planned: Vec<Duration> = result.samples.iter().map(|sample| sample.planned).collect();
    assert_eq!(
        planned,
        plan.requests
            .iter()
            .map(|request| request.send_time)
            .collect::<Vec<_>>()
    );
    let in_order =
        |sample: &Sample| sample.planned <= sample.sent && sample.sent <= sample.completed;
    assert!(result.samples.iter().all(in_order));
    assert!(received >= 200, "{received}");
}

#[test_case(50 ; "interval of whole nanoseconds")]
#[test_case(3_000 ; "interval of fractional nanoseconds")]
fn planned_send_times_are_evenly_spaced(per_second: u64) {
    let plan = RequestPlan::new(per_second, 2 * per_second + 1, CONNECTIONS, SEED);
    let interval = Duration::from_secs(1) / per_second as u32;
    for pair in plan.requests.windows(2) {
        let gap = pair[1]
            .send_time
            .checked_sub(pair[0].send_time)
            .expect("in order");
        assert!(
            gap >= interval && gap <= interval + Duration::from_nanos(1),
            "{gap:?}"
        );
    }
    assert_eq!(
        plan.last_send_time(),
        Duration::from_secs(2),
        "rounding errors accumulate"
    );
}

#[test]
fn same_seed_gives_the_same_requests_and_counts() {
    assert_eq!(plan(200), plan(200));
    assert_ne!(
        plan(200),
        RequestPlan::new(PER_SECOND, 200, CONNECTIONS, SEED + 1)
    );
    let response_count = || {
        send_through_limiter(&plan(100), RESPONSE_BYTES)
            .0
            .histogram
            .len()
    };
    assert_eq!(response_count(), response_count());
}

#[test]
fn requests_at_servers_grow_in_proportion_to_those_of_clients() {
    let sizes = [50, 100, 200, 400];
    let points = sizes.map(|size| {
        Point::new(
            size as f64,
            send_through_limiter(&plan(size), RESPONSE_BYTES).1 as f64,
        )
    });
    check_slope(&points, MAX_EXPONENT).expect("about one attempt per request");
}

/// The slope check must fail for a quadratic cost: the plan is sent once for every fifty of its requests.
#[test]
fn plan_that_is_sent_repeatedly_is_too_steep() {
    let servers = LoopbackServers::start(SERVERS, RESPONSE_BYTES).expect("servers");
    let limiter = Limiter::start(&servers);
    let points = [50, 100, 200].map(|size: u64| {
        let mut clients =
            ClientConnections::open(&[limiter.address()], CONNECTIONS).expect("connections");
        let before = servers.requests();
        let plan = RequestPlan::new(PER_SECOND, size, CONNECTIONS, SEED);
        (0..size / 50).for_each(|_| drop(clients.send(&plan).expect("responses")));
        Point::new(size as f64, (servers.requests() - before) as f64)
    });
    check_slope(&points, MAX_EXPONENT).expect_err("quadratic");
}

/// The load is open-loop: the latency of requests that were due while a response was held counts from their planned
/// send times. All bounds are lower bounds; they hold on any machine, as the response is released after the last
/// planned time.
#[test]
fn stall_of_a_server_shows_in_all_requests_that_were_due_during_it() {
    const REQUESTS: u64 = 60;
    const HELD_REQUEST: usize = 9;
    let plan = RequestPlan::new(100, REQUESTS, 1, SEED);
    let (servers, hold) =
        LoopbackServers::start_holding(1, RESPONSE_BYTES, &plan.requests[HELD_REQUEST].id)
            .expect("servers");
    let limiter = Limiter::start(&servers);
    let mut clients = ClientConnections::open(&[limiter.address()], 1).expect("a connection");
    let start = Instant::now();
    let release_at = plan.last_send_time();
    let result = thread::scope(|scope| {
        let load = scope.spawn(|| clients.send_from(&plan, start));
        assert!(hold.wait_for_request(), "the request reaches the server");
        thread::sleep((start + release_at).saturating_duration_since(Instant::now()));
        hold.release();
        load.join()
            .expect("no panic")
            .expect("one response with status 200 to each request")
    });
    assert_eq!(result.histogram.len(), REQUESTS);
    let delayed = &result.samples[HELD_REQUEST..];
    assert!(delayed.iter().all(
        |sample| sample.latency() >= release_at.checked_sub(sample.planned).expect("in order")
    ));
    // Requests that were due at least a quarter of a second before the release; the histogram's resolution is a
    // thousandth.
    let quarter = Duration::from_millis(250);
    let long_delayed = delayed
        .iter()
        .filter(|sample| sample.planned + quarter <= release_at)
        .count() as u64;
    assert_eq!(long_delayed, 26);
    let min_latency_us = quarter.as_micros() as u64 * 999 / 1_000;
    let slow_responses = result.histogram.count_between(min_latency_us, u64::MAX);
    assert!(
        slow_responses >= long_delayed,
        "{slow_responses} of {long_delayed}"
    );
}

#[test]
fn latency_of_a_late_request_counts_from_its_planned_time() {
    let [planned, sent, completed] = [10, 110, 111].map(Duration::from_millis);
    let result = LoadResult::new(vec![Sample {
        planned,
        sent,
        completed,
    }])
    .expect("recorded");
    assert_eq!(result.histogram.value_at_quantile(1.0) / 1_000, 101);
}

/// Failed requests are never left out of a result silently: the first response with another status ends the load.
#[test]
fn rejected_request_ends_the_load_with_its_status() {
    let servers = LoopbackServers::start(1, RESPONSE_BYTES).expect("servers");
    let limiter = Limiter::start(&servers);
    let mut clients = ClientConnections::open(&[limiter.address()], 1).expect("a connection");
    let mut plan = RequestPlan::new(PER_SECOND, 4, 1, SEED);
    // A second `X-Plan` header, which the limiter rejects.
    plan.requests[2].id = "9b\r\nX-Plan: other".to_owned();
    match clients.send(&plan) {
        Err(LatencyError::Status { status, .. }) => assert_eq!(status, 400),
        other => panic!("{other:?}"),
    }
}

/// The direct load lasts longer than the limiter's timeout for connections without a request: client connections to the
/// limiter that were opened before it would be closed when the load through the limiter starts.
#[test]
fn measured_setting_has_every_percentile_directly_and_through_the_limiter() {
    let setting = LatencySetting {
        requests_per_second: 100,
        servers: 2,
        client_connections: 8,
        duration: Duration::from_millis(1_500),
        ..LatencySetting::default()
    };
    let request = MeasureRequest::new(vec![2], SEED, 1, None).expect("valid");
    let mut points: Vec<DataPoint> = Vec::new();
    let mut emit = |point| {
        points.push(point);
        Ok(())
    };
    measure_setting("servers", 2, &setting, &request, &mut emit)
        .expect("one response with status 200 to each request");
    let points_named = |name: &str| points.iter().filter(|point| point.metric == name).count();
    for path in ["direct", "through", "added"] {
        for percentile in ["p50", "p90", "p99", "p99_9", "max"] {
            assert_eq!(
                points_named(&format!("{path}_{percentile}")),
                1,
                "{path}_{percentile}"
            );
        }
    }
    let responses = points
        .iter()
        .find(|point| point.metric == "answered")
        .expect("counted");
    assert_eq!((responses.value, responses.runs), (150.0, 1));
    assert_eq!(points.len(), 16);
}
