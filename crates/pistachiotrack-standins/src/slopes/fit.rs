//! Fits straight lines to measured points by least squares.

use serde::Serialize;

/// A measured value at one size.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub(crate) struct Point {
    /// The size.
    pub(crate) size: f64,
    /// The value measured at this size.
    pub(crate) value: f64,
}

/// Number of standard errors by which a slope must differ from 0 to be significant.
const MIN_SIGNIFICANT_ERRORS: f64 = 3.0;

/// A fitted straight line with its goodness of fit.
///
/// A slope that isn't significant is set to 0, since extrapolation far beyond the measured sizes
/// would turn its small error into a large one.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub(crate) struct Fit {
    /// Value at size 0.
    pub(crate) intercept: f64,
    /// Increase per unit of size.
    pub(crate) slope: f64,
    /// Coefficient of determination; 1 when every point is on the line.
    pub(crate) r_squared: f64,
    /// Largest distance of a point from the line, as a fraction of the largest
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
        let squared_sizes =
            points.iter().map(|point| (point.size - mean_size).powi(2)).sum::<f64>();
        let cross_products = points
            .iter()
            .map(|point| (point.size - mean_size) * (point.value - mean_value))
            .sum::<f64>();
        let raw_slope = if squared_sizes == 0.0 { 0.0 } else { cross_products / squared_sizes };
        let residual_at =
            |slope: f64, point: &Point| point.value - mean_value - slope * (point.size - mean_size);
        let squared_residuals =
            |slope: f64| points.iter().map(|point| residual_at(slope, point).powi(2)).sum::<f64>();
        let error = (squared_residuals(raw_slope) / (count - 2.0).max(1.0) / squared_sizes).sqrt();
        let is_significant = points.len() < 3 || raw_slope.abs() >= MIN_SIGNIFICANT_ERRORS * error;
        let slope = if is_significant { raw_slope } else { 0.0 };
        let intercept = mean_value - slope * mean_size;
        let residual = |point: &Point| residual_at(slope, point);
        let unexplained = squared_residuals(slope);
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
    pub(crate) fn value_at(&self, size: f64) -> f64 {
        self.intercept + self.slope * size
    }
}

/// Interpolates linearly between measured points, which must be in ascending order of size;
/// returns `None` outside of their range.
pub(crate) fn interpolate(points: &[Point], size: f64) -> Option<f64> {
    let pair = points.windows(2).find(|pair| pair[0].size <= size && size <= pair[1].size)?;
    let fraction = (size - pair[0].size) / (pair[1].size - pair[0].size);
    Some(pair[0].value + fraction * (pair[1].value - pair[0].value))
}
