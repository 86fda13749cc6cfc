//! Costs of taking a configuration: the platform's value, the check, the
//! indexes, and a peer's delta.

use std::{io::Write, sync::Arc};

use flate2::{Compression, write::GzEncoder};
use pistachiotrack_core::{
    config::{Config, IndexedConfig, MAX_VALUE_BYTES},
    config_sync::{ConfigAction, ConfigSync},
    rule::RuleSet,
    time::Time,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::{
    fit::Point,
    meter::{cpu_us, heap, peak_heap},
    report::{Cost, Figure, Report},
    sample,
    scale::{self, Size},
};

/// Sizes at which costs are measured, as shares of one deployment.
const SHARES: [f64; 4] = [0.25, 0.5, 1.0, 1.5];
/// Copies held at the same time when resident memory is measured.
const RESIDENT_COPIES: usize = 32;
const PAGE_BYTES: f64 = 4_096.0;
const NOW: Time = Time::from_millis(1);
const LATER: Time = Time::from_millis(10_000);

/// Measures all of them.
pub(crate) fn measure(report: &mut Report) {
    // First, while little freed memory is there to be used again.
    resident(report);
    parts(report);
    values(report);
    changes(report);
}

/// A configuration in force with what a request needs of it.
struct InForce {
    sync: ConfigSync,
    _rules: RuleSet,
    _index: IndexedConfig,
}

impl InForce {
    /// Takes the first value of a new VM from the platform.
    fn first(json: &[u8]) -> InForce {
        let deployment = sample::deployment_name();
        let settings = sample::accepting_at_once();
        let mut sync = ConfigSync::new(sample::vm(0), deployment, settings, 1);
        let actions = sync.on_platform_value(NOW, Some(json));
        InForce::indexed(sync, actions)
    }

    fn indexed(sync: ConfigSync, actions: Vec<ConfigAction>) -> InForce {
        let config = actions.into_iter().find_map(|action| match action {
            ConfigAction::Activate(config) => Some(config),
            _ => None,
        });
        let config = config.expect("the sample is valid and newer");
        let rules = RuleSet::of_config(Arc::clone(&config));
        InForce { sync, _rules: rules, _index: IndexedConfig::new(config) }
    }

    /// Takes a further value from the platform.
    fn next(&self, json: &[u8]) -> InForce {
        let mut sync = self.sync.clone();
        let actions = sync.on_platform_value(LATER, Some(json));
        InForce::indexed(sync, actions)
    }

    /// Takes a further value as a peer's answer.
    fn next_from_peer(&self, answer: &[u8]) -> InForce {
        let mut sync = self.sync.clone();
        let actions = sync.on_pull_response(LATER, &sample::vm(1).name, Some(answer));
        InForce::indexed(sync, actions)
    }
}

/// Size of one deployment with one part scaled, the others small.
fn scaled(part: &str, share: f64) -> (f64, Size) {
    let full = scale::deployment();
    let small = Size { endpoints: 40, routes: 20, customers: 20, ..full };
    let scale = |count: usize| (count as f64 * share) as usize;
    match part {
        "endpoint" => {
            let endpoints = scale(full.endpoints);
            (endpoints as f64, Size { endpoints, ..small })
        }
        "route" => {
            let routes = scale(full.routes);
            (routes as f64, Size { routes, ..small })
        }
        _ => {
            let customers = scale(full.customers);
            (customers as f64, Size { customers, ..small })
        }
    }
}

/// Value bytes, heap and processor time for each endpoint, route and customer.
fn parts(report: &mut Report) {
    let targets =
        [("endpoint", scale::ENDPOINTS), ("route", scale::ROUTES), ("customer", scale::CUSTOMERS)];
    for (part, whole) in targets {
        let mut bytes = Vec::new();
        let mut held = Vec::new();
        let mut time = Vec::new();
        for share in SHARES {
            let (size, shape) = scaled(part, share);
            let json = sample::json(&sample::config(shape));
            bytes.push(Point { size, value: json.len() as f64 });
            let (_, heap_bytes) = heap(|| InForce::first(&json));
            held.push(Point { size, value: heap_bytes });
            time.push(Point { size, value: cpu_us(|| InForce::first(&json)) });
        }
        let sizes = (scale::share(whole), whole);
        let costs = [("value", "B", bytes), ("heap", "B", held), ("accept", "us", time)];
        for (name, unit, points) in costs {
            let name = format!("config.{name}.{part}");
            report.costs.push(Cost::new(&name, part, unit, sizes, points));
        }
    }
}

/// Bytes of whole values and lists, against what the platform holds.
fn values(report: &mut Report) {
    let deployment = sample::config(scale::deployment());
    let two_contracts = with_second_contract(deployment.clone());
    let whole = sample::config(scale::whole());
    let limit = MAX_VALUE_BYTES as f64;
    let values = [
        ("value.deployment", sample::json(&deployment)),
        ("value.deployment.two_contracts", sample::json(&two_contracts)),
        ("value.deployment.indented", sample::indented_json(&deployment)),
        ("value.deployment.every_field", sample::full_json(&deployment)),
        ("value.whole", sample::json(&whole)),
    ];
    for (name, json) in values {
        report.figures.push(Figure::new(name, "B", json.len() as f64).within(limit));
    }
    let gzipped = gzip(&sample::json(&deployment));
    report.figures.push(Figure::new("value.deployment.gzip", "B", gzipped));
    let irregular = gzip(&with_random_digits(sample::json(&deployment)));
    report.figures.push(Figure::new("value.deployment.gzip.irregular_names", "B", irregular));
    let lists = [("vm_list.deployment", scale::VMS_PER_DEPLOYMENT), ("vm_list.whole", scale::VMS)];
    for (name, vms) in lists {
        let list = sample::vm_list(vms as usize);
        let json = serde_json::to_vec(&list).expect("a list has only string keys");
        report.figures.push(Figure::new(name, "B", json.len() as f64));
    }
}

fn with_second_contract(mut config: Config) -> Config {
    let last = scale::deployment().services - 1;
    for customer in &mut config.customers {
        let mut second = customer.contracts[0].clone();
        let taken = second.service == sample::service_name(last);
        second.service = sample::service_name(if taken { 0 } else { last });
        customer.contracts.push(second);
    }
    config
}

/// Names and addresses that count up compress better than real ones.
fn with_random_digits(mut json: Vec<u8>) -> Vec<u8> {
    let mut rng = Pcg64Mcg::seed_from_u64(41);
    for byte in json.iter_mut().filter(|byte| byte.is_ascii_digit()) {
        *byte = b'0' + rng.random_range(0..10);
    }
    json
}

/// Returns the length of `bytes` compressed.
pub(crate) fn gzip(bytes: &[u8]) -> f64 {
    let mut encoder = GzEncoder::new(Vec::new(), Compression::default());
    encoder.write_all(bytes).expect("a vector takes all bytes");
    encoder.finish().expect("a vector takes all bytes").len() as f64
}

/// What a change of a deployment's full value costs a VM.
fn changes(report: &mut Report) {
    let mut config = sample::config(scale::deployment());
    let first = sample::json(&config);
    config.version += 1;
    config.customers[7].contracts[0].slots += 1;
    let second = sample::json(&config);

    let (held, held_bytes) = heap(|| InForce::first(&first));
    let answer = delta(&held, &second);
    let peak = peak_heap(|| {
        let value = second.clone();
        held.next(&value)
    });
    let peer_peak = peak_heap(|| held.next_from_peer(&answer));
    let figures = [
        Figure::new("value.deployment.heap", "B", held_bytes),
        Figure::new("value.deployment.accept", "us", cpu_us(|| held.next(&second))),
        Figure::new("value.deployment.accept.more_heap", "B", peak),
        Figure::new("delta.deployment", "B", answer.len() as f64),
        Figure::new("delta.deployment.accept", "us", cpu_us(|| held.next_from_peer(&answer))),
        Figure::new("delta.deployment.accept.more_heap", "B", peer_peak),
    ];
    report.figures.extend(figures);
}

/// Resident memory of one configuration in force, which includes what the
/// allocator adds.
fn resident(report: &mut Report) {
    let json = sample::json(&sample::config(scale::deployment()));
    let before = resident_bytes();
    let held: Vec<InForce> = (0..RESIDENT_COPIES).map(|_| InForce::first(&json)).collect();
    let bytes = (resident_bytes() - before) / held.len() as f64;
    report.figures.push(Figure::new("value.deployment.resident", "B", bytes));
}

fn resident_bytes() -> f64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1).and_then(|pages| pages.parse::<f64>().ok());
    pages.unwrap_or(0.0) * PAGE_BYTES
}

/// Returns the answer of a peer that has taken `json` to a VM that has not.
fn delta(held: &InForce, json: &[u8]) -> Vec<u8> {
    let mut peer = held.next(json);
    let version = peer.sync.version().expect("it has one in force");
    let mut asker = held.sync.clone();
    let actions = asker.on_peer_version(LATER, &sample::vm(1), version);
    let question = actions.into_iter().find_map(|action| match action {
        ConfigAction::Pull { request, .. } => Some(request),
        _ => None,
    });
    let question = question.expect("a VM pulls what is newer");
    peer.sync.handle_pull(LATER, &question).expect("VMs decode what they encode")
}
