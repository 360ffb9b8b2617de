//! Parses servers' load reports, which arrive in responses and health checks.

use merlinreel_policy::LoadReport;
use std::collections::HashMap;

/// Parses a load report: a JSON object of numbers, each under one of two names, depending on the server. A value that
/// is missing or not finite is `None`, and other names are ignored. The report is empty if `bytes` is not such an
/// object.
pub fn read_load(bytes: &[u8]) -> LoadReport {
    let Ok(fields) = serde_json::from_slice::<HashMap<String, f64>>(bytes) else {
        return LoadReport::default();
    };
    let mut load = LoadReport::default();
    for (name, value) in fields.into_iter().filter(|(_, value)| value.is_finite()) {
        match name.as_str() {
            "inflight" | "busy_reqs" => load.in_flight = Some(value),
            "queue" | "pending" => load.queued = Some(value),
            "util" | "cpu_share" => load.utilization = Some(value),
            "latency_ms" | "svc_ms" => load.service_time_ms = Some(value),
            "qps" | "served_ps" => load.requests_per_second = Some(value),
            "eps" | "failed_ps" => load.errors_per_second = Some(value),
            _ => {}
        }
    }
    load
}
