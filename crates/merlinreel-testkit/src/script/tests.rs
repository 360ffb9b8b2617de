use super::*;

/// Every trouble ends, and a seed gives one script.
#[test]
fn what_begins_ends() {
    for seed in 0..200 {
        let span = Duration::from_secs(10);
        let script = Script::drawn(seed, 6, 3, 4, span);
        assert_eq!(script, Script::drawn(seed, 6, 3, 4, span));
        let count = |wanted: fn(&Deed) -> bool| {
            script.deeds.iter().filter(|(_, deed)| wanted(deed)).count()
        };
        let ends = |deed: &Deed| matches!(deed, Deed::Kill(_) | Deed::Terminate(..));
        assert_eq!(count(ends), count(|deed| matches!(deed, Deed::Start(_))));
        assert_eq!(
            count(|d| matches!(d, Deed::Crowd(_))),
            count(|d| matches!(d, Deed::Disperse(_)))
        );
        assert_eq!(
            count(|d| matches!(d, Deed::Stop(_))),
            count(|d| matches!(d, Deed::Wake(_)))
        );
        assert!(script.deeds.iter().all(|(at, _)| *at <= span));
        let mut dead = [false; 3];
        for (_, deed) in &script.deeds {
            match *deed {
                Deed::Kill(i) | Deed::Terminate(i, _) | Deed::Stop(i) => {
                    assert!(!std::mem::replace(&mut dead[i], true))
                }
                Deed::Start(i) | Deed::Wake(i) => {
                    assert!(std::mem::replace(&mut dead[i], false))
                }
                _ => {}
            }
        }
    }
}
