//! The steps of reading the settings' file.

use super::{Entries, check_memory, share_of_change_interval};
use crate::scale::simulated::InvalidSettings;
use crate::scale::{Meter, Report, ScaleError, Unit};
use merlinreel_settings::{Settings, SettingsTree};
use serde_json::Value;

/// Entries read in one measurement, over as many repetitions as the size needs: the kernel counts processor time in
/// steps of some milliseconds.
const ENTRIES_MEASURED: u64 = 50_000;

/// All that is held of a file while it is read.
pub struct FileRead {
    _value: Value,
    _tree: SettingsTree,
    settings: Result<Settings, InvalidSettings>,
}

/// Processor times of the steps of reading, in seconds.
#[derive(Default)]
struct ReadTimes {
    json: Vec<f64>,
    paths: Vec<f64>,
    settings: Vec<f64>,
    total: Vec<f64>,
}

impl ReadTimes {
    /// Measures the steps one after the other, each repeated.
    fn measure(&mut self, text: &str, repetitions: u64) -> Result<FileRead, InvalidSettings> {
        let json = repeat(repetitions, || serde_json::from_str::<Value>(text));
        let value = json.output.map_err(InvalidSettings::new)?;
        let flat = repeat(repetitions, || SettingsTree::from_json(&value));
        let tree = flat.output.map_err(InvalidSettings::new)?;
        let read = repeat(repetitions, || Settings::read(&tree));
        self.json.push(json.cpu_seconds);
        self.paths.push(flat.cpu_seconds);
        self.settings.push(read.cpu_seconds);
        self.total
            .push(json.cpu_seconds + flat.cpu_seconds + read.cpu_seconds);
        Ok(FileRead {
            settings: read.output.map_err(InvalidSettings::new),
            _value: value,
            _tree: tree,
        })
    }
}

/// Repeated work.
pub struct Repeated<Output> {
    /// The processor time of one repetition.
    pub cpu_seconds: f64,
    /// The output of the last repetition.
    pub output: Output,
}

/// Repeats work, at least once.
pub fn repeat<Output>(repetitions: u64, mut work: impl FnMut() -> Output) -> Repeated<Output> {
    let meter = Meter::start();
    (1..repetitions).for_each(|_| drop(work()));
    let output = work();
    Repeated {
        cpu_seconds: meter.read().cpu_seconds / repetitions.max(1) as f64,
        output,
    }
}

/// Reports the file's length, the cost of reading it, and its share of a core at the rate of changes.
pub fn measure(report: &mut Report, entries: &Entries) -> Result<FileRead, ScaleError> {
    check_memory(
        report.request,
        &format!("{} entries", report.size),
        report.size,
    )?;
    let text = entries.text();
    let meter = Meter::start();
    // The first reading is for the memory alone.
    let first = ReadTimes::default()
        .measure(&text, 1)
        .map_err(|error| report.failed(error))?;
    let memory = meter.read().memory_bytes as f64;
    let mut times = ReadTimes::default();
    for _ in 0..report.request.runs {
        times
            .measure(&text, ENTRIES_MEASURED.div_ceil(report.size))
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
