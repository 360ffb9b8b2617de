//! What a limiter spends on its settings: reading the whole file at a start and at each change, and what stays of
//! classes that were changed.

use crate::scale::{Emit, MeasureRequest, Meter, ScaleError, Sheet, Unit};
use merlinreel_policy::Limiter;
use merlinreel_policy::RequestClass;
use merlinreel_settings::{Settings, SettingsTree};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};
use std::time::Duration;

/// Routes, each a class of the settings of its own; one step beyond the most that the settings take, and the full size.
pub const DEFAULT_SIZES: &[u64] = &[100, 1_000, 4_000, 4_096, 4_097, 10_000, 110_000];
pub const PLAN_SIZES: &[u64] = DEFAULT_SIZES;
/// Reloads, each with one changed class.
pub const RELOAD_SIZES: &[u64] = &[100, 300, 1_000, 3_000];

const ROLE: &str = "configuration";
/// 24,000 changes a day.
const CHANGE_EVERY: Duration = Duration::from_millis(3_600);
/// Classes or plans while the other is varied, and classes while reloads are.
const FEW: u64 = 4;
const RELOADED_CLASSES: u64 = 1_000;
/// The mean of so many tells what a retune takes in the end.
const LAST_RELOADS: u64 = 100;
/// For the check of memory beforehand: an entry as text, as JSON, by its paths and in the module.
const ENTRY_KB: u64 = 6;
/// Beyond this many entries, times that grow with their square are measured once.
const ONCE_BEYOND: u64 = 20_000;
/// Entries read in a measurement and classes compared in one, over as many repetitions as the size needs: the kernel
/// counts processor time in steps of some milliseconds.
const ENTRIES_MEASURED: u64 = 50_000;
const COMPARISONS_MEASURED: u64 = 100_000_000;
const MOST_RETUNES: u64 = 1_000;

/// Classes and plans of a configuration, drawn from a seed.
pub struct Entries {
    classes: Vec<Value>,
    plans: Vec<Value>,
    chance: ChaCha8Rng,
    changes: u64,
}

impl Entries {
    pub fn new(classes: u64, plans: u64, seed: u64) -> Entries {
        let mut chance = ChaCha8Rng::seed_from_u64(seed);
        let classes = (0..classes)
            .map(|number| class(number, number, &mut chance))
            .collect::<Vec<_>>();
        let plans = (0..plans).map(|number| plan(number, &mut chance)).collect();
        let changes = classes.len() as u64;
        Entries {
            classes,
            plans,
            chance,
            changes,
        }
    }

    /// A class drawn at random gets rules that no class had before.
    pub fn change_one(&mut self) {
        let number = self.chance.random_range(0..self.classes.len());
        self.change(number);
    }

    pub fn change(&mut self, number: usize) {
        self.classes[number] = class(number as u64, self.changes, &mut self.chance);
        self.changes += 1;
    }

    pub fn classes(&self) -> usize {
        self.classes.len()
    }

    /// The settings as they stand in the file.
    pub fn text(&self) -> String {
        json!({
            "balancers": 2_300, "rank": 1, "classes": self.classes, "packages": self.plans,
            "policyLimits": {"peers": true, "sendCap": 2}, "familyInfo": {"inboxPerS": 40, "maxUnits": 8},
        })
        .to_string()
    }
}

/// The rules' number makes its times unlike those of any other.
fn class(number: u64, rules: u64, chance: &mut ChaCha8Rng) -> Value {
    let limit = 1.0 + rules as f64 / 1e6;
    json!({"name": format!("route-{number:06}"), "idempotency": "read_like", "promiseS": limit / 2.0,
        "hardLimitS": limit, "worth": chance.random_range(1..10), "lateShare": 0.5})
}

fn plan(number: u64, chance: &mut ChaCha8Rng) -> Value {
    json!({"name": format!("plan-{number:06}"), "unitsPerS": chance.random_range(1..100), "mostAtOnce": 200,
        "maxOut": 10, "price": 1, "overrunCost": 0.5, "beyondEarns": 0.2})
}

/// The settings as a limiter reads them from the file's text.
pub fn read(text: &str) -> Result<Settings, String> {
    let value: Value = serde_json::from_str(text).map_err(|error| error.to_string())?;
    SettingsTree::from_json(&value)
        .and_then(|tree| Settings::read(&tree))
        .map_err(|error| error.to_string())
}

/// Varies the routes, each with rules of its own.
pub fn measure(request: &MeasureRequest, emit: Emit) -> Result<(), ScaleError> {
    // Kept until the end: memory that one size gave back would hide what the next one takes.
    let mut kept = Vec::new();
    for &size in &request.sizes {
        kept.push(measure_module(request, size, emit)?);
    }
    let mut read = Vec::new();
    for &size in &request.sizes {
        let entries = Entries::new(size, FEW, request.seed);
        let setting = format!("{FEW} plans, all classes differ, a change each 3.6 s");
        read.push(measure_file(
            request,
            sheet(request, "routes", size, setting),
            &entries,
            emit,
        )?);
    }
    Ok(())
}

