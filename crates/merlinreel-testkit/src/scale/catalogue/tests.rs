use super::*;

#[test]
fn every_measurement_has_valid_sizes_and_a_unique_name() {
    let mut names = Vec::new();
    for measurement in measurements() {
        assert!(
            measurement.sizes.len() >= 4,
            "{} {}",
            measurement.role,
            measurement.variable
        );
        MeasureRequest::new(measurement.sizes.to_vec(), 1, 1, Some(64)).expect("valid sizes");
        names.push((measurement.role, measurement.variable));
    }
    let count = names.len();
    names.sort_unstable();
    names.dedup();
    assert_eq!(names.len(), count);
}

#[test]
fn unknown_measurement_is_rejected() {
    assert_eq!(
        select(Some("quotas"), Some("limiters"))
            .map(|selected| selected.len())
            .ok(),
        Some(1)
    );
    assert!(select(Some("quotas"), None).is_ok_and(|selected| selected.len() > 1));
    assert!(matches!(
        select(Some("quota"), None),
        Err(ScaleError::Argument { option: "role", .. })
    ));
}
