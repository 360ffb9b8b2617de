//! Measures the steps of reading a settings file.

use super::{Entries, check_memory, share_of_change_interval};
use crate::scale::simulated::InvalidSettings;
use crate::scale::{Meter, Report, ScaleError, Unit};
use merlinreel_settings::{Settings, SettingsTree};
use serde_json::Value;

/// Minimum number of entries read in one run. Smaller files are read repeatedly, as the kernel counts processor time
/// in steps of some milliseconds.
const ENTRIES_PER_RUN: u64 = 50_000;

/// Everything that is held in memory while a file is read.
pub struct FileRead {
    _value: Value,
    _tree: SettingsTree,
    settings: Result<Settings, InvalidSettings>,
}

/// Processor times of the steps of reading a file, in seconds, by run.
#[derive(Default)]
struct ReadTimes {
    /// Parsing the text as JSON.
    json: Vec<f64>,
    /// Building the settings tree by path.
    paths: Vec<f64>,
    /// Reading the settings from the tree.
    settings: Vec<f64>,
    /// Sum of the steps.
    total: Vec<f64>,
}

impl ReadTimes {
    /// Adds a run: measures the steps one after the other, each repeated. Returns the result of the last repetitions.
    fn measure(&mut self, text: &str, repetitions: u64) -> Result<FileRead, InvalidSettings> {
        let json = repeat(repetitions, || serde_json::from_str::<Value>(text));
        let value = json.output.map_err(InvalidSettings::new)?;
        let paths = repeat(repetitions, || SettingsTree::from_json(&value));
        let tree = paths.output.map_err(InvalidSettings::new)?;
        let read = repeat(repetitions, || Settings::read(&tree));
        self.json.push(json.cpu_seconds);
        self.paths.push(paths.cpu_seconds);
        self.settings.push(read.cpu_seconds);
        self.total
            .push(json.cpu_seconds + paths.cpu_seconds + read.cpu_seconds);
        Ok(FileRead {
            settings: read.output.map_err(InvalidSettings::new),
            _value: value,
            _tree: tree,
        })
    }
}

/// Result of repeated work.
pub struct Repeated<Output> {
    /// Mean processor time of one repetition, in seconds.
    pub cpu_seconds: f64,
    /// The output of the last repetition.
    pub output: Output,
}

/// Repeats work, at least once, and measures its processor time.
pub fn repeat<Output>(repetitions: u64, mut work: impl FnMut() -> Output) -> Repeated<Output> {
    let meter = Meter::start();
    (1..repetitions).for_each(|_| drop(work()));
    let output = work();
    Repeated {
        cpu_seconds: meter.read().cpu_seconds / repetitions.max(1) as f64,
        output,
    }
}

/// Reports the length of a file, whether it is rejected, the memory and processor time of reading it, and the share of
/// a core that this takes at the rate of changes.
pub fn measure(report: &mut Report, entries: &Entries) -> Result<FileRead, ScaleError> {
    check_memory(
        report.request,
        &format!("a settings file with {} entries", report.size),
        report.size,
    )?;
    let text = entries.text();
    let meter = Meter::start();
    // The file is first read only to measure the memory.
    let first = ReadTimes::default()
        .measure(&text, 1)
        .map_err(|error| report.failed(error))?;
    let memory = meter.read().memory_bytes as f64;
    let mut times = ReadTimes::default();
    for _ in 0..report.request.runs {
        times
            .measure(&text, ENTRIES_PER_RUN.div_ceil(report.size))
            .map_err(|error| report.failed(error))?;
    }
    report.counted("file", Unit::Bytes, text.len() as f64)?;
    let is_rejected = u8::from(first.settings.is_err());
    report.counted("refused", Unit::Count, f64::from(is_rejected))?;
    let reload_share = share_of_change_interval(&times.total);
    report.measured("json_cpu", Unit::CpuSeconds, times.json)?;
    report.measured("paths_cpu", Unit::CpuSeconds, times.paths)?;
    report.measured("terms_cpu", Unit::CpuSeconds, times.settings)?;
    report.measured("restart_cpu", Unit::CpuSeconds, times.total)?;
    report.measured("reload_share", Unit::CpuShare, reload_share)?;
    report.measured("reading_memory", Unit::Bytes, vec![memory])?;
    Ok(first)
}
