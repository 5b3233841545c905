//! The line through measured points.

use onyxrock_lab::capacity::fit::{Fit, POINTS_LEAST, Point, Shape, fit};
use proptest::prelude::*;

const SIZES: [f64; 5] = [10.0, 40.0, 160.0, 640.0, 2_560.0];

fn points(cost: impl Fn(f64) -> f64) -> Vec<Point> {
    SIZES.iter().map(|x| Point { x: *x, y: cost(*x) }).collect()
}

fn bent(fit: &Fit) -> Option<&str> {
    match &fit.shape {
        Shape::Bent { why } => Some(why),
        Shape::Straight { .. } => None,
    }
}

fn close(a: f64, b: f64) -> bool {
    (a - b).abs() <= 1e-6 * b.abs().max(1.0)
}

#[test]
fn a_straight_cost_gives_its_slope_and_its_constant() {
    let found = fit(points(|x| 500.0 + 3.0 * x)).unwrap();
    let Shape::Straight { slope, intercept } = found.shape else { panic!("{found:?}") };
    assert!(close(slope, 3.0) && close(intercept, 500.0), "{found:?}");
    assert!(found.residual < 1e-9 && close(found.halves.0, 3.0) && close(found.halves.1, 3.0));
    assert!(close(found.at(1e6), 3_000_500.0) && found.covers(2_560.0) && !found.covers(2_561.0));
}

#[test]
fn a_flat_cost_is_no_bent_one() {
    let noise = [1.0, 1.02, 0.99, 1.03, 0.98];
    let flat = SIZES.iter().zip(noise).map(|(x, by)| Point { x: *x, y: 100.0 * by }).collect();
    let found = fit(flat).unwrap();
    assert_eq!(bent(&found), None, "{found:?}");
    assert!((95.0..105.0).contains(&found.at(2_560.0)), "{found:?}");
}

#[test]
fn a_bent_cost_is_reported_and_not_fitted() {
    let square = fit(points(|x| x * x)).unwrap();
    assert!(bent(&square).is_some(), "{square:?}");
    assert!(close(square.each_at_largest(), 2_560.0));
    // Between its points it is taken along the chord, beyond them along the last.
    assert!(close(square.at(25.0), 100.0 + (1_600.0 - 100.0) / 2.0));
    let last = (2_560.0 * 2_560.0 - 640.0 * 640.0) / (2_560.0 - 640.0);
    assert!(close(square.at(3_560.0), 2_560.0 * 2_560.0 + 1_000.0 * last));
    // Below the smallest size the chord would fall under zero.
    assert!(close(square.at(1.0), 10.0));
    // Twice the slope in its second half, though no point is far off the line.
    let knee = fit(points(|x| 1_000.0 + x + (x - 160.0).max(0.0))).unwrap();
    assert!(bent(&knee).is_some_and(|why| why.contains("halves")), "{knee:?}");
}

#[test]
fn too_few_points_and_impossible_ones_are_refused() {
    let few = points(|x| x)[..POINTS_LEAST - 1].to_vec();
    assert_eq!(fit(few).unwrap_err(), "3 points at different sizes, 4 are needed");
    let same = vec![Point { x: 1.0, y: 1.0 }; 9];
    assert_eq!(fit(same).unwrap_err(), "1 points at different sizes, 4 are needed");
    for y in [0.0, -1.0, f64::NAN, f64::INFINITY] {
        let mut wrong = points(|x| x);
        wrong[2].y = y;
        assert!(fit(wrong).unwrap_err().contains("not positive and finite"), "{y}");
    }
}

proptest! {
    #[test]
    fn a_line_with_little_noise_is_found_again(
        slope in 0.01f64..1e4, constant in 0.0f64..1e6, noise in prop::array::uniform5(-0.02f64..0.02)
    ) {
        let y = |x: f64| constant + slope * x;
        let points = SIZES.iter().zip(noise).map(|(x, n)| Point { x: *x, y: y(*x) * (1.0 + n) }).collect();
        let found = fit(points).unwrap();
        let most = SIZES[4];
        prop_assert!((found.at(most) / y(most) - 1.0).abs() < 0.1, "{found:?}");
        prop_assert!(found.residual < 0.1);
    }
}
