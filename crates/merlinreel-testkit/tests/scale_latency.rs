//! The latency measurement in a short form: counts only, and what must hold whatever the machine's speed. Times are
//! measured by the `scale` command.

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
/// Requests that reach the servers grow as those that clients send, an attempt each (exponent 1); the margin is for
/// attempts that are made again.
const MAX_EXPONENT: f64 = 1.1;

fn plan(requests: u64) -> RequestPlan {
    RequestPlan::new(PER_SECOND, requests, CONNECTIONS, SEED)
}

/// The result of a plan, and how many requests reached the servers.
fn send_through_limiter(plan: &RequestPlan, response_bytes: usize) -> (LoadResult, u64) {
    let servers = LoopbackServers::start(SERVERS, response_bytes).expect("servers");
    let limiter = Limiter::start(&servers);
    let mut clients =
        ClientConnections::open(&[limiter.address()], CONNECTIONS).expect("connections");
    let result = clients
        .send(plan)
        .expect("each request is answered 200 once");
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
            .map(|request| request.at)
            .collect::<Vec<_>>()
    );
    let in_order =
        |sample: &Sample| sample.planned <= sample.sent && sample.sent <= sample.answered;
    assert!(result.samples.iter().all(in_order));
    assert!(received >= 200, "{received}");
}

#[test_case(50 ; "evenly divided")]
#[test_case(3_000 ; "with a remainder")]
fn planned_send_times_are_evenly_spaced(per_second: u64) {
    let plan = RequestPlan::new(per_second, 2 * per_second + 1, CONNECTIONS, SEED);
    let interval = Duration::from_secs(1) / per_second as u32;
    for pair in plan.requests.windows(2) {
        let apart = pair[1].at.checked_sub(pair[0].at).expect("in order");
        assert!(
            apart >= interval && apart <= interval + Duration::from_nanos(1),
            "{apart:?}"
        );
    }
    assert_eq!(
        plan.last_at(),
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
    let answered = || {
        send_through_limiter(&plan(100), RESPONSE_BYTES)
            .0
            .histogram
            .len()
    };
    assert_eq!(answered(), answered());
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
    check_slope(&points, MAX_EXPONENT).expect("about one attempt a request");
}

/// A deliberate cost, measured in the same way: the plan is sent once for each fifty of its requests.
#[test]
fn plan_that_is_sent_repeatedly_is_too_steep() {
    let servers = LoopbackServers::start(SERVERS, RESPONSE_BYTES).expect("servers");
    let limiter = Limiter::start(&servers);
    let points = [50, 100, 200].map(|size: u64| {
        let mut clients =
            ClientConnections::open(&[limiter.address()], CONNECTIONS).expect("connections");
        let before = servers.requests();
        let plan = RequestPlan::new(PER_SECOND, size, CONNECTIONS, SEED);
        (0..size / 50).for_each(|_| drop(clients.send(&plan).expect("answers")));
        Point::new(size as f64, (servers.requests() - before) as f64)
    });
    check_slope(&points, MAX_EXPONENT).expect_err("quadratic");
}

/// The load is open: requests that were due while a response was held count from their planned times. Each bound is a
/// lower one that holds because the release comes after the last planned time, however fast the machine is.
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
    let release_at = plan.last_at();
    let result = thread::scope(|scope| {
        let load = scope.spawn(|| clients.send_from(&plan, start));
        assert!(hold.wait(), "the request reaches the server");
        thread::sleep((start + release_at).saturating_duration_since(Instant::now()));
        hold.release();
        load.join()
            .expect("no panic")
            .expect("each request is answered 200 once")
    });
    assert_eq!(result.histogram.len(), REQUESTS);
    let delayed = &result.samples[HELD_REQUEST..];
    assert!(delayed.iter().all(
        |sample| sample.latency() >= release_at.checked_sub(sample.planned).expect("in order")
    ));
    // Those planned a quarter of a second before the release or earlier; the histogram's resolution is a thousandth.
    let quarter = Duration::from_millis(250);
    let early = delayed
        .iter()
        .filter(|sample| sample.planned + quarter <= release_at)
        .count() as u64;
    assert_eq!(early, 26);
    let least = quarter.as_micros() as u64 * 999 / 1_000;
    let slow = result.histogram.count_between(least, u64::MAX);
    assert!(slow >= early, "{slow} of {early}");
}

#[test]
fn latency_of_a_late_request_counts_from_its_planned_time() {
    let [planned, sent, answered] = [10, 110, 111].map(Duration::from_millis);
    let result = LoadResult::new(vec![Sample {
        planned,
        sent,
        answered,
    }])
    .expect("recorded");
    assert_eq!(result.histogram.value_at_quantile(1.0) / 1_000, 101);
}

/// A load never lacks requests silently: one without a response of status 200 ends it.
#[test]
fn rejected_request_ends_the_load_with_its_status() {
    let servers = LoopbackServers::start(1, RESPONSE_BYTES).expect("servers");
    let limiter = Limiter::start(&servers);
    let mut clients = ClientConnections::open(&[limiter.address()], 1).expect("a connection");
    let mut plan = RequestPlan::new(PER_SECOND, 4, 1, SEED);
    // Two plans are named, which the limiter rejects.
    plan.requests[2].id = "9b\r\nX-Plan: other".to_owned();
    match clients.send(&plan) {
        Err(LatencyError::Status { status, .. }) => assert_eq!(status, 400),
        other => panic!("{other:?}"),
    }
}

/// The direct load lasts longer than the limiter keeps a connection without a request, so that connections opened for
/// both loads at once would be closed by then.
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
        .expect("each request is answered 200 once");
    let metric = |name: &str| points.iter().filter(|point| point.metric == name).count();
    for path in ["direct", "through", "added"] {
        for percentile in ["p50", "p90", "p99", "p99_9", "max"] {
            assert_eq!(
                metric(&format!("{path}_{percentile}")),
                1,
                "{path}_{percentile}"
            );
        }
    }
    let answered = points
        .iter()
        .find(|point| point.metric == "answered")
        .expect("counted");
    assert_eq!((answered.value, answered.runs), (150.0, 1));
    assert_eq!(points.len(), 16);
}
