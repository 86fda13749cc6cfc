//! The report of measured costs and its printed form.

use serde::Serialize;

use super::fit::{Fit, Point, interpolate};

/// One cost, measured at several sizes.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Cost {
    /// Name by which sums look it up.
    pub(crate) name: String,
    /// What the size of a point counts.
    pub(crate) against: String,
    /// Unit of the values.
    pub(crate) unit: String,
    /// Measured points.
    pub(crate) points: Vec<Point>,
    /// The line through the points.
    pub(crate) fit: Fit,
    /// Size of one of many deployments.
    pub(crate) deployment_size: f64,
    /// Value at `deployment_size`: interpolated between measured points, on the fitted line outside
    /// of them.
    pub(crate) at_deployment: f64,
    /// Size of a single deployment that holds the whole target size.
    pub(crate) whole_size: f64,
    /// Value at `whole_size`, computed like `at_deployment`.
    pub(crate) at_whole: f64,
    /// Largest difference between rounds at the size of one deployment, as a
    /// fraction of the smallest.
    pub(crate) round_spread: f64,
}

impl Cost {
    /// Creates a cost with a line fitted to its points.
    pub(crate) fn new(
        name: &str,
        against: &str,
        unit: &str,
        sizes: (f64, f64),
        points: Vec<Point>,
    ) -> Cost {
        let fit = Fit::new(&points);
        let value_at = |size: f64| interpolate(&points, size).unwrap_or_else(|| fit.value_at(size));
        let (at_deployment, at_whole) = (value_at(sizes.0), value_at(sizes.1));
        Cost {
            name: name.to_owned(),
            against: against.to_owned(),
            unit: unit.to_owned(),
            points,
            fit,
            deployment_size: sizes.0,
            at_deployment,
            whole_size: sizes.1,
            at_whole,
            round_spread: 0.0,
        }
    }

    /// Combines several rounds: takes the shortest time at each point, since other load on the
    /// machine only increases it.
    fn from_rounds(rounds: &[&Cost]) -> Cost {
        let first = rounds[0];
        if !is_time(&first.unit) {
            return first.clone();
        }
        let min_point = |index: usize| {
            let values = rounds.iter().map(|cost| cost.points[index].value);
            Point { size: first.points[index].size, value: values.fold(f64::INFINITY, f64::min) }
        };
        let points = (0..first.points.len()).map(min_point).collect();
        let sizes = (first.deployment_size, first.whole_size);
        let values: Vec<f64> = rounds.iter().map(|cost| cost.at_deployment).collect();
        Cost {
            round_spread: relative_range(&values),
            ..Cost::new(&first.name, &first.against, &first.unit, sizes, points)
        }
    }

    /// Returns the ratio of a size to the largest measured size, or 1 if it is not larger.
    pub(crate) fn extrapolation(&self, size: f64) -> f64 {
        let largest = self.points.iter().map(|point| point.size).fold(0.0, f64::max);
        (size / largest).max(1.0)
    }
}

/// A single value, which may have a budget.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Figure {
    /// Name in the documentation.
    pub(crate) name: String,
    /// Unit of the value.
    pub(crate) unit: String,
    /// The value.
    pub(crate) value: f64,
    /// Largest allowed value, if there is a budget.
    pub(crate) budget: Option<f64>,
}

impl Figure {
    /// Returns a figure without a budget.
    pub(crate) fn new(name: &str, unit: &str, value: f64) -> Figure {
        Figure { name: name.to_owned(), unit: unit.to_owned(), value, budget: None }
    }

    /// Returns the figure with a budget.
    pub(crate) fn with_budget(self, budget: f64) -> Figure {
        Figure { budget: Some(budget), ..self }
    }

    /// Combines several rounds; like costs, times take the minimum.
    fn from_rounds(rounds: &[&Figure]) -> Figure {
        if !is_time(&rounds[0].unit) {
            return rounds[0].clone();
        }
        let min = rounds.iter().map(|figure| figure.value).fold(f64::INFINITY, f64::min);
        Figure { value: min, ..rounds[0].clone() }
    }

