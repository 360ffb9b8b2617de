use super::*;
use test_case::test_case;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn asked(class: &'static str) -> What {
    What::Asked {
        id: "a".into(),
        class,
        customer: 7,
        limiter: 0,
        patience: ms(1000),
    }
}

fn came(worker: usize, attempt: u64) -> What {
    What::Came {
        id: "a".into(),
        worker,
        attempt,
        told: None,
    }
}

fn told(milliseconds: u64) -> What {
    What::Came {
        id: "a".into(),
        worker: 0,
        attempt: 1,
        told: Some(ms(milliseconds)),
    }
}

fn unanswered(fresh: bool) -> What {
    What::Unanswered {
        id: "a".into(),
        fresh,
    }
}

fn answered(status: u16) -> What {
    What::Answered {
        id: "a".into(),
        status,
        again: false,
    }
}

/// The rules that a course of events breaks, by their names in the text that an operator reads.
fn broken(course: &[(u64, What)]) -> Vec<String> {
    let entries: Vec<Entry> = course
        .iter()
        .map(|(at, what)| Entry {
            at: ms(*at),
            what: what.clone(),
        })
        .collect();
    let found = check(
        &entries,
        &Bounds {
            quota: Some((2.0, 1.0)),
            ..Bounds::default()
        },
    );
    found
        .iter()
        .map(|one| one.to_string().split(':').next().unwrap_or("").to_owned())
        .collect()
}

