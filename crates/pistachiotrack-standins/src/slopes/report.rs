//! Measured costs and how they are printed.

use serde::Serialize;

use super::fit::{Fit, Point, between};

/// One cost, measured at several sizes.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Cost {
    /// Name by which sums refer to it.
    pub(crate) name: String,
    /// What the size counts.
    pub(crate) against: String,
    /// Unit of the values.
    pub(crate) unit: String,
    /// What was measured.
    pub(crate) points: Vec<Point>,
    /// The line through the points.
    pub(crate) fit: Fit,
    /// Size of one deployment among many.
    pub(crate) deployment_size: f64,
    /// Value there: between measured points, or on the line beyond them.
    pub(crate) at_deployment: f64,
    /// Size of one deployment that holds everything.
    pub(crate) whole_size: f64,
    /// Value there, as above.
    pub(crate) at_whole: f64,
    /// Largest difference between rounds at the size of one deployment, as a
    /// share of the least.
    pub(crate) round_spread: f64,
}

impl Cost {
    /// Fits the points of a cost.
    pub(crate) fn new(
        name: &str,
        against: &str,
        unit: &str,
        sizes: (f64, f64),
        points: Vec<Point>,
    ) -> Cost {
        let fit = Fit::new(&points);
        let at = |size: f64| between(&points, size).unwrap_or_else(|| fit.at(size));
        let (at_deployment, at_whole) = (at(sizes.0), at(sizes.1));
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

    /// Returns the cost of several rounds: the least time at each point, since
    /// other work on the machine only ever adds to it.
    fn of_rounds(rounds: &[&Cost]) -> Cost {
        let first = rounds[0];
        if !is_time(&first.unit) {
            return first.clone();
        }
        let least = |at: usize| {
            let values = rounds.iter().map(|cost| cost.points[at].value);
            Point { size: first.points[at].size, value: values.fold(f64::INFINITY, f64::min) }
        };
        let points = (0..first.points.len()).map(least).collect();
        let sizes = (first.deployment_size, first.whole_size);
        let values: Vec<f64> = rounds.iter().map(|cost| cost.at_deployment).collect();
        Cost {
            round_spread: spread(&values),
            ..Cost::new(&first.name, &first.against, &first.unit, sizes, points)
        }
    }

    /// Returns how far beyond the largest measured size a size lies; 1 when it
    /// was within what was measured.
    pub(crate) fn reach(&self, size: f64) -> f64 {
        let largest = self.points.iter().map(|point| point.size).fold(0.0, f64::max);
        (size / largest).max(1.0)
    }
}

/// One figure that isn't a line: an event, a total or a verdict.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Figure {
    /// Name by which the page refers to it.
    pub(crate) name: String,
    /// Unit of the value.
    pub(crate) unit: String,
    /// The value.
    pub(crate) value: f64,
    /// Largest value that fits, if there is a budget.
    pub(crate) budget: Option<f64>,
}

impl Figure {
    /// Returns a figure without a budget.
    pub(crate) fn new(name: &str, unit: &str, value: f64) -> Figure {
        Figure { name: name.to_owned(), unit: unit.to_owned(), value, budget: None }
    }

    /// Returns the figure with a budget to be held.
    pub(crate) fn within(self, budget: f64) -> Figure {
        Figure { budget: Some(budget), ..self }
    }

    /// Returns the figure of several rounds; times as for costs.
    fn of_rounds(rounds: &[&Figure]) -> Figure {
        if !is_time(&rounds[0].unit) {
            return rounds[0].clone();
        }
        let least = rounds.iter().map(|figure| figure.value).fold(f64::INFINITY, f64::min);
        Figure { value: least, ..rounds[0].clone() }
    }

    fn verdict(&self) -> String {
        match self.budget {
            None => String::new(),
            Some(budget) if self.value <= budget => format!("fits {}", short(budget)),
            Some(budget) => format!("OVER {} by {:.2}x", short(budget), self.value / budget),
        }
    }
}

/// All that a run measured.
#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct Report {
    /// Costs with their lines.
    pub(crate) costs: Vec<Cost>,
    /// Other figures.
    pub(crate) figures: Vec<Figure>,
}

impl Report {
    /// Returns the report of several rounds that measured the same.
    pub(crate) fn of_rounds(rounds: &[Report]) -> Report {
        let costs = |at: usize| rounds.iter().map(|round| &round.costs[at]).collect::<Vec<_>>();
        let figures = |at: usize| rounds.iter().map(|round| &round.figures[at]).collect::<Vec<_>>();
        Report {
            costs: (0..rounds[0].costs.len()).map(|at| Cost::of_rounds(&costs(at))).collect(),
            figures: (0..rounds[0].figures.len())
                .map(|at| Figure::of_rounds(&figures(at)))
                .collect(),
        }
    }

    /// Adds what another report has.
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
        self.costs.iter().find(|cost| cost.name == name).expect("a sum names measured costs only")
    }

    /// Returns a figure's value by name.
    ///
    /// # Panics
    ///
    /// Panics if the run did not measure it.
    pub(crate) fn figure(&self, name: &str) -> f64 {
        let figure = self.figures.iter().find(|figure| figure.name == name);
        figure.expect("a sum names measured figures only").value
    }

    /// Prints the report for people.
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
                short(cost.fit.intercept),
                short(cost.fit.slope),
                cost.fit.r_squared,
                cost.fit.worst_residual * 100.0,
                short(cost.at_deployment),
                short(cost.at_whole),
                cost.reach(cost.whole_size),
                cost.round_spread * 100.0,
                cost.unit,
            );
        }
        println!();
        for figure in &self.figures {
            println!(
                "{:<52} {:>12} {:<8} {}",
                figure.name,
                short(figure.value),
                figure.unit,
                figure.verdict()
            );
        }
    }
}

fn is_time(unit: &str) -> bool {
    unit == "us" || unit == "us/s"
}

fn spread(values: &[f64]) -> f64 {
    let least = values.iter().copied().fold(f64::INFINITY, f64::min);
    let most = values.iter().copied().fold(f64::NEG_INFINITY, f64::max);
    if least == 0.0 { 0.0 } else { (most - least) / least.abs() }
}

/// Formats a number with four significant digits.
fn short(value: f64) -> String {
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
