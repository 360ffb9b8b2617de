use super::*;
use std::time::Duration;

const KEPT_FOR: Duration = Duration::from_secs(60);

#[test]
fn id_is_kept_until_its_time_is_over() {
    let mut ids = RecentIds::new(8);
    let start = Instant::now();
    ids.insert(&"9b", start, start + KEPT_FOR);
    assert!(ids.contains(&"9b", start + KEPT_FOR / 2));
    assert!(!ids.contains(&"9c", start));
    assert!(!ids.contains(&"9b", start + KEPT_FOR));
    assert!(ids.kept_until.is_empty() && ids.oldest_first.is_empty());
}

/// Guards against memory that grows with the number of ids that clients invent.
#[test]
fn oldest_id_is_forgotten_for_a_new_one_if_there_are_too_many() {
    let mut ids = RecentIds::new(2);
    let start = Instant::now();
    let forgot: Vec<bool> = (0..4)
        .map(|id| ids.insert(&id, start, start + KEPT_FOR))
        .collect();
    assert_eq!(forgot, [false, false, true, true]);
    let kept: Vec<bool> = (0..4).map(|id| ids.contains(&id, start)).collect();
    assert_eq!(kept, [false, false, true, true]);
}

#[test]
fn id_that_is_inserted_again_is_kept_until_its_later_time() {
    let mut ids = RecentIds::new(8);
    let start = Instant::now();
    ids.insert(&"9b", start, start + KEPT_FOR);
    ids.remove(&"9b");
    assert!(!ids.contains(&"9b", start));
    ids.insert(&"9b", start, start + 2 * KEPT_FOR);
    assert!(ids.contains(&"9b", start + KEPT_FOR));
    assert!(!ids.contains(&"9b", start + 2 * KEPT_FOR));
}
