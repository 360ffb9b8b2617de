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
fn exponent_of_a_known_law_is_found(cost: fn(f64) -> f64) -> f64 {
    let law = PowerLaw::through(&points(cost)).expect("points");
    assert!(law.r_squared > 0.999_999);
    assert!((law.at(160_000.0) / cost(160_000.0) - 1.0).abs() < 1e-6);
    (law.exponent * 1e6).round() / 1e6
}

/// The quadratic part is small at the least size and dominates at the largest.
#[test]
fn quadratic_part_of_a_cost_is_too_steep() {
    let sound = points(|size| 400.0 * size);
    let quadratic = points(|size| 400.0 * size + size * size);
    assert!(check_slope(&sound, 1.1).is_ok());
    assert!(matches!(
        check_slope(&quadratic, 1.1),
        Err(SlopeError::TooSteep { .. })
    ));
}

#[test]
fn one_size_has_no_slope() {
    assert_eq!(
        PowerLaw::through(&[Point::new(50.0, 1.0)]),
        Err(SlopeError::TooFewPoints(1))
    );
    assert_eq!(
        PowerLaw::through(&[Point::new(50.0, 1.0), Point::new(50.0, 2.0)]),
        Err(SlopeError::TooFewPoints(2))
    );
    assert_eq!(
        PowerLaw::through(&[Point::new(50.0, 0.0), Point::new(60.0, 2.0)]),
        Err(SlopeError::TooFewPoints(1))
    );
}
