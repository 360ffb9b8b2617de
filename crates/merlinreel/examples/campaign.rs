//! A fault campaign: runs a cluster with random faults for each seed, and prints a table of the requests sent, served,
//! rejected, failed and unanswered, and of the rules violated.
//!
//!     cargo run --release --example campaign -- FIRST_SEED LAST_SEED LIMITERS SERVERS SECONDS FAULTS [wide]
//!
//! `wide` adds compound faults and further clients, see `FaultPlan::generate_with_compound_faults` and
//! `Cluster::run_with_extra_clients`.

use merlinreel_testkit::{Cluster, Event, FaultPlan, LogEntry, Tolerances, find_violations};
use std::process::ExitCode;
use std::time::Duration;

/// The command-line arguments. `duration` and `faults` apply to the run of each seed.
struct Arguments {
    first_seed: u64,
    last_seed: u64,
    limiters: usize,
    servers: usize,
    duration: Duration,
    faults: usize,
    has_compound_faults: bool,
}

impl Arguments {
    /// Returns `None` unless the arguments are six numbers, optionally followed by `wide`.
    fn parse() -> Option<Arguments> {
        let mut words: Vec<String> = std::env::args().skip(1).collect();
        let has_compound_faults = words.pop_if(|last| last == "wide").is_some();
        let numbers: Option<Vec<u64>> = words.iter().map(|text| text.parse().ok()).collect();
        let [first_seed, last_seed, limiters, servers, seconds, faults] =
            <[u64; 6]>::try_from(numbers?).ok()?;
        Some(Arguments {
            first_seed,
            last_seed,
            limiters: limiters as usize,
            servers: servers as usize,
            duration: Duration::from_secs(seconds),
            faults: faults as usize,
            has_compound_faults,
        })
    }
}

fn main() -> ExitCode {
    let Some(arguments) = Arguments::parse() else {
        eprintln!(
            "campaign: expected six numbers: FIRST_SEED LAST_SEED LIMITERS SERVERS SECONDS FAULTS [wide]"
        );
        return ExitCode::FAILURE;
    };
    println!("| seed | sent | served | rejected | failed | unanswered | rules violated |");
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    let mut outcome = ExitCode::SUCCESS;
    for seed in arguments.first_seed..=arguments.last_seed {
        if !run_and_print(seed, &arguments) {
            outcome = ExitCode::FAILURE;
        }
    }
    outcome
}

/// Runs one cluster and prints its row of the table. Returns whether no rule was violated.
fn run_and_print(seed: u64, arguments: &Arguments) -> bool {
    let Arguments {
        limiters,
        servers,
        duration,
        faults,
        ..
    } = *arguments;
    let mut cluster = Cluster::start(seed, limiters, servers);
    let (plan, entries) = if arguments.has_compound_faults {
        let plan =
            FaultPlan::generate_with_compound_faults(seed, faults, limiters, servers, duration);
        let entries = cluster.run_with_extra_clients(&plan, duration);
        (plan, entries)
    } else {
        let plan = FaultPlan::generate(seed, faults, limiters, servers, duration);
        let entries = cluster.run(&plan, duration);
        (plan, entries)
    };
    let violations: Vec<String> = find_violations(&entries, &Tolerances::default())
        .iter()
        .map(ToString::to_string)
        .collect();
    if !violations.is_empty() {
        eprintln!(
            "campaign: seed {seed} violated rules under the faults {:?}",
            plan.faults
        );
    }
    println!(
        "| {seed} | {} | {} | {} | {} | {} | {} |",
        count(&entries, |event| matches!(event, Event::RequestSent { .. })),
        count_responses(&entries, &[200]),
        count_responses(&entries, &[429, 503]),
        count_responses(&entries, &[502]),
        count(&entries, |event| matches!(event, Event::NoResponse { .. })),
        if violations.is_empty() {
            "none".to_owned()
        } else {
            violations.join("; ")
        }
    );
    violations.is_empty()
}

fn count(entries: &[LogEntry], matches: impl Fn(&Event) -> bool) -> usize {
    entries.iter().filter(|entry| matches(&entry.event)).count()
}

fn count_responses(entries: &[LogEntry], statuses: &[u16]) -> usize {
    count(
        entries,
        |event| matches!(event, Event::ResponseReceived { status, .. } if statuses.contains(status)),
    )
}
