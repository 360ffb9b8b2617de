//! Figures of the loads: percentiles of both ways, and their differences.

use super::{LatencySetting, LoadResult};
use crate::scale::{Figure, Sheet, Source, Unit};

pub const ROLE: &str = "request_path";

/// One run: the same plan on both ways.
#[derive(Debug)]
pub struct Pair {
    pub direct: LoadResult,
    pub through: LoadResult,
}

/// A share of the requests, and the names of its figures.
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
    fn of(&self, load: &LoadResult) -> f64 {
        load.histogram.value_at_quantile(self.quantile) as f64
    }

    /// May be below 0 where a run directly at the servers met a stall.
    fn added(&self, pair: &Pair) -> f64 {
        self.of(&pair.through) - self.of(&pair.direct)
    }
}

/// A figure without its value.
pub fn form(variable: &'static str, size: u64, seed: u64, setting: &LatencySetting) -> Figure {
    let sheet = Sheet {
        seed,
        role: ROLE,
        variable,
        size,
        setting: setting.to_string(),
    };
    sheet.form("", Unit::Microseconds, Source::Clock)
}

pub fn figures(pairs: &[Pair], form: &Figure) -> Vec<Figure> {
    let timed = |metric, value: &dyn Fn(&Pair) -> f64| {
        let runs = pairs.iter().map(value).collect();
        Figure::of_runs(
            runs,
            Figure {
                metric,
                ..form.clone()
            },
        )
    };
    let mut figures = Vec::new();
    for percentile in &PERCENTILES {
        figures.extend(timed(percentile.direct, &|pair| {
            percentile.of(&pair.direct)
        }));
        figures.extend(timed(percentile.through, &|pair| {
            percentile.of(&pair.through)
        }));
        figures.extend(timed(percentile.added, &|pair| percentile.added(pair)));
    }
    let answered = pairs
        .iter()
        .map(|pair| pair.through.histogram.len() as f64)
        .collect();
    let counted = Figure {
        metric: "answered",
        unit: Unit::Count,
        source: Source::Counted,
        ..form.clone()
    };
    figures.extend(Figure::of_runs(answered, counted));
    figures
}
