//! Tests of the line fitted to measured points.

use onyxrock_lab::capacity::fit::{Fit, MIN_POINTS, Point, Shape, fit};
use proptest::prelude::*;

const SIZES: [f64; 5] = [10.0, 40.0, 160.0, 640.0, 2_560.0];

fn points(cost: impl Fn(f64) -> f64) -> Vec<Point> {
    SIZES.iter().map(|x| Point { x: *x, y: cost(*x) }).collect()
}

/// The reason why the cost counts as nonlinear, if it does.
fn nonlinearity(fit: &Fit) -> Option<&str> {
    match &fit.shape {
        Shape::Nonlinear { reason } => Some(reason),
        Shape::Linear { .. } => None,
    }
}

/// Whether two numbers are equal up to rounding.
fn close(a: f64, b: f64) -> bool {
    (a - b).abs() <= 1e-6 * b.abs().max(1.0)
}

#[test]
fn linear_cost_gives_its_slope_and_its_constant() {
    let fitted = fit(points(|x| 500.0 + 3.0 * x)).unwrap();
    let Shape::Linear { slope, intercept } = fitted.shape else { panic!("{fitted:?}") };
    assert!(close(slope, 3.0) && close(intercept, 500.0), "{fitted:?}");
    assert!(fitted.residual < 1e-9 && close(fitted.half_slopes.0, 3.0) && close(fitted.half_slopes.1, 3.0));
    assert!(close(fitted.cost_at(1e6), 3_000_500.0) && fitted.covers(2_560.0) && !fitted.covers(2_561.0));
}

#[test]
fn constant_cost_with_noise_counts_as_linear() {
    let noise = [1.0, 1.02, 0.99, 1.03, 0.98];
    let constant_with_noise =
        SIZES.iter().zip(noise).map(|(x, factor)| Point { x: *x, y: 100.0 * factor }).collect();
    let fitted = fit(constant_with_noise).unwrap();
    assert_eq!(nonlinearity(&fitted), None, "{fitted:?}");
    assert!((95.0..105.0).contains(&fitted.cost_at(2_560.0)), "{fitted:?}");
}

#[test]
fn nonlinear_cost_gets_no_slope_and_is_interpolated_between_its_points() {
    let square = fit(points(|x| x * x)).unwrap();
    assert!(nonlinearity(&square).is_some(), "{square:?}");
    assert!(close(square.unit_cost_at_largest(), 2_560.0));
    // Between the points the cost follows the chord, beyond them the last chord.
    assert!(close(square.cost_at(25.0), 100.0 + (1_600.0 - 100.0) / 2.0));
    let last_slope = (2_560.0 * 2_560.0 - 640.0 * 640.0) / (2_560.0 - 640.0);
    assert!(close(square.cost_at(3_560.0), 2_560.0 * 2_560.0 + 1_000.0 * last_slope));
    // Below the smallest size the cost is proportional to that of the smallest point; the chord would fall
    // below zero.
    assert!(close(square.cost_at(1.0), 10.0));
    // The slope in the second half is twice that in the first, though no point is far from the line.
    let knee = fit(points(|x| 1_000.0 + x + (x - 160.0).max(0.0))).unwrap();
    assert!(nonlinearity(&knee).is_some_and(|reason| reason.contains("halves")), "{knee:?}");
}

#[test]
fn too_few_points_and_points_that_are_not_positive_and_finite_are_refused() {
    let too_few = points(|x| x)[..MIN_POINTS - 1].to_vec();
    assert_eq!(fit(too_few).unwrap_err(), "3 points at different sizes, 4 are needed");
    let same = vec![Point { x: 1.0, y: 1.0 }; 9];
    assert_eq!(fit(same).unwrap_err(), "1 points at different sizes, 4 are needed");
    for y in [0.0, -1.0, f64::NAN, f64::INFINITY] {
        let mut invalid = points(|x| x);
        invalid[2].y = y;
        assert!(fit(invalid).unwrap_err().contains("not positive and finite"), "{y}");
    }
}

proptest! {
    #[test]
    fn line_is_recovered_from_points_with_little_noise(
        slope in 0.01f64..1e4, constant in 0.0f64..1e6, noise in prop::array::uniform5(-0.02f64..0.02)
    ) {
        let y = |x: f64| constant + slope * x;
        let points = SIZES.iter().zip(noise).map(|(x, n)| Point { x: *x, y: y(*x) * (1.0 + n) }).collect();
        let fitted = fit(points).unwrap();
        let largest = SIZES[4];
        prop_assert!((fitted.cost_at(largest) / y(largest) - 1.0).abs() < 0.1, "{fitted:?}");
        prop_assert!(fitted.residual < 0.1);
    }
}
