//! The report of the experiment.

use serde::Serialize;

use super::{
    simulation::{Counts, CustomerCounts},
    workload::{CUSTOMERS, ENDPOINTS, SLOTS, SimCustomer},
};

/// Load and completed work of one customer, in slots.
#[derive(Clone, Debug, Serialize)]
pub(super) struct CustomerResult {
    customer: &'static str,
    #[serde(rename = "bought_slots")]
    contracted_slots: u32,
    #[serde(rename = "asked_slots")]
    offered_slots: f64,
    /// Work answered before its deadline.
    #[serde(rename = "got_slots")]
    timely_slots: f64,
    /// `timely_slots` relative to the lesser of `offered_slots` and `contracted_slots`; `None`
    /// without a contract.
    #[serde(rename = "of_due")]
    entitlement_ratio: Option<f64>,
}

/// One balancer at one load.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Row {
    balancer: String,
    load: f64,
    /// Work answered before its deadline, relative to the capacity.
    goodput: f64,
    /// The same work relative to the lesser of load and capacity.
    goodput_of_possible: f64,
    #[serde(rename = "shares")]
    customers: Vec<CustomerResult>,
    /// Dispatches to endpoints without a free slot, relative to all dispatches.
    overshoot: f64,
    /// Requests refused as not run, relative to all requests.
    refused: f64,
    /// Requests refused with an unknown outcome, relative to all requests.
    unknown: f64,
    /// Answers after the deadline relative to all requests.
    late: f64,
    /// Retries and hedges relative to dispatches.
    #[serde(rename = "again")]
    repeated: f64,
    /// Sheds relative to dispatches.
    shed: f64,
    interactive_p50_ms: f64,
    interactive_p99_ms: f64,
}

impl Row {
    pub(super) fn new(balancer: &str, load: f64, counts: &Counts) -> Row {
        let measured_us = counts.measured_time.as_micros() as f64;
        let capacity_slots = f64::from(ENDPOINTS) * f64::from(SLOTS);
        let timely_us: f64 = counts.customers.iter().map(|customer| customer.timely_work_us).sum();
        let offered: u64 = counts.customers.iter().map(|customer| customer.offered).sum();
        let goodput = timely_us / (measured_us * capacity_slots);
        let customers = CUSTOMERS
            .iter()
            .zip(&counts.customers)
            .map(|(customer, counts)| CustomerResult::new(customer, counts, measured_us))
            .collect();
        let percentile_ms =
            |quantile| counts.interactive_us.value_at_quantile(quantile) as f64 / 1_000.0;
        Row {
            balancer: balancer.to_owned(),
            load,
            goodput,
            goodput_of_possible: goodput / load.min(1.0),
            customers,
            overshoot: ratio(counts.dispatches_over_slots, counts.dispatched),
            refused: ratio(counts.refused, offered),
            unknown: ratio(counts.unknown, offered),
            late: ratio(counts.late, offered),
            repeated: ratio(counts.repeated_dispatches, counts.dispatched),
            shed: ratio(counts.shed, counts.dispatched),
            interactive_p50_ms: percentile_ms(0.5),
            interactive_p99_ms: percentile_ms(0.99),
        }
    }
}

impl CustomerResult {
    fn new(customer: &SimCustomer, counts: &CustomerCounts, measured_us: f64) -> CustomerResult {
        let offered_slots = counts.offered_work_us / measured_us;
        let timely_slots = counts.timely_work_us / measured_us;
        let entitled_slots = offered_slots.min(f64::from(customer.slots));
        CustomerResult {
            customer: customer.name,
            contracted_slots: customer.slots,
            offered_slots,
            timely_slots,
            entitlement_ratio: (entitled_slots > 0.0).then(|| timely_slots / entitled_slots),
        }
    }
}

fn ratio(count: u64, total: u64) -> f64 {
    count as f64 / total.max(1) as f64
}

/// Prints the rows as a table.
pub(super) fn print_table(seed: u64, rows: &[Row]) {
    println!("experiment=overload seed={seed} endpoints={ENDPOINTS} slots={SLOTS}");
    print!("{:>5} {:<11} {:>8} {:>9}", "load", "balancer", "goodput", "possible");
    for customer in CUSTOMERS {
        print!(" {:>8}", format!("{}/{}", customer.name, customer.slots));
    }
    println!(
        " {:>9} {:>8} {:>8} {:>7} {:>7} {:>7} {:>7} {:>7}",
        "overshoot", "refused", "unknown", "late", "again", "shed", "p50 ms", "p99 ms"
    );
    for row in rows {
        print!(
            "{:>4.1}x {:<11} {:>7.1}% {:>8.1}%",
            row.load,
            row.balancer,
            row.goodput * 100.0,
            row.goodput_of_possible * 100.0
        );
        for result in &row.customers {
            let text = result.entitlement_ratio.map_or_else(
                || format!("{:.1}", result.timely_slots),
                |ratio| format!("{:.1}%", ratio * 100.0),
            );
            print!(" {text:>8}");
        }
        println!(
            " {:>8.2}% {:>7.1}% {:>7.1}% {:>6.1}% {:>6.2}% {:>6.2}% {:>7.0} {:>7.0}",
            row.overshoot * 100.0,
            row.refused * 100.0,
            row.unknown * 100.0,
            row.late * 100.0,
            row.repeated * 100.0,
            row.shed * 100.0,
            row.interactive_p50_ms,
            row.interactive_p99_ms
        );
    }
    println!("customers: slots answered in time relative to the lesser of offered and contracted;");
    println!(
        "without a contract in slots. possible: goodput relative to the lesser of load and capacity."
    );
}
