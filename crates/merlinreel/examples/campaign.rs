//! Plays drawn faults on several limiters, seed after seed, and prints a table: what was asked, served, refused,
//! failed, unanswered, and the rules that broke.
//!
//!     cargo run --release --example campaign -- FIRST_SEED LAST_SEED LIMITERS WORKERS SECONDS TROUBLES

use merlinreel_testkit::{Bounds, Entry, Field, Script, What, check};
use std::process::ExitCode;
use std::time::Duration;

fn main() -> ExitCode {
    let given: Option<Vec<u64>> = std::env::args()
        .skip(1)
        .map(|text| text.parse().ok())
        .collect();
    let Some([first, last, limiters, workers, seconds, troubles]) =
        given.and_then(|given| <[u64; 6]>::try_from(given).ok())
    else {
        eprintln!("campaign: six numbers: FIRST_SEED LAST_SEED LIMITERS WORKERS SECONDS TROUBLES");
        return ExitCode::FAILURE;
    };
    let (limiters, workers, span) = (
        limiters as usize,
        workers as usize,
        Duration::from_secs(seconds),
    );
    println!("| seed | asked | served | refused | failed | unanswered | rules broken |");
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    let mut held = true;
    for seed in first..=last {
        let mut field = Field::start(seed, limiters, workers);
        let script = Script::drawn(seed, troubles as usize, limiters, workers, span);
        let entries: Vec<Entry> = field.play(&script, span);
        let count = |wanted: &dyn Fn(&What) -> bool| {
            entries.iter().filter(|entry| wanted(&entry.what)).count()
        };
        let status = |of: &[u16]| {
            count(&|what| matches!(what, What::Answered { status, .. } if of.contains(status)))
        };
        let broken: Vec<String> = check(&entries, &Bounds::default())
            .iter()
            .map(ToString::to_string)
            .collect();
        held &= broken.is_empty();
        println!(
            "| {seed} | {} | {} | {} | {} | {} | {} |",
            count(&|what| matches!(what, What::Asked { .. })),
            status(&[200]),
            status(&[429, 503]),
            status(&[502]),
            count(&|what| matches!(what, What::Unanswered { .. })),
            if broken.is_empty() {
                "none".to_owned()
            } else {
                broken.join("; ")
            }
        );
    }
    if held {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
