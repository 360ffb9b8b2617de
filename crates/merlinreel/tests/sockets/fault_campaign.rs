//! Several limiters with faults between and on them, the record held against the five rules.

use merlinreel_testkit::link::Weather;
use merlinreel_testkit::*;
use std::time::Duration;
use test_case::test_case;

const LIMITERS: usize = 3;
const WORKERS: usize = 4;

/// Whatever is drawn, the rules hold, and most requests are served all the same: limiters are killed, asked to stop by signals in
/// series and killed as early as may be, stand still and start again, read new configurations; workers pause and drain, ways
/// are cut on one side or both, connections break, agents are silent, crowds come, clients send four requests at once or
/// leave, a fifth of the peer messages is lost.
#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
#[test_case(4)]
#[test_case(5)]
#[test_case(6)]
fn the_rules_hold_whatever_befalls(seed: u64) {
    let span = Duration::from_secs(8);
    let mut field = Field::start(seed, LIMITERS, WORKERS);
    let script = Script::drawn(seed, 6, LIMITERS, WORKERS, span);
    let entries = field.play(&script, span);
    let broken = check(&entries, &Bounds::default());
    let shown: Vec<String> = broken.iter().take(5).map(ToString::to_string).collect();
    assert!(broken.is_empty(), "{shown:?} under {:?}", script.deeds);
    let count =
        |wanted: fn(&What) -> bool| entries.iter().filter(|entry| wanted(&entry.what)).count();
    let asked = count(|what| matches!(what, What::Asked { .. }));
    let served = count(|what| matches!(what, What::Answered { status: 200, .. }));
    assert!(
        asked > 300 && served * 2 > asked,
        "{served} of {asked} served"
    );
    assert!(field.workers[0].taken() > 0);
}

/// Slow and trickling answers on all ways at once are answers all the same.
#[test]
fn answers_that_trickle_are_whole() {
    let mut field = Field::start(9, LIMITERS, WORKERS);
    for i in 0..LIMITERS {
        for j in 0..WORKERS {
            let there = Weather {
                delay: Duration::from_millis(5),
                jitter: Duration::from_millis(10),
                ..Weather::default()
            };
            field.weather(
                i,
                j,
                there,
                Weather {
                    piece: Some(7),
                    ..there
                },
            );
        }
    }
    let entries = field.play(&Script { deeds: Vec::new() }, Duration::from_secs(4));
    assert_eq!(check(&entries, &Bounds::default()), []);
    assert!(
        entries
            .iter()
            .any(|entry| matches!(entry.what, What::Answered { status: 200, .. }))
    );
}
