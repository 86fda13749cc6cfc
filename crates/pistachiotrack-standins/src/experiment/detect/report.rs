//! The report of the detection experiment.

use std::time::Duration;

use serde_json::{Value, json};

use super::{
    Customer, Method, Plan,
    environment::Fault,
    jobs::{DETECTION_LIMIT, RunResult},
};

/// Prints the results as a table or as JSON.
///
/// # Errors
///
/// Returns an error if the JSON can't be written.
pub(super) fn print(plan: &Plan, results: &[RunResult], json: bool) -> anyhow::Result<()> {
    let mut summaries = Vec::new();
    for (index, customer) in plan.customers.iter().enumerate() {
        for &method in &plan.methods {
            let selected: Vec<&RunResult> = results
                .iter()
                .filter(|result| result.customer == index && result.method == method)
                .collect();
            if json {
                summaries.push(summary(customer, method, &plan.seeds, &selected));
            } else {
                print_table(customer, method, &plan.seeds, &selected);
            }
        }
    }
    if json {
        println!("{}", serde_json::to_string_pretty(&summaries)?);
    }
    Ok(())
}

fn print_table(customer: &Customer, method: Method, seeds: &[u64], results: &[&RunResult]) {
    let (name, sensitivity) = (customer.name, customer.sensitivity);
    println!("\n{name} sensitivity={sensitivity} method={}", method.as_str());
    println!(
        "{:<20}{:>10}{:>10}{:>8}{:>9}{:>10}",
        "fault", "median_ms", "p99_ms", "missed", "runs", "false"
    );
    for (label, fault) in Fault::EJECTABLE {
        let selected = results_of_fault(results, fault);
        let times = detection_times(&selected);
        println!(
            "{label:<20}{:>10}{:>10}{:>8}{:>9}{:>10.2}",
            quantile(&times, 0.5).as_millis(),
            quantile(&times, 0.99).as_millis(),
            count_missed(&selected),
            selected.len(),
            false_ejections(&selected),
        );
    }
    for (label, fault) in Fault::NOT_EJECTABLE {
        let selected = results_of_fault(results, fault);
        println!("{label:<20}{:>37}{:>10.2}", selected.len(), false_ejections(&selected));
    }
    let (median, low, high) = range_over_seeds(seeds, results, median_detection_ms);
    println!("detection of all faults: median_ms={median:.0} seeds={low:.0}..{high:.0}");
    let (median, low, high) = range_over_seeds(seeds, results, false_ejections_per_hour);
    println!("false ejections per hour: median={median:.2} seeds={low:.2}..{high:.2}");
    println!(
        "probe share: background={:.6} faults={:.6}; background failed share={:.5}",
        mean(results, true, |result| result.probe_share),
        mean(results, false, |result| result.probe_share),
        mean(results, true, |result| result.failed_share),
    );
}

fn summary(customer: &Customer, method: Method, seeds: &[u64], results: &[&RunResult]) -> Value {
    let faults: Vec<Value> = Fault::EJECTABLE
        .into_iter()
        .chain(Fault::NOT_EJECTABLE)
        .map(|(label, fault)| {
            let selected = results_of_fault(results, fault);
            let times = detection_times(&selected);
            json!({
                "fault": label,
                "runs": selected.len(),
                "median_ms": quantile(&times, 0.5).as_millis() as u64,
                "p99_ms": quantile(&times, 0.99).as_millis() as u64,
                "missed": count_missed(&selected),
                "false_ejections": false_ejections(&selected),
            })
        })
        .collect();
    let detection = range_over_seeds(seeds, results, median_detection_ms);
    let false_ejection_rate = range_over_seeds(seeds, results, false_ejections_per_hour);
    json!({
        "customer": customer.name,
        "sensitivity": customer.sensitivity,
        "method": method.as_str(),
        "faults": faults,
        "detection_median_ms": detection.0,
        "detection_median_ms_seeds": [detection.1, detection.2],
        "false_ejections_per_hour": false_ejection_rate.0,
        "false_ejections_per_hour_seeds": [false_ejection_rate.1, false_ejection_rate.2],
        "probe_share_background": mean(results, true, |result| result.probe_share),
        "probe_share_faults": mean(results, false, |result| result.probe_share),
        "failed_share_background": mean(results, true, |result| result.failed_share),
    })
}

fn results_of_fault<'a>(results: &[&'a RunResult], fault: Fault) -> Vec<&'a RunResult> {
    results.iter().filter(|result| result.fault == fault).copied().collect()
}

/// Returns the detection times in ascending order; a missed fault counts as `DETECTION_LIMIT`.
fn detection_times(results: &[&RunResult]) -> Vec<Duration> {
    let mut times: Vec<Duration> =
        results.iter().map(|result| result.detected_after.unwrap_or(DETECTION_LIMIT)).collect();
    times.sort_unstable();
    times
}

fn count_missed(results: &[&RunResult]) -> usize {
    results.iter().filter(|result| result.detected_after.is_none()).count()
}

fn false_ejections(results: &[&RunResult]) -> f64 {
    results.iter().map(|result| result.false_ejections).sum()
}

fn quantile(sorted: &[Duration], quantile: f64) -> Duration {
    if sorted.is_empty() {
        return Duration::ZERO;
    }
    sorted[((sorted.len() - 1) as f64 * quantile).round() as usize]
}

fn median_detection_ms(results: &[&RunResult]) -> f64 {
    let ejectable: Vec<&RunResult> = results
        .iter()
        .filter(|result| Fault::EJECTABLE.iter().any(|(_, fault)| *fault == result.fault))
        .copied()
        .collect();
    quantile(&detection_times(&ejectable), 0.5).as_secs_f64() * 1_000.0
}

/// Returns the false ejections per hour of a customer's mean service.
fn false_ejections_per_hour(results: &[&RunResult]) -> f64 {
    let background = results_of_fault(results, Fault::None);
    let hours: f64 = background.iter().map(|result| result.hours).sum();
    false_ejections(&background) / hours.max(f64::MIN_POSITIVE)
}

/// Returns the median, minimum and maximum of a figure over the seeds.
fn range_over_seeds(
    seeds: &[u64],
    results: &[&RunResult],
    figure: fn(&[&RunResult]) -> f64,
) -> (f64, f64, f64) {
    let mut figures: Vec<f64> = seeds
        .iter()
        .map(|seed| {
            let selected: Vec<&RunResult> =
                results.iter().filter(|result| result.seed == *seed).copied().collect();
            figure(&selected)
        })
        .collect();
    figures.sort_unstable_by(f64::total_cmp);
    let last = figures.len().saturating_sub(1);
    match figures.get(last / 2) {
        Some(&median) => (median, figures[0], figures[last]),
        None => (0.0, 0.0, 0.0),
    }
}

fn mean(results: &[&RunResult], is_background: bool, figure: fn(&RunResult) -> f64) -> f64 {
    let figures: Vec<f64> = results
        .iter()
        .filter(|result| (result.fault == Fault::None) == is_background)
        .map(|result| figure(result))
        .collect();
    figures.iter().sum::<f64>() / figures.len().max(1) as f64
}