/// Planted violations: the checker finds each, and nothing in a course that holds.
#[test_case(&[(0, asked("pay")), (1, came(0, 1)), (2, What::Ran { attempt: 1 }), (3, answered(200))] => Vec::<String>::new() ; "as it should be")]
#[test_case(&[(0, asked("pay")), (900, unanswered(false))] => vec!["no request lost"] ; "lost")]
#[test_case(&[(0, asked("pay")), (5, What::Killed { limiter: 0 }), (9, unanswered(false))] => Vec::<String>::new() ; "its process was killed")]
#[test_case(&[(0, What::Crowded { limiter: 0 }), (1, asked("pay")), (9, unanswered(true))] => Vec::<String>::new() ; "a new connection shut in a crowd")]
#[test_case(&[(0, What::Crowded { limiter: 0 }), (1, asked("pay")), (9, unanswered(false))] => vec!["no request lost"] ; "a kept one shut in a crowd")]
#[test_case(&[(0, What::Terminated { limiter: 0 }), (800, asked("pay")), (1500, What::Killed { limiter: 0 }), (1501, unanswered(false))] => vec!["no request lost"] ; "late in a stop, found by the kill")]
#[test_case(&[(0, What::Terminated { limiter: 0 }), (2600, asked("pay")), (2700, What::Killed { limiter: 0 }), (2701, unanswered(false))] => Vec::<String>::new() ; "found by another kill, behind a new start")]
#[test_case(&[(0, What::Terminated { limiter: 0 }), (600, asked("pay")), (1500, What::Killed { limiter: 0 }), (1501, unanswered(false))] => Vec::<String>::new() ; "early in a stop, found by the kill")]
#[test_case(&[(0, asked("pay")), (5, What::Gone { id: "a".into() }), (600, came(0, 1)), (601, What::Left { attempt: 1 })] => vec!["no attempt for who has gone"] ; "begun for who has gone")]
#[test_case(&[(0, asked("pay")), (3, came(0, 1)), (5, What::Gone { id: "a".into() }), (60, What::Left { attempt: 1 })] => Vec::<String>::new() ; "begun before its client went")]
#[test_case(&[(0, asked("pay")), (700, told(1000)), (701, What::Ran { attempt: 1 }), (702, answered(200))] => vec!["time told to servers"] ; "told the whole time late")]
#[test_case(&[(0, asked("pay")), (700, told(320)), (701, What::Ran { attempt: 1 }), (702, answered(200))] => Vec::<String>::new() ; "told what is left")]
#[test_case(&[(0, asked("look")), (3, answered(200)), (4, answered(429))] => vec!["one final answer"] ; "two answers")]
#[test_case(&[(0, asked("look")), (4000, answered(200))] => vec!["an answer in time"] ; "late")]
#[test_case(&[(0, asked("look")), (10, What::Stopped { limiter: 0 }), (3000, What::Woken { limiter: 0 }), (4000, answered(502))] => Vec::<String>::new() ; "its process stood still")]
#[test_case(&[(0, asked("pay")), (1, came(0, 1)), (2, What::Left { attempt: 1 }), (3, came(1, 2)), (4, What::Ran { attempt: 2 }), (5, answered(200))] => vec!["no effect twice"] ; "single-use twice")]
#[test_case(&[(0, asked("pay")), (1, came(0, 1)), (2, What::Left { attempt: 1 }), (3, answered(429))] => vec!["no effect twice"] ; "refused though it may have run")]
#[test_case(&[(0, asked("pay")), (1, came(0, 1)), (2, What::TurnedAway { attempt: 1 }), (3, came(1, 2)), (4, What::Ran { attempt: 2 }), (5, answered(200))] => Vec::<String>::new() ; "turned away, then elsewhere")]
#[test_case(&[(0, asked("look")), (1, came(0, 1)), (2, What::Left { attempt: 1 }), (3, came(1, 2)), (4, What::Ran { attempt: 2 }), (5, answered(200))] => Vec::<String>::new() ; "replayable again")]
#[test_case(&[(0, asked("look")), (1, came(0, 1)), (2, came(1, 2)), (4, What::Ran { attempt: 2 }), (5, answered(200)), (400, What::Left { attempt: 1 })] => vec!["one attempt out at a time"] ; "two out")]
#[test_case(&[(0, What::Cut { limiter: 0, worker: 0 }), (1, asked("look")), (2, came(0, 1)), (3, came(1, 2)), (4, What::Ran { attempt: 2 }), (5, answered(200)), (6, What::Healed { limiter: 0, worker: 0 }), (7, What::Left { attempt: 1 })] => Vec::<String>::new() ; "the cut hid its end")]
#[test_case(&[(0, What::Cut { limiter: 0, worker: 1 }), (1, asked("look")), (2, came(0, 1)), (3, came(1, 2)), (4, What::Ran { attempt: 2 }), (5, answered(200)), (6, What::Healed { limiter: 0, worker: 1 }), (400, What::Left { attempt: 1 })] => vec!["one attempt out at a time"] ; "another way was cut")]
#[test_case(&[(0, What::Told { limiter: 0, worker: 3 }), (3500, asked("look")), (3600, came(3, 1)), (3601, What::Ran { attempt: 1 }), (3602, answered(200))] => vec!["drains kept"] ; "past the grace")]
#[test_case(&[(0, What::Told { limiter: 1, worker: 3 }), (3500, asked("look")), (3600, came(3, 1)), (3601, What::Ran { attempt: 1 }), (3602, answered(200))] => Vec::<String>::new() ; "another limiter was told")]
fn each_rule_is_held(course: &[(u64, What)]) -> Vec<String> {
    broken(course)
}

/// Three requests at once of a customer whose store holds two: one too many; spread over time there is none.
#[test_case(0 => vec!["ceilings"] ; "at once")]
#[test_case(1000 => Vec::<String>::new() ; "as it refills")]
fn a_quota_is_held(apart: u64) -> Vec<String> {
    let mut course = Vec::new();
    for n in 0..3u64 {
        let (id, at) = (format!("j{n}"), n * apart);
        let patience = ms(1000);
        course.push((
            at,
            What::Asked {
                id: id.clone(),
                class: "look",
                customer: 7,
                limiter: 0,
                patience,
            },
        ));
        course.push((
            at + 1,
            What::Came {
                id: id.clone(),
                worker: 0,
                attempt: n,
                told: None,
            },
        ));
        course.push((at + 2, What::Ran { attempt: n }));
        course.push((
            at + 3,
            What::Answered {
                id,
                status: 200,
                again: false,
            },
        ));
    }
    broken(&course)
}
