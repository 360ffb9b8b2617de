use super::*;

/// The same seed always draws the same plan.
#[test]
fn generated_plan_ends_every_fault() {
    for seed in 0..200 {
        let duration = Duration::from_secs(10);
        let plan = FaultPlan::generate(seed, 6, 3, 4, duration);
        assert_eq!(plan, FaultPlan::generate(seed, 6, 3, 4, duration));
        let count = |wanted: fn(&Fault) -> bool| {
            let faults = plan.faults.iter();
            faults.filter(|planned| wanted(&planned.fault)).count()
        };
        let ends_process = |fault: &Fault| {
            matches!(
                fault,
                Fault::KillLimiter { .. } | Fault::TerminateLimiter { .. }
            )
        };
        assert_eq!(
            count(ends_process),
            count(|fault| matches!(fault, Fault::StartLimiter { .. }))
        );
        assert_eq!(
            count(|fault| matches!(fault, Fault::StartConnectionBurst { .. })),
            count(|fault| matches!(fault, Fault::EndConnectionBurst { .. }))
        );
        assert_eq!(
            count(|fault| matches!(fault, Fault::SuspendLimiter { .. })),
            count(|fault| matches!(fault, Fault::ContinueLimiter { .. }))
        );
        assert!(plan.faults.iter().all(|planned| planned.at <= duration));
        let mut unavailable = [false; 3];
        for planned in &plan.faults {
            match planned.fault {
                Fault::KillLimiter { limiter }
                | Fault::TerminateLimiter { limiter, .. }
                | Fault::SuspendLimiter { limiter } => {
                    assert!(!std::mem::replace(&mut unavailable[limiter], true))
                }
                Fault::StartLimiter { limiter } | Fault::ContinueLimiter { limiter } => {
                    assert!(std::mem::replace(&mut unavailable[limiter], false))
                }
                _ => {}
            }
        }
    }
}
