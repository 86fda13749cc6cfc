//! The tables of the detection experiment.

use std::time::Duration;

use serde_json::{Value, json};

use super::{
    Customer, Method, Plan,
    jobs::{Finding, MISSED_AFTER},
    world::Fault,
};

/// Prints the results as a table or as JSON.
///
/// # Errors
///
/// Returns an error if the JSON can't be written.
pub(super) fn print(plan: &Plan, findings: &[Finding], json: bool) -> anyhow::Result<()> {
    let mut all = Vec::new();
    for (index, customer) in plan.customers.iter().enumerate() {
        for &method in &plan.methods {
            let own: Vec<&Finding> = findings
                .iter()
                .filter(|finding| finding.customer == index && finding.method == method)
                .collect();
            if json {
                all.push(summary(customer, method, &plan.seeds, &own));
            } else {
                print_table(customer, method, &plan.seeds, &own);
            }
        }
    }
    if json {
        println!("{}", serde_json::to_string_pretty(&all)?);
    }
    Ok(())
}

fn print_table(customer: &Customer, method: Method, seeds: &[u64], findings: &[&Finding]) {
    let (name, sensitivity) = (customer.name, customer.sensitivity);
    println!("\n{name} sensitivity={sensitivity} method={}", method.as_str());
    println!(
        "{:<20}{:>10}{:>10}{:>8}{:>9}{:>10}",
        "fault", "median_ms", "p99_ms", "missed", "runs", "false"
    );
    for (label, fault) in Fault::SICK {
        let own = of_fault(findings, fault);
        let times = detection_times(&own);
        println!(
            "{label:<20}{:>10}{:>10}{:>8}{:>9}{:>10.2}",
            quantile(&times, 0.5).as_millis(),
            quantile(&times, 0.99).as_millis(),
            missed(&own),
            own.len(),
            false_ejections(&own),
        );
    }
    for (label, fault) in Fault::NOT_SICK {
        let own = of_fault(findings, fault);
        println!("{label:<20}{:>37}{:>10.2}", own.len(), false_ejections(&own));
    }
    let (median, low, high) = over_seeds(seeds, findings, median_all);
    println!("detection of all faults: median_ms={median:.0} seeds={low:.0}..{high:.0}");
    let (median, low, high) = over_seeds(seeds, findings, false_per_hour);
    println!("false ejections per hour: median={median:.2} seeds={low:.2}..{high:.2}");
    println!(
        "probe share: background={:.6} faults={:.6}; background failed share={:.5}",
        mean(findings, true, |finding| finding.probe_share),
        mean(findings, false, |finding| finding.probe_share),
        mean(findings, true, |finding| finding.failed_share),
    );
}

fn summary(customer: &Customer, method: Method, seeds: &[u64], findings: &[&Finding]) -> Value {
    let faults: Vec<Value> = Fault::SICK
        .into_iter()
        .chain(Fault::NOT_SICK)
        .map(|(label, fault)| {
            let own = of_fault(findings, fault);
            let times = detection_times(&own);
            json!({
                "fault": label,
                "runs": own.len(),
                "median_ms": quantile(&times, 0.5).as_millis() as u64,
                "p99_ms": quantile(&times, 0.99).as_millis() as u64,
                "missed": missed(&own),
                "false_ejections": false_ejections(&own),
            })
        })
        .collect();
    let detection = over_seeds(seeds, findings, median_all);
    let false_alarms = over_seeds(seeds, findings, false_per_hour);
    json!({
        "customer": customer.name,
        "sensitivity": customer.sensitivity,
        "method": method.as_str(),
        "faults": faults,
        "detection_median_ms": detection.0,
        "detection_median_ms_seeds": [detection.1, detection.2],
        "false_ejections_per_hour": false_alarms.0,
        "false_ejections_per_hour_seeds": [false_alarms.1, false_alarms.2],
        "probe_share_background": mean(findings, true, |finding| finding.probe_share),
        "probe_share_faults": mean(findings, false, |finding| finding.probe_share),
        "failed_share_background": mean(findings, true, |finding| finding.failed_share),
    })
}

fn of_fault<'a>(findings: &[&'a Finding], fault: Fault) -> Vec<&'a Finding> {
    findings.iter().filter(|finding| finding.fault == fault).copied().collect()
}

/// Returns the detection times in order; a missed fault counts with the time
/// that was waited for it.
fn detection_times(findings: &[&Finding]) -> Vec<Duration> {
    let mut times: Vec<Duration> =
        findings.iter().map(|finding| finding.detected_after.unwrap_or(MISSED_AFTER)).collect();
    times.sort_unstable();
    times
}

fn missed(findings: &[&Finding]) -> usize {
    findings.iter().filter(|finding| finding.detected_after.is_none()).count()
}

fn false_ejections(findings: &[&Finding]) -> f64 {
    findings.iter().map(|finding| finding.false_ejections).sum()
}

fn quantile(sorted: &[Duration], quantile: f64) -> Duration {
    if sorted.is_empty() {
        return Duration::ZERO;
    }
    sorted[((sorted.len() - 1) as f64 * quantile).round() as usize]
}

fn median_all(findings: &[&Finding]) -> f64 {
    let sick: Vec<&Finding> = findings
        .iter()
        .filter(|finding| Fault::SICK.iter().any(|(_, fault)| *fault == finding.fault))
        .copied()
        .collect();
    quantile(&detection_times(&sick), 0.5).as_secs_f64() * 1_000.0
}

/// Returns the false ejections per hour of a customer's mean service.
fn false_per_hour(findings: &[&Finding]) -> f64 {
    let background = of_fault(findings, Fault::None);
    let hours: f64 = background.iter().map(|finding| finding.hours).sum();
    false_ejections(&background) / hours.max(f64::MIN_POSITIVE)
}

/// Returns median, least and greatest of a figure over the seeds.
fn over_seeds(
    seeds: &[u64],
    findings: &[&Finding],
    figure: fn(&[&Finding]) -> f64,
) -> (f64, f64, f64) {
    let mut figures: Vec<f64> = seeds
        .iter()
        .map(|seed| {
            let own: Vec<&Finding> =
                findings.iter().filter(|finding| finding.seed == *seed).copied().collect();
            figure(&own)
        })
        .collect();
    figures.sort_unstable_by(f64::total_cmp);
    let last = figures.len().saturating_sub(1);
    match figures.get(last / 2) {
        Some(&median) => (median, figures[0], figures[last]),
        None => (0.0, 0.0, 0.0),
    }
}

fn mean(findings: &[&Finding], background: bool, figure: fn(&Finding) -> f64) -> f64 {
    let figures: Vec<f64> = findings
        .iter()
        .filter(|finding| (finding.fault == Fault::None) == background)
        .map(|finding| figure(finding))
        .collect();
    figures.iter().sum::<f64>() / figures.len().max(1) as f64
}