/// Varies the plans.
pub fn measure_plans(request: &MeasureRequest, emit: Emit) -> Result<(), ScaleError> {
    let mut read = Vec::new();
    for &size in &request.sizes {
        let entries = Entries::new(FEW, size, request.seed);
        let setting = format!("{FEW} classes, a change each 3.6 s");
        read.push(measure_file(
            request,
            sheet(request, "plans", size, setting),
            &entries,
            emit,
        )?);
    }
    Ok(())
}

/// Varies how often settings were read again, each time with one class changed.
pub fn measure_reloads(request: &MeasureRequest, emit: Emit) -> Result<(), ScaleError> {
    let mut kept = Vec::new();
    for &size in &request.sizes {
        let setting = format!("{RELOADED_CLASSES} classes, one changed each reload");
        let sheet = sheet(request, "reloads", size, setting);
        request.check_memory(
            &format!("{size} reloads"),
            (RELOADED_CLASSES + size) * ENTRY_KB / 1024 + 64,
        )?;
        let mut classes = distinct_categories(RELOADED_CLASSES);
        let mut limiter = limiter_of(request.seed, &classes, size)?;
        let meter = Meter::start();
        let mut last = meter;
        for reload in 0..size {
            if reload == size.saturating_sub(LAST_RELOADS) {
                last = Meter::start();
            }
            let place = reload as usize * 7 % classes.len();
            classes[place] = distinct_class(RELOADED_CLASSES + reload);
            reconfigure(&mut limiter, &classes);
        }
        let last = last.read().cpu_seconds / size.min(LAST_RELOADS) as f64;
        let used = meter.read();
        emit(sheet.counted("classes_kept", Unit::Count, limiter.class_count() as f64))?;
        let kernel = [
            ("growth_memory", Unit::Bytes, used.memory_bytes as f64),
            ("last_retune_cpu", Unit::CpuSeconds, last),
            ("all_retunes_cpu", Unit::CpuSeconds, used.cpu_seconds),
        ];
        for (metric, unit, value) in kernel {
            sheet
                .measured(metric, unit, vec![value])
                .map(&mut *emit)
                .transpose()?;
        }
        kept.push(limiter);
    }
    Ok(())
}

/// What is held of a file as it is read.
struct FileRead {
    _value: Value,
    _paths: SettingsTree,
    terms: Result<Settings, String>,
}

/// Processor time of the steps of reading, in seconds.
#[derive(Default)]
struct ReadTimes {
    json: Vec<f64>,
    paths: Vec<f64>,
    terms: Vec<f64>,
    whole: Vec<f64>,
}

impl ReadTimes {
    /// The steps run one after the other, each so often that the kernel's clock can tell its time.
    fn take(&mut self, text: &str, repeats: u64) -> Result<FileRead, String> {
        let parse = || serde_json::from_str::<Value>(text).map_err(|error| error.to_string());
        let (json, value) = repeated(repeats, parse);
        let value = value?;
        let (flat, paths) = repeated(repeats, || SettingsTree::from_json(&value));
        let paths = paths.map_err(|error| error.to_string())?;
        let (read, terms) = repeated(repeats, || Settings::read(&paths));
        self.json.push(json);
        self.paths.push(flat);
        self.terms.push(read);
        self.whole.push(json + flat + read);
        Ok(FileRead {
            _value: value,
            _paths: paths,
            terms: terms.map_err(|error| error.to_string()),
        })
    }
}

/// The processor time of one of some repetitions, and what the last of them gave.
fn repeated<T>(repeats: u64, mut work: impl FnMut() -> T) -> (f64, T) {
    let meter = Meter::start();
    (1..repeats).for_each(|_| drop(work()));
    let last = work();
    (meter.read().cpu_seconds / repeats.max(1) as f64, last)
}

