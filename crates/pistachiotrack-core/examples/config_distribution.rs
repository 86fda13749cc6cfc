//! Measures the distribution of a configuration: the time until a change is active on
//! every VM of a fleet with message loss, and the bytes and time that a change costs.
//!
//! Run with `cargo run --release -p pistachiotrack-core --example config_distribution`.

#[path = "../tests/config_support/mod.rs"]
mod config_support;

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use config_support::{CURRENT_SIZES, Sizes, TARGET_SIZES, config, fleet::Fleet, json, name};
use pistachiotrack_core::{
    config::{Config, ContentSummary, Delta, IndexedConfig, MAX_VALUE_BYTES},
    config_sync::ConfigSyncSettings,
    rule::RuleSet,
};

const VMS: u32 = 48;
const CHANGES: u64 = 200;
const LIMIT: Duration = Duration::from_secs(120);

/// Approximately the largest mix that fits in a value of the platform.
const LARGEST_MIX: Sizes =
    Sizes { data_centres: 17, services: 60, endpoints: 1_400, customers: 2_100, rules: 2_100 };

/// As many rules as there are operators' routes of 133 bytes in a full platform value, in
/// front of the largest number of endpoints in any current deployment.
const FULL_OF_ROUTES: Sizes =
    Sizes { data_centres: 4, services: 3, endpoints: 247, customers: 12, rules: 7_900 };

fn main() {
    println!("distribution to {VMS} VMs in 3 data centres, {CHANGES} changes, reports each 500 ms");
    println!(
        "loss p50_ms p99_ms max_ms missed pulls_per_vm_and_change pulled_bytes_per_vm_and_change"
    );
    for loss in [0.0, 0.2, 0.4] {
        measure_distribution(loss);
    }
    println!("\nsizes json_bytes whole_bytes fits");
    for (label, sizes) in [
        ("today", CURRENT_SIZES),
        ("largest", LARGEST_MIX),
        ("routes", FULL_OF_ROUTES),
        ("design", TARGET_SIZES),
    ] {
        measure_sizes(label, sizes);
    }
    println!("\nsizes change delta_bytes make_us apply_us check_us");
    for (label, sizes) in [
        ("today", CURRENT_SIZES),
        ("largest", LARGEST_MIX),
        ("routes", FULL_OF_ROUTES),
        ("design", TARGET_SIZES),
    ] {
        measure_changes(label, sizes);
    }
}

fn measure_distribution(loss: f64) {
    let mut fleet = Fleet::new(VMS, 3, ConfigSyncSettings::default(), 21);
    let mut config = config(1, CURRENT_SIZES);
    fleet.publish(&config);
    fleet.run_until(LIMIT, |fleet| fleet.all_have(1)).expect("a first version");
    fleet.loss_rate = loss;
    let (pulls, bytes) = totals(&fleet);
    let mut times_ms = Vec::new();
    let mut missed = 0;
    for version in 2..2 + CHANGES {
        config.version = version;
        config.services[version as usize % 3].endpoints[0].slots = 1 + version as u32 % 7;
        fleet.publish(&config);
        match fleet.run_until(LIMIT, |fleet| fleet.all_have(version)) {
            Some(time) => times_ms.push(time.as_millis()),
            None => missed += 1,
        }
        fleet.run(Duration::from_millis(version % 10 * 50));
    }
    times_ms.sort_unstable();
    let percentile = |percent: usize| times_ms[(times_ms.len() - 1) * percent / 100];
    let (pulls_after, bytes_after) = totals(&fleet);
    let per_vm_and_change = |total: u64| total as f64 / (CHANGES * u64::from(VMS)) as f64;
    let (pulls, bytes) =
        (per_vm_and_change(pulls_after - pulls), per_vm_and_change(bytes_after - bytes));
    println!(
        "{loss} {} {} {} {missed} {pulls:.2} {bytes:.0}",
        percentile(50),
        percentile(99),
        percentile(100)
    );
}

fn totals(fleet: &Fleet) -> (u64, u64) {
    let pulls = fleet.nodes.iter().map(|node| node.pulls).sum();
    let bytes = fleet.nodes.iter().map(|node| node.pulled_bytes).sum();
    (pulls, bytes)
}

fn measure_sizes(label: &str, sizes: Sizes) {
    let config = config(1, sizes);
    let json_bytes = json(&config).len();
    let summary = ContentSummary::of(&config).expect("an encoding");
    println!("{label} {json_bytes} {} {}", summary.encoded_bytes, json_bytes <= MAX_VALUE_BYTES);
}

type Edit = fn(&mut Config);

fn measure_changes(label: &str, sizes: Sizes) {
    let base = Arc::new(config(1, sizes));
    let base_summary = ContentSummary::of(&base).expect("an encoding");
    let edits: [(&str, Edit); 4] = [
        ("endpoint_leaving", |new| new.services[1].endpoints[1].leaving = true),
        ("rule_added", |new| {
            let middle = new.rules.len() / 2;
            let mut rule = new.rules[middle].clone();
            rule.name = name("added", 1);
            new.rules.insert(middle, rule);
        }),
        ("contract_changed", |new| new.customers[1].contracts[0].slots += 1),
        ("customer_added", |new| {
            let mut customer = new.customers[5].clone();
            customer.name = name("added", 2);
            new.customers.insert(5, customer);
        }),
    ];
    for (change, edit) in edits {
        let mut new = Config::clone(&base);
        new.version += 1;
        edit(&mut new);
        let summary = ContentSummary::of(&new).expect("an encoding");

        let begin = Instant::now();
        let delta = Delta::between(&base, base_summary.hash, &new, summary.hash);
        let make_us = begin.elapsed().as_micros();
        let bytes = postcard::to_stdvec(&delta).expect("an encoding");

        let begin = Instant::now();
        let delta = postcard::from_bytes(&bytes).expect("a delta");
        let (result, _) =
            Delta::apply_all(vec![delta], &base, base_summary.hash).expect("a result");
        let apply_us = begin.elapsed().as_micros();
        assert_eq!(result, new);

        let begin = Instant::now();
        let problems = result.check("measurement");
        let check_us = begin.elapsed().as_micros();
        assert!(problems.is_empty(), "{:?}", problems[0]);
        println!("{label} {change} {} {make_us} {apply_us} {check_us}", bytes.len());
    }
    let begin = Instant::now();
    let rules = RuleSet::of_config(Arc::clone(&base));
    let rules_us = begin.elapsed().as_micros();
    let begin = Instant::now();
    let indexed = IndexedConfig::new(Arc::clone(&base));
    let index_us = begin.elapsed().as_micros();
    let begin = Instant::now();
    let found = base.customers.iter().filter(|it| indexed.customer(&it.name).is_some()).count();
    let look_up_ns = begin.elapsed().as_nanos() / found.max(1) as u128;
    println!("{label} rule_index_us={rules_us} name_index_us={index_us} look_up_ns={look_up_ns}");
    assert_eq!(rules.rules().len(), base.rules.len());
}
