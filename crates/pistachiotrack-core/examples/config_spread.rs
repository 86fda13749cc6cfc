//! Measures the spread of a configuration: time until a change is in force on
//! every VM of a lossy fleet, and the bytes and the time that a change costs.
//!
//! Run with `cargo run --release -p pistachiotrack-core --example config_spread`.

#[path = "../tests/config_support/mod.rs"]
mod config_support;

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use config_support::{DESIGN, Sizes, TODAY, config, fleet::Fleet, json, name};
use pistachiotrack_core::{
    config::{Config, ContentSummary, Delta, IndexedConfig, MAX_VALUE_BYTES},
    config_sync::ConfigSyncSettings,
    rule::RuleSet,
};

const VMS: u32 = 48;
const CHANGES: u64 = 200;
const LIMIT: Duration = Duration::from_secs(120);

/// About the largest mix that fits in the platform's value.
const LARGEST: Sizes =
    Sizes { data_centres: 17, services: 60, endpoints: 1_400, customers: 2_100, rules: 2_100 };

/// As many rules as operators' routes of 133 bytes give that fill the platform's value, in
/// front of the largest of today's fleets of endpoints.
const ROUTES: Sizes =
    Sizes { data_centres: 4, services: 3, endpoints: 247, customers: 12, rules: 7_900 };

fn main() {
    println!("spread over {VMS} VMs in 3 data centres, {CHANGES} changes, reports each 500 ms");
    println!(
        "loss p50_ms p99_ms max_ms missed pulls_per_vm_and_change pulled_bytes_per_vm_and_change"
    );
    for loss in [0.0, 0.2, 0.4] {
        spread(loss);
    }
    println!("\nsizes json_bytes whole_bytes fits");
    for (label, sizes) in
        [("today", TODAY), ("largest", LARGEST), ("routes", ROUTES), ("design", DESIGN)]
    {
        whole(label, sizes);
    }
    println!("\nsizes change delta_bytes make_us apply_us check_us");
    for (label, sizes) in
        [("today", TODAY), ("largest", LARGEST), ("routes", ROUTES), ("design", DESIGN)]
    {
        changes(label, sizes);
    }
}

fn spread(loss: f64) {
    let mut fleet = Fleet::new(VMS, 3, ConfigSyncSettings::default(), 21);
    let mut config = config(1, TODAY);
    fleet.publish(&config);
    fleet.run_until(LIMIT, |fleet| fleet.all_hold(1)).expect("a first version");
    fleet.loss = loss;
    let (pulls, bytes) = totals(&fleet);
    let mut times_ms = Vec::new();
    let mut missed = 0;
    for version in 2..2 + CHANGES {
        config.version = version;
        config.services[version as usize % 3].endpoints[0].slots = 1 + version as u32 % 7;
        fleet.publish(&config);
        match fleet.run_until(LIMIT, |fleet| fleet.all_hold(version)) {
            Some(time) => times_ms.push(time.as_millis()),
            None => missed += 1,
        }
        fleet.run(Duration::from_millis(version % 10 * 50));
    }
    times_ms.sort_unstable();
    let at = |percent: usize| times_ms[(times_ms.len() - 1) * percent / 100];
    let (pulls_after, bytes_after) = totals(&fleet);
    let each = |total: u64| total as f64 / (CHANGES * u64::from(VMS)) as f64;
    let (pulls, bytes) = (each(pulls_after - pulls), each(bytes_after - bytes));
    println!("{loss} {} {} {} {missed} {pulls:.2} {bytes:.0}", at(50), at(99), at(100));
}

fn totals(fleet: &Fleet) -> (u64, u64) {
    let pulls = fleet.nodes.iter().map(|node| node.pulls).sum();
    let bytes = fleet.nodes.iter().map(|node| node.pulled_bytes).sum();
    (pulls, bytes)
}

fn whole(label: &str, sizes: Sizes) {
    let config = config(1, sizes);
    let json_bytes = json(&config).len();
    let content = ContentSummary::of(&config).expect("an encoding");
    println!("{label} {json_bytes} {} {}", content.encoded_bytes, json_bytes <= MAX_VALUE_BYTES);
}

type Edit = fn(&mut Config);

fn changes(label: &str, sizes: Sizes) {
    let base = Arc::new(config(1, sizes));
    let base_content = ContentSummary::of(&base).expect("an encoding");
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
        let content = ContentSummary::of(&new).expect("an encoding");

        let begin = Instant::now();
        let delta = Delta::between(&base, base_content.hash, &new, content.hash);
        let make_us = begin.elapsed().as_micros();
        let bytes = postcard::to_stdvec(&delta).expect("an encoding");

        let begin = Instant::now();
        let delta = postcard::from_bytes(&bytes).expect("a delta");
        let (result, _) =
            Delta::apply_all(vec![delta], &base, base_content.hash).expect("a result");
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
