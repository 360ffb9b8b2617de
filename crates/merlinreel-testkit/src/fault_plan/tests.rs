use super::*;

/// The faults of limiters with their numbers, in the order of time.
fn limiter_faults(plan: &FaultPlan) -> Vec<(usize, LimiterFault)> {
    let faults = plan
        .faults
        .iter()
        .filter_map(|planned| match planned.fault {
            Fault::Limiter { limiter, fault } => Some((limiter, fault)),
            _ => None,
        });
    faults.collect()
}

/// The same seed always draws the same plan.
#[test]
fn generated_plan_ends_every_fault() {
    for seed in 0..200 {
        let duration = Duration::from_secs(10);
        let plan = FaultPlan::generate(seed, 6, 3, 4, duration);
        assert_eq!(plan, FaultPlan::generate(seed, 6, 3, 4, duration));
        let faults = limiter_faults(&plan);
        let count = |wanted: fn(&LimiterFault) -> bool| {
            faults.iter().filter(|(_, fault)| wanted(fault)).count()
        };
        let ends_process = |fault: &LimiterFault| {
            matches!(fault, LimiterFault::Kill | LimiterFault::Terminate { .. })
        };
        assert_eq!(
            count(ends_process),
            count(|fault| *fault == LimiterFault::Start)
        );
        assert_eq!(
            count(|fault| *fault == LimiterFault::StartConnectionBurst),
            count(|fault| *fault == LimiterFault::EndConnectionBurst)
        );
        assert_eq!(
            count(|fault| *fault == LimiterFault::Suspend),
            count(|fault| *fault == LimiterFault::Continue)
        );
        assert!(plan.faults.iter().all(|planned| planned.at <= duration));
        let mut unavailable = [false; 3];
        for (limiter, fault) in faults {
            match fault {
                LimiterFault::Kill | LimiterFault::Terminate { .. } | LimiterFault::Suspend => {
                    assert!(!std::mem::replace(&mut unavailable[limiter], true));
                }
                LimiterFault::Start | LimiterFault::Continue => {
                    assert!(std::mem::replace(&mut unavailable[limiter], false));
                }
                _ => {}
            }
        }
    }
}