    fn budget_result(&self) -> String {
        match self.budget {
            None => String::new(),
            Some(budget) if self.value <= budget => format!("fits {}", format_short(budget)),
            Some(budget) => format!("OVER {} by {:.2}x", format_short(budget), self.value / budget),
        }
    }
}

/// Everything that a run measured.
#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct Report {
    /// Costs with their fitted lines.
    pub(crate) costs: Vec<Cost>,
    /// Other figures.
    pub(crate) figures: Vec<Figure>,
}

impl Report {
    /// Combines the reports of several rounds that measured the same costs and figures.
    pub(crate) fn from_rounds(rounds: &[Report]) -> Report {
        let costs =
            |index: usize| rounds.iter().map(|round| &round.costs[index]).collect::<Vec<_>>();
        let figures =
            |index: usize| rounds.iter().map(|round| &round.figures[index]).collect::<Vec<_>>();
        Report {
            costs: (0..rounds[0].costs.len())
                .map(|index| Cost::from_rounds(&costs(index)))
                .collect(),
            figures: (0..rounds[0].figures.len())
                .map(|index| Figure::from_rounds(&figures(index)))
                .collect(),
        }
    }

    /// Appends the costs and figures of another report.
    pub(crate) fn append(&mut self, mut other: Report) {
        self.costs.append(&mut other.costs);
        self.figures.append(&mut other.figures);
    }

    /// Returns a cost by name.
    ///
    /// # Panics
    ///
    /// Panics if the run did not measure it.
    pub(crate) fn cost(&self, name: &str) -> &Cost {
        self.costs.iter().find(|cost| cost.name == name).expect("sums use only measured costs")
    }

    /// Returns a figure's value by name.
    ///
    /// # Panics
    ///
    /// Panics if the run did not measure it.
    pub(crate) fn figure(&self, name: &str) -> f64 {
        let figure = self.figures.iter().find(|figure| figure.name == name);
        figure.expect("sums use only measured figures").value
    }

    /// Prints the report as text tables.
    pub(crate) fn print(&self) {
        println!(
            "{:<34} {:<22} {:>11} {:>11} {:>7} {:>7} {:>11} {:>11} {:>6} {:>7}",
            "cost",
            "against",
            "at 0",
            "slope",
            "R^2",
            "resid",
            "deployment",
            "whole",
            "reach",
            "rounds"
        );
        for cost in &self.costs {
            println!(
                "{:<34} {:<22} {:>11} {:>11} {:>7.4} {:>6.1}% {:>11} {:>11} {:>5.1}x {:>6.1}% {}",
                cost.name,
                cost.against,
                format_short(cost.fit.intercept),
                format_short(cost.fit.slope),
                cost.fit.r_squared,
                cost.fit.worst_residual * 100.0,
                format_short(cost.at_deployment),
                format_short(cost.at_whole),
                cost.extrapolation(cost.whole_size),
                cost.round_spread * 100.0,
                cost.unit,
            );
        }
        println!();
        for figure in &self.figures {
            println!(
                "{:<52} {:>12} {:<8} {}",
                figure.name,
                format_short(figure.value),
                figure.unit,
                figure.budget_result()
            );
        }
    }
}

fn is_time(unit: &str) -> bool {
    unit == "us" || unit == "us/s"
}

fn relative_range(values: &[f64]) -> f64 {
    let min = values.iter().copied().fold(f64::INFINITY, f64::min);
    let max = values.iter().copied().fold(f64::NEG_INFINITY, f64::max);
    if min == 0.0 { 0.0 } else { (max - min) / min.abs() }
}

/// Formats a number with four significant digits.
fn format_short(value: f64) -> String {
    let magnitude = value.abs();
    if magnitude >= 1e7 {
        return format!("{value:.3e}");
    }
    if magnitude >= 1000.0 || magnitude == 0.0 {
        return format!("{value:.0}");
    }
    let digits = 3 - (magnitude.log10().floor() as i32).clamp(-6, 3);
    format!("{value:.*}", digits as usize)
}