/// Text, reading, and what it is of a core to read it at each change.
fn measure_file(
    request: &MeasureRequest,
    sheet: Sheet,
    entries: &Entries,
    emit: Emit,
) -> Result<FileRead, ScaleError> {
    request.check_memory(
        &format!("{} entries", sheet.size),
        sheet.size * ENTRY_KB / 1024 + 64,
    )?;
    let text = entries.text();
    let mut times = ReadTimes::default();
    let mut read = |repeats| {
        times
            .take(&text, repeats)
            .map_err(|why| unsettled(&sheet, why))
    };
    let meter = Meter::start();
    let first = read(1)?;
    let memory = meter.read().memory_bytes as f64;
    for _ in 0..request.runs {
        read(ENTRIES_MEASURED.div_ceil(sheet.size))?;
    }
    emit(sheet.counted("file", Unit::Bytes, text.len() as f64))?;
    emit(sheet.counted(
        "refused",
        Unit::Count,
        f64::from(u8::from(first.terms.is_err())),
    ))?;
    // The first reading was for the memory alone.
    let ReadTimes {
        json,
        paths,
        terms,
        whole,
    } = times;
    let share = whole
        .iter()
        .map(|cpu| cpu / CHANGE_EVERY.as_secs_f64())
        .collect();
    let figures = [
        ("json_cpu", Unit::CpuSeconds, json),
        ("paths_cpu", Unit::CpuSeconds, paths),
        ("terms_cpu", Unit::CpuSeconds, terms),
        ("restart_cpu", Unit::CpuSeconds, whole),
        ("reload_share", Unit::CpuShare, share),
    ];
    for (metric, unit, runs) in figures {
        sheet
            .measured(metric, unit, runs[1..].to_vec())
            .map(&mut *emit)
            .transpose()?;
    }
    sheet
        .measured("reading_memory", Unit::Bytes, vec![memory])
        .map(&mut *emit)
        .transpose()?;
    Ok(first)
}

/// The decision module's part, which has no bound of its own: memory of the classes, and rules given again.
fn measure_module(request: &MeasureRequest, size: u64, emit: Emit) -> Result<Limiter, ScaleError> {
    request.check_memory(&format!("{size} classes"), size * ENTRY_KB / 1024 + 64)?;
    let sheet = sheet(
        request,
        "routes",
        size,
        "decision module alone, all classes differ".to_owned(),
    );
    let mut classes = distinct_categories(size);
    let meter = Meter::start();
    let mut limiter = limiter_of(request.seed, &classes, size)?;
    let memory = meter.read().memory_bytes as f64;
    sheet
        .measured("module_memory", Unit::Bytes, vec![memory])
        .map(&mut *emit)
        .transpose()?;
    classes[0] = distinct_class(size);
    reconfigure(&mut limiter, &classes);
    emit(sheet.counted("classes_kept", Unit::Count, limiter.class_count() as f64))?;
    let repeats = (COMPARISONS_MEASURED / (size * size)).clamp(1, MOST_RETUNES);
    let runs = if size > ONCE_BEYOND { 1 } else { request.runs };
    let times: Vec<f64> = (0..runs)
        .map(|_| repeated(repeats, || reconfigure(&mut limiter, &classes)).0)
        .collect();
    let share = times
        .iter()
        .map(|cpu| cpu / CHANGE_EVERY.as_secs_f64())
        .collect();
    sheet
        .measured("retune_cpu", Unit::CpuSeconds, times)
        .map(&mut *emit)
        .transpose()?;
    sheet
        .measured("retune_share", Unit::CpuShare, share)
        .map(&mut *emit)
        .transpose()?;
    Ok(limiter)
}

fn reconfigure(limiter: &mut Limiter, classes: &[RequestClass]) {
    limiter.reconfigure(classes, job_rules());
}

fn job_rules() -> merlinreel_policy::RequestLimits {
    merlinreel_policy::RequestLimits {
        max_attempts: 2,
        hedging: false,
        cancellation: true,
        retry_after: true,
        max_retry_after: Duration::from_secs(1),
        max_in_flight: 1_000,
    }
}

fn distinct_categories(count: u64) -> Vec<RequestClass> {
    (0..count).map(distinct_class).collect()
}

/// All but one of a class's rules are those of the others.
fn distinct_class(rules: u64) -> RequestClass {
    let deadline = Duration::from_secs(1) + Duration::from_micros(rules);
    RequestClass {
        latency_objective: Duration::from_millis(500),
        deadline,
        priority_weight: 1.0,
        late_weight: 0.5,
        idempotency: merlinreel_policy::Idempotency::Idempotent,
    }
}

fn limiter_of(seed: u64, classes: &[RequestClass], size: u64) -> Result<Limiter, ScaleError> {
    let refused = |why| ScaleError::Unsettled {
        role: ROLE,
        size,
        why,
    };
    let terms = read(&Entries::new(FEW, FEW, seed).text()).map_err(refused)?;
    Ok(Settings {
        classes: classes.to_vec(),
        ..terms
    }
    .limiter(seed))
}

fn sheet(request: &MeasureRequest, variable: &'static str, size: u64, setting: String) -> Sheet {
    Sheet {
        seed: request.seed,
        role: ROLE,
        variable,
        size,
        setting,
    }
}

fn unsettled(sheet: &Sheet, why: String) -> ScaleError {
    ScaleError::Unsettled {
        role: sheet.role,
        size: sheet.size,
        why,
    }
}
