use super::*;
use test_case::test_case;

const SIZES: [f64; 5] = [50.0, 150.0, 500.0, 1500.0, 2300.0];

fn points(cost: impl Fn(f64) -> f64) -> Vec<Point> {
    SIZES
        .iter()
        .map(|&size| Point::new(size, cost(size)))
        .collect()
}

#[test_case(|size| 7.0 * size => 1.0 ; "linear")]
#[test_case(|size| 0.5 * size * size => 2.0 ; "quadratic")]
#[test_case(|_| 12.0 => 0.0 ; "constant")]
fn exponent_of_a_known_law_is_recovered(cost: fn(f64) -> f64) -> f64 {
    let law = PowerLaw::fit(&points(cost)).expect("points at five sizes");
    assert!(law.r_squared > 0.999_999);
    assert!((law.value_at(160_000.0) / cost(160_000.0) - 1.0).abs() < 1e-6);
    (law.exponent * 1e6).round() / 1e6
}

/// The quadratic part is an eighth of the linear one at the smallest size, and nearly six times as large at the largest.
#[test]
fn linear_cost_with_a_quadratic_part_is_too_steep() {
    let linear = points(|size| 400.0 * size);
    let with_quadratic_part = points(|size| 400.0 * size + size * size);
    assert!(check_slope(&linear, 1.1).is_ok());
    assert!(matches!(
        check_slope(&with_quadratic_part, 1.1),
        Err(SlopeError::TooSteep { .. })
    ));
}

#[test]
fn points_at_fewer_than_two_valid_sizes_are_rejected() {
    assert_eq!(
        PowerLaw::fit(&[Point::new(50.0, 1.0)]),
        Err(SlopeError::TooFewPoints(1))
    );
    assert_eq!(
        PowerLaw::fit(&[Point::new(50.0, 1.0), Point::new(50.0, 2.0)]),
        Err(SlopeError::TooFewPoints(2))
    );
    assert_eq!(
        PowerLaw::fit(&[Point::new(50.0, 0.0), Point::new(60.0, 2.0)]),
        Err(SlopeError::TooFewPoints(1))
    );
}
