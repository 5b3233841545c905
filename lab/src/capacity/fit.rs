//! Fits a straight line to measured points, or states why the points do not lie on one.

use nalgebra::{DMatrix, DVector};
use serde::{Deserialize, Serialize};

/// Fewer points are not fitted.
pub const MIN_POINTS: usize = 4;
/// Maximum distance of a point from the line, as a share of the point's cost, for a cost that counts as
/// linear.
pub const MAX_RESIDUAL: f64 = 0.25;
/// Maximum ratio between the slopes of the first and the second half of the points, for a cost that counts as
/// linear.
pub const MAX_HALF_SLOPE_RATIO: f64 = 1.5;
/// With every point at most this close to the line the cost counts as linear whatever the slopes of the
/// halves: the slopes of a cost that hardly grows are noise alone.
const ALWAYS_LINEAR_RESIDUAL: f64 = 0.05;

/// One measurement.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Point {
    /// The size at which the cost was measured.
    pub x: f64,
    /// The measured cost.
    pub y: f64,
}

/// The growth of a cost with the size. Reports name the variants `straight` and `bent`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "shape")]
pub enum Shape {
    /// The cost grows linearly: `intercept + slope * x`.
    #[serde(rename = "straight")]
    Linear { slope: f64, intercept: f64 },
    /// The cost does not grow linearly; it has no slope.
    #[serde(rename = "bent")]
    Nonlinear {
        #[serde(rename = "why")]
        reason: String,
    },
}

/// A fit with the points that it was made from.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fit {
    /// The points in order of their sizes.
    pub points: Vec<Point>,
    #[serde(flatten)]
    pub shape: Shape,
    /// The largest distance of a point from the line, as a share of the point's cost.
    pub residual: f64,
    /// Slopes of the first and of the second half of the points.
    #[serde(rename = "halves")]
    pub half_slopes: (f64, f64),
}

struct Line {
    slope: f64,
    intercept: f64,
}

impl Line {
    /// Minimizes the squares of the relative error, so that over decades of sizes the small sizes count as
    /// much as the large ones.
    fn through(points: &[Point]) -> Option<Line> {
        let (max_x, max_y) = maxima(points);
        let coefficient = |row: usize, column: usize| {
            let Point { x, y } = points[row];
            let weight = max_y / y;
            if column == 0 { x / max_x * weight } else { weight }
        };
        let rows = DMatrix::from_fn(points.len(), 2, coefficient);
        let ones = DVector::from_element(points.len(), 1.0);
        let solved = rows.svd(true, true).solve(&ones, 1e-12).ok()?;
        Some(Line { slope: solved[0] * max_y / max_x, intercept: solved[1] * max_y })
    }

    /// The largest distance of a point from the line, as a share of the point's cost.
    fn residual(&self, points: &[Point]) -> f64 {
        let distance = |p: &Point| (self.intercept + self.slope * p.x - p.y).abs() / p.y;
        points.iter().map(distance).fold(0.0, f64::max)
    }
}

/// The largest size and the largest cost.
fn maxima(points: &[Point]) -> (f64, f64) {
    points.iter().fold((0.0, 0.0), |(x, y), p| (p.x.max(x), p.y.max(y)))
}

/// Fits a line to the points, in order of their sizes.
///
/// # Errors
/// One line: there are too few points, or a point is not positive and finite.
pub fn fit(mut points: Vec<Point>) -> Result<Fit, String> {
    points.sort_by(|a, b| a.x.total_cmp(&b.x));
    points.dedup_by(|a, b| a.x == b.x);
    if points.len() < MIN_POINTS {
        return Err(format!("{} points at different sizes, {MIN_POINTS} are needed", points.len()));
    }
    let positive = |n: f64| n > 0.0 && n.is_finite();
    if let Some(p) = points.iter().find(|p| !positive(p.x) || !positive(p.y)) {
        return Err(format!("the point ({}, {}) is not positive and finite", p.x, p.y));
    }
    let middle = points.len() / 2;
    let unsolved = || "the least-squares problem of the line has no solution".to_owned();
    let line = Line::through(&points).ok_or_else(unsolved)?;
    let first = Line::through(&points[..=middle]).ok_or_else(unsolved)?;
    let second = Line::through(&points[middle..]).ok_or_else(unsolved)?;
    let residual = line.residual(&points);
    let reason = nonlinearity(residual, first.slope, second.slope);
    let shape = match reason {
        Some(reason) => Shape::Nonlinear { reason },
        None => Shape::Linear { slope: line.slope, intercept: line.intercept },
    };
    Ok(Fit { points, shape, residual, half_slopes: (first.slope, second.slope) })
}

/// Why a cost does not count as linear, or `None` if it does. The text goes into the reports and the page.
fn nonlinearity(residual: f64, first_slope: f64, second_slope: f64) -> Option<String> {
    if residual <= ALWAYS_LINEAR_RESIDUAL {
        return None;
    }
    if residual > MAX_RESIDUAL {
        return Some(format!("a point lies {residual:.2} of itself off the line, {MAX_RESIDUAL} is allowed"));
    }
    let ratio = (first_slope / second_slope).max(second_slope / first_slope);
    let differ = first_slope * second_slope <= 0.0 || ratio > MAX_HALF_SLOPE_RATIO;
    differ.then(|| format!("the halves have slopes {first_slope:.4} and {second_slope:.4}"))
}

impl Fit {
    /// The cost at a size. A nonlinear cost is interpolated along the chords between its points, and
    /// extrapolated along the first or the last chord. Below the smallest measured size the cost is at least
    /// proportional to that of the smallest point.
    #[must_use]
    pub fn cost_at(&self, x: f64) -> f64 {
        let cost = match self.shape {
            Shape::Linear { slope, intercept } => intercept + slope * x,
            Shape::Nonlinear { .. } => self.cost_along_chord(x),
        };
        let first = self.points[0];
        if x < first.x { cost.max(first.y * x / first.x) } else { cost.max(0.0) }
    }

    fn cost_along_chord(&self, x: f64) -> f64 {
        let last = self.points.len() - 2;
        let chord = self.points.windows(2).position(|w| x <= w[1].x).unwrap_or(last);
        let (start, end) = (self.points[chord], self.points[chord + 1]);
        start.y + (end.y - start.y) * (x - start.x) / (end.x - start.x)
    }

    /// The cost of one item at the largest measured size.
    #[must_use]
    pub fn unit_cost_at_largest(&self) -> f64 {
        self.points.last().map_or(f64::NAN, |p| p.y / p.x)
    }

    /// The cost of one more item: the slope, or for a nonlinear cost the cost of one item at the largest
    /// measured size.
    #[must_use]
    pub fn unit_cost(&self) -> f64 {
        match self.shape {
            Shape::Linear { slope, .. } => slope,
            Shape::Nonlinear { .. } => self.unit_cost_at_largest(),
        }
    }

    /// Whether the size lies within the range of the measured sizes.
    #[must_use]
    pub fn covers(&self, x: f64) -> bool {
        let (first, last) = (self.points.first(), self.points.last());
        first.is_some_and(|p| p.x <= x) && last.is_some_and(|p| x <= p.x)
    }

    /// Whether the cost grows linearly.
    #[must_use]
    pub fn is_linear(&self) -> bool {
        matches!(self.shape, Shape::Linear { .. })
    }
}
