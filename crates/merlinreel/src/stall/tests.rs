use super::*;
use test_case::test_case;

const TICK: Duration = Duration::from_millis(100);

/// A monitor, and the time at which its event loop ran; the next run is due a tick later.
fn monitor() -> (Arc<StallMonitor>, Instant) {
    let monitor = StallMonitor::new(Metrics::new(&[]));
    let start = Instant::now();
    monitor.record_run(start);
    monitor.set_next_due(Some(start + TICK));
    (monitor, start)
}

/// Requests must not have their time counted only from when a stalled limiter read them.
#[test_case(50 => 50 ; "before the next run")]
#[test_case(115 => 115 ; "late within the normal delay of timers")]
#[test_case(121 => 0 ; "late, so since the last run")]
#[test_case(2000 => 0 ; "late by seconds")]
fn data_may_have_arrived_since_the_last_run_of_a_late_event_loop(read_at: u64) -> u128 {
    let (monitor, start) = monitor();
    let read_at = start + Duration::from_millis(read_at);
    (monitor.arrived_since(read_at) - start).as_millis()
}

/// A stall must not be forgotten once the event loop has run, as the sockets are read after that.
#[test_case(0 => 0 ; "at the time of the run")]
#[test_case(20 => 0 ; "at the end of the catch up time")]
#[test_case(21 => 621 ; "after the catch up time")]
fn stall_counts_while_the_sockets_are_read(read_after: u64) -> u128 {
    let (monitor, start) = monitor();
    let noticed_at = start + Duration::from_millis(600);
    monitor.record_run(noticed_at);
    monitor.set_next_due(Some(noticed_at + TICK));
    let read_at = noticed_at + Duration::from_millis(read_after);
    (monitor.arrived_since(read_at) - start).as_millis()
}

/// A stall must not be missed, or counted from too early, because another one ended shortly before it.
#[test]
fn stall_after_another_counts_from_the_last_run_before_it() {
    let (monitor, start) = monitor();
    let after = |ms| start + Duration::from_millis(ms);
    monitor.record_run(after(600));
    monitor.set_next_due(Some(after(601)));
    monitor.record_run(after(620));
    monitor.set_next_due(Some(after(621)));
    monitor.record_run(after(900));
    assert_eq!(monitor.arrived_since(after(900)), after(620));
}

/// Operators must see stalls in the metrics.
#[test]
fn stalls_are_counted() {
    let metrics = Metrics::new(&[]);
    let monitor = StallMonitor::new(metrics.clone());
    let start = Instant::now();
    for (due, run) in [(10, 405), (500, 505)] {
        monitor.set_next_due(Some(start + Duration::from_millis(due)));
        monitor.record_run(start + Duration::from_millis(run));
    }
    let text = metrics.render(0);
    assert!(text.contains("limiter.hold_ups:1|c\n"), "{text}");
    assert!(
        text.contains("limiter.longest_hold_up_ms:395|g\n"),
        "{text}"
    );
}
