//! Latency percentiles of direct requests and of requests through the limiter, and their differences.

use super::LoadResult;
use crate::scale::{Report, ScaleError, Source, Unit};

/// One run: the same plan sent directly and through the limiter.
#[derive(Debug)]
pub struct RunPair {
    /// Result of the load that was sent to the servers.
    pub direct: LoadResult,
    /// Result of the load that was sent to the limiter.
    pub through: LoadResult,
}

/// A quantile of the latencies (1 is the maximum) and the names of its metrics.
struct Percentile {
    quantile: f64,
    direct: &'static str,
    through: &'static str,
    added: &'static str,
}

const PERCENTILES: [Percentile; 5] = [
    Percentile {
        quantile: 0.5,
        direct: "direct_p50",
        through: "through_p50",
        added: "added_p50",
    },
    Percentile {
        quantile: 0.9,
        direct: "direct_p90",
        through: "through_p90",
        added: "added_p90",
    },
    Percentile {
        quantile: 0.99,
        direct: "direct_p99",
        through: "through_p99",
        added: "added_p99",
    },
    Percentile {
        quantile: 0.999,
        direct: "direct_p99_9",
        through: "through_p99_9",
        added: "added_p99_9",
    },
    Percentile {
        quantile: 1.0,
        direct: "direct_max",
        through: "through_max",
        added: "added_max",
    },
];

impl Percentile {
    /// The latency at this quantile, in microseconds.
    fn latency_us(&self, result: &LoadResult) -> f64 {
        result.histogram.value_at_quantile(self.quantile) as f64
    }

    /// The added latency in microseconds; negative if the direct load was slower, for example due to a stall.
    fn added_us(&self, pair: &RunPair) -> f64 {
        self.latency_us(&pair.through) - self.latency_us(&pair.direct)
    }
}

/// Reports all percentiles, and the number of responses through the limiter.
pub fn report(report: &mut Report, pairs: &[RunPair]) -> Result<(), ScaleError> {
    for percentile in &PERCENTILES {
        let direct = pairs.iter().map(|pair| percentile.latency_us(&pair.direct));
        report_latency(report, percentile.direct, direct.collect())?;
        let through = pairs
            .iter()
            .map(|pair| percentile.latency_us(&pair.through));
        report_latency(report, percentile.through, through.collect())?;
        let added = pairs.iter().map(|pair| percentile.added_us(pair));
        report_latency(report, percentile.added, added.collect())?;
    }
    let responses = pairs
        .iter()
        .map(|pair| pair.through.histogram.len() as f64)
        .collect();
    report.runs("answered", Unit::Count, Source::Counted, responses)
}

fn report_latency(
    report: &mut Report,
    metric: &'static str,
    runs: Vec<f64>,
) -> Result<(), ScaleError> {
    report.runs(metric, Unit::Microseconds, Source::Clock, runs)
}
