//! What the experiment reports.

use serde::Serialize;

use super::{
    simulation::{BuyerCounts, Counts},
    workload::{BUYERS, Buyer, ENDPOINTS, SLOTS},
};

/// What one customer got, in slots.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Share {
    customer: &'static str,
    bought_slots: u32,
    asked_slots: f64,
    /// Slots whose work was answered in time.
    got_slots: f64,
    /// What it got relative to the lesser of asked and bought; none without
    /// a contract.
    of_due: Option<f64>,
}

/// One balancer at one load.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Row {
    balancer: String,
    load: f64,
    /// Work answered in time relative to the capacity.
    goodput: f64,
    /// The same relative to the lesser of load and capacity.
    goodput_of_possible: f64,
    shares: Vec<Share>,
    /// Dispatches over an endpoint's slots, relative to all.
    overshoot: f64,
    /// Requests refused as not run relative to all.
    refused: f64,
    /// Requests refused with an unknown outcome relative to all.
    unknown: f64,
    /// Answers after the deadline relative to all requests.
    late: f64,
    /// Retries and hedges relative to dispatches.
    again: f64,
    /// Sheds relative to dispatches.
    shed: f64,
    interactive_p50_ms: f64,
    interactive_p99_ms: f64,
}

impl Row {
    pub(super) fn new(balancer: &str, load: f64, counts: &Counts) -> Row {
        let counted_us = counts.counted.as_micros() as f64;
        let capacity_slots = f64::from(ENDPOINTS) * f64::from(SLOTS);
        let good_us: f64 = counts.buyers.iter().map(|buyer| buyer.good_work_us).sum();
        let asked: u64 = counts.buyers.iter().map(|buyer| buyer.asked).sum();
        let goodput = good_us / (counted_us * capacity_slots);
        let shares = BUYERS
            .iter()
            .zip(&counts.buyers)
            .map(|(buyer, counts)| Share::new(buyer, counts, counted_us))
            .collect();
        let percentile_ms =
            |quantile| counts.interactive_us.value_at_quantile(quantile) as f64 / 1_000.0;
        Row {
            balancer: balancer.to_owned(),
            load,
            goodput,
            goodput_of_possible: goodput / load.min(1.0),
            shares,
            overshoot: ratio(counts.overshot, counts.dispatched),
            refused: ratio(counts.refused, asked),
            unknown: ratio(counts.unknown, asked),
            late: ratio(counts.late, asked),
            again: ratio(counts.again, counts.dispatched),
            shed: ratio(counts.shed, counts.dispatched),
            interactive_p50_ms: percentile_ms(0.5),
            interactive_p99_ms: percentile_ms(0.99),
        }
    }
}

impl Share {
    fn new(buyer: &Buyer, counts: &BuyerCounts, counted_us: f64) -> Share {
        let asked_slots = counts.asked_work_us / counted_us;
        let got_slots = counts.good_work_us / counted_us;
        let due = asked_slots.min(f64::from(buyer.slots));
        Share {
            customer: buyer.name,
            bought_slots: buyer.slots,
            asked_slots,
            got_slots,
            of_due: (due > 0.0).then(|| got_slots / due),
        }
    }
}

fn ratio(part: u64, whole: u64) -> f64 {
    part as f64 / whole.max(1) as f64
}

/// Prints the rows as a table.
pub(super) fn print_table(seed: u64, rows: &[Row]) {
    println!("experiment=overload seed={seed} endpoints={ENDPOINTS} slots={SLOTS}");
    print!("{:>5} {:<11} {:>8} {:>9}", "load", "balancer", "goodput", "possible");
    for buyer in BUYERS {
        print!(" {:>8}", format!("{}/{}", buyer.name, buyer.slots));
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
        for share in &row.shares {
            let text = share.of_due.map_or_else(
                || format!("{:.1}", share.got_slots),
                |of_due| format!("{:.1}%", of_due * 100.0),
            );
            print!(" {text:>8}");
        }
        println!(
            " {:>8.2}% {:>7.1}% {:>7.1}% {:>6.1}% {:>6.2}% {:>6.2}% {:>7.0} {:>7.0}",
            row.overshoot * 100.0,
            row.refused * 100.0,
            row.unknown * 100.0,
            row.late * 100.0,
            row.again * 100.0,
            row.shed * 100.0,
            row.interactive_p50_ms,
            row.interactive_p99_ms
        );
    }
    println!("customers: slots answered in time of the lesser of asked and bought; without");
    println!("a contract in slots. possible: goodput of the lesser of load and capacity.");
}
