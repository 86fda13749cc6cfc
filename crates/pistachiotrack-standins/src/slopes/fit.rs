//! Straight lines through measured points, by least squares.

use serde::Serialize;

/// A measured value at one size.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub(crate) struct Point {
    /// The size.
    pub(crate) size: f64,
    /// What was measured there.
    pub(crate) value: f64,
}

/// Standard errors that a slope must be away from 0 to count as one.
const SIGNIFICANT_ERRORS: f64 = 3.0;

/// A straight line with its error.
///
/// A slope that the points' own scatter explains is taken as 0, since a small
/// error would become a large one far beyond the measured sizes.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub(crate) struct Fit {
    /// Value at size 0.
    pub(crate) intercept: f64,
    /// Growth for each unit of size.
    pub(crate) slope: f64,
    /// Coefficient of determination; 1 when every point is on the line.
    pub(crate) r_squared: f64,
    /// Largest distance of a point from the line, as a share of the largest
    /// value.
    pub(crate) worst_residual: f64,
}

impl Fit {
    /// Fits a line to the points.
    ///
    /// # Panics
    ///
    /// Panics if there are fewer than two points.
    pub(crate) fn new(points: &[Point]) -> Fit {
        assert!(points.len() >= 2, "a line needs two points");
        let count = points.len() as f64;
        let mean_size = points.iter().map(|point| point.size).sum::<f64>() / count;
        let mean_value = points.iter().map(|point| point.value).sum::<f64>() / count;
        let spread = points.iter().map(|point| (point.size - mean_size).powi(2)).sum::<f64>();
        let joint = points
            .iter()
            .map(|point| (point.size - mean_size) * (point.value - mean_value))
            .sum::<f64>();
        let steepest = if spread == 0.0 { 0.0 } else { joint / spread };
        let off =
            |slope: f64, point: &Point| point.value - mean_value - slope * (point.size - mean_size);
        let scatter =
            |slope: f64| points.iter().map(|point| off(slope, point).powi(2)).sum::<f64>();
        let error = (scatter(steepest) / (count - 2.0).max(1.0) / spread).sqrt();
        let significant = points.len() < 3 || steepest.abs() >= SIGNIFICANT_ERRORS * error;
        let slope = if significant { steepest } else { 0.0 };
        let intercept = mean_value - slope * mean_size;
        let residual = |point: &Point| off(slope, point);
        let unexplained = scatter(slope);
        let total = points.iter().map(|point| (point.value - mean_value).powi(2)).sum::<f64>();
        let largest = points.iter().map(|point| point.value.abs()).fold(0.0, f64::max);
        let worst = points.iter().map(|point| residual(point).abs()).fold(0.0, f64::max);
        Fit {
            intercept,
            slope,
            r_squared: if total == 0.0 { 1.0 } else { 1.0 - unexplained / total },
            worst_residual: if largest == 0.0 { 0.0 } else { worst / largest },
        }
    }

    /// Returns the line's value at a size.
    pub(crate) fn at(&self, size: f64) -> f64 {
        self.intercept + self.slope * size
    }
}

/// Returns the value at a size between measured points, which must be in the
/// order of their sizes; `None` outside of them.
pub(crate) fn between(points: &[Point], size: f64) -> Option<f64> {
    let pair = points.windows(2).find(|pair| pair[0].size <= size && size <= pair[1].size)?;
    let share = (size - pair[0].size) / (pair[1].size - pair[0].size);
    Some(pair[0].value + share * (pair[1].value - pair[0].value))
}
