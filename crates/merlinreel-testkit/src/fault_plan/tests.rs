use super::*;

/// The limiter faults of a plan in chronological order, each with its limiter's index.
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

/// The same seed draws the same plan. Each kill, termination, suspension and connection burst has a recovery, all faults
/// lie within the duration, and process faults of one limiter do not overlap.
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
        let is_kill_or_termination = |fault: &LimiterFault| {
            matches!(fault, LimiterFault::Kill | LimiterFault::Terminate { .. })
        };
        assert_eq!(
            count(is_kill_or_termination),
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
        let mut has_process_fault = [false; 3];
        for (limiter, fault) in faults {
            match fault {
                LimiterFault::Kill | LimiterFault::Terminate { .. } | LimiterFault::Suspend => {
                    assert!(!std::mem::replace(&mut has_process_fault[limiter], true));
                }
                LimiterFault::Start | LimiterFault::Continue => {
                    assert!(std::mem::replace(&mut has_process_fault[limiter], false));
                }
                _ => {}
            }
        }
    }
}
