use super::*;

#[test]
fn every_measurement_has_sizes_that_may_be_asked_for_and_a_name_of_its_own() {
    let mut names = Vec::new();
    for one in measurements() {
        assert!(one.sizes.len() >= 4, "{} {}", one.role, one.variable);
        MeasureRequest::new(one.sizes.to_vec(), 1, 1, Some(64)).expect("sound sizes");
        names.push((one.role, one.variable));
    }
    let all = names.len();
    names.sort_unstable();
    names.dedup();
    assert_eq!(names.len(), all);
}

#[test]
fn a_measurement_that_is_not_there_is_refused() {
    assert_eq!(
        chosen(Some("quotas"), Some("limiters"))
            .map(|chosen| chosen.len())
            .ok(),
        Some(1)
    );
    assert!(chosen(Some("quotas"), None).is_ok_and(|chosen| chosen.len() > 1));
    assert!(matches!(
        chosen(Some("quota"), None),
        Err(ScaleError::Argument { option: "role", .. })
    ));
}
