//! A straight line through measured points, or the reason why there is none.

use nalgebra::{DMatrix, DVector};
use serde::{Deserialize, Serialize};

/// Fewer points are not fitted.
pub const POINTS_LEAST: usize = 4;
/// The largest distance of a point from the line, as a share of the point, with which the line stands.
pub const RESIDUAL_MOST: f64 = 0.25;
/// The slopes of the first and the second half of the points may differ by this factor.
pub const HALVES_MOST: f64 = 1.5;
/// With every point this close to the line it is straight, whatever the halves say: a cost that hardly grows has slopes
/// of noise alone.
const RESIDUAL_STRAIGHT: f64 = 0.05;

/// One measurement.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Point {
    /// The size.
    pub x: f64,
    /// What it cost.
    pub y: f64,
}

/// What the points say.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "shape")]
pub enum Shape {
    /// The cost grows evenly: `intercept + slope * x`.
    Straight { slope: f64, intercept: f64 },
    /// It does not; no slope is given.
    Bent { why: String },
}

/// A fit with the points that it was made from.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fit {
    pub points: Vec<Point>,
    #[serde(flatten)]
    pub shape: Shape,
    /// The largest distance of a point from the line, as a share of the point.
    pub residual: f64,
    /// Slopes of the first and of the second half of the points.
    pub halves: (f64, f64),
}

struct Line {
    slope: f64,
    intercept: f64,
}

impl Line {
    /// Least squares of the relative error, so that over decades of sizes the small ones count as much as the large.
    fn through(points: &[Point]) -> Option<Line> {
        let (x_most, y_most) = largest(points);
        let coefficient = |row: usize, column: usize| {
            let Point { x, y } = points[row];
            let weight = y_most / y;
            if column == 0 { x / x_most * weight } else { weight }
        };
        let rows = DMatrix::from_fn(points.len(), 2, coefficient);
        let ones = DVector::from_element(points.len(), 1.0);
        let solved = rows.svd(true, true).solve(&ones, 1e-12).ok()?;
        Some(Line { slope: solved[0] * y_most / x_most, intercept: solved[1] * y_most })
    }

    fn residual(&self, points: &[Point]) -> f64 {
        let distance = |p: &Point| (self.intercept + self.slope * p.x - p.y).abs() / p.y;
        points.iter().map(distance).fold(0.0, f64::max)
    }
}

fn largest(points: &[Point]) -> (f64, f64) {
    points.iter().fold((0.0, 0.0), |(x, y), p| (p.x.max(x), p.y.max(y)))
}

/// Fits a line to the points, in order of their sizes.
///
/// # Errors
/// One line, where there are too few points, or one that is no positive finite number.
pub fn fit(mut points: Vec<Point>) -> Result<Fit, String> {
    points.sort_by(|a, b| a.x.total_cmp(&b.x));
    points.dedup_by(|a, b| a.x == b.x);
    if points.len() < POINTS_LEAST {
        return Err(format!("{} points at different sizes, {POINTS_LEAST} are needed", points.len()));
    }
    let positive = |n: f64| n > 0.0 && n.is_finite();
    if let Some(p) = points.iter().find(|p| !positive(p.x) || !positive(p.y)) {
        return Err(format!("the point ({}, {}) is not positive and finite", p.x, p.y));
    }
    let middle = points.len() / 2;
    let unsolved = || "no line could be solved for".to_owned();
    let line = Line::through(&points).ok_or_else(unsolved)?;
    let first = Line::through(&points[..=middle]).ok_or_else(unsolved)?;
    let second = Line::through(&points[middle..]).ok_or_else(unsolved)?;
    let residual = line.residual(&points);
    let why = bent(residual, first.slope, second.slope);
    let shape = match why {
        Some(why) => Shape::Bent { why },
        None => Shape::Straight { slope: line.slope, intercept: line.intercept },
    };
    Ok(Fit { points, shape, residual, halves: (first.slope, second.slope) })
}

fn bent(residual: f64, first: f64, second: f64) -> Option<String> {
    if residual <= RESIDUAL_STRAIGHT {
        return None;
    }
    if residual > RESIDUAL_MOST {
        return Some(format!(
            "a point lies {residual:.2} of itself off the line, {RESIDUAL_MOST} is allowed"
        ));
    }
    let ratio = (first / second).max(second / first);
    let differ = first * second <= 0.0 || ratio > HALVES_MOST;
    differ.then(|| format!("the halves have slopes {first:.4} and {second:.4}"))
}

impl Fit {
    /// The cost at a size. A bent one is taken along the chords between its points, and beyond them along the outer
    /// ones. Below the smallest size no cost is taken for less than its part of the smallest point.
    #[must_use]
    pub fn at(&self, x: f64) -> f64 {
        let along = match self.shape {
            Shape::Straight { slope, intercept } => intercept + slope * x,
            Shape::Bent { .. } => self.along_chord(x),
        };
        let first = self.points[0];
        if x < first.x { along.max(first.y * x / first.x) } else { along.max(0.0) }
    }

    fn along_chord(&self, x: f64) -> f64 {
        let last = self.points.len() - 2;
        let chord = self.points.windows(2).position(|w| x <= w[1].x).unwrap_or(last);
        let (a, b) = (self.points[chord], self.points[chord + 1]);
        a.y + (b.y - a.y) * (x - a.x) / (b.x - a.x)
    }

    /// The cost of one at the largest size that was measured.
    #[must_use]
    pub fn each_at_largest(&self) -> f64 {
        self.points.last().map_or(f64::NAN, |p| p.y / p.x)
    }

    /// The cost of one more: the slope, or that of one at the largest size.
    #[must_use]
    pub fn each(&self) -> f64 {
        match self.shape {
            Shape::Straight { slope, .. } => slope,
            Shape::Bent { .. } => self.each_at_largest(),
        }
    }

    /// The size lies between those that were measured.
    #[must_use]
    pub fn covers(&self, x: f64) -> bool {
        let (first, last) = (self.points.first(), self.points.last());
        first.is_some_and(|p| p.x <= x) && last.is_some_and(|p| x <= p.x)
    }

    #[must_use]
    pub fn is_straight(&self) -> bool {
        matches!(self.shape, Shape::Straight { .. })
    }
}
