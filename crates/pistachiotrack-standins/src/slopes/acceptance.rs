//! Costs of accepting a configuration: parsing, validating and indexing the
//! platform's value, and applying a peer's delta.

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
    meter::{cpu_us, measure_heap, measure_peak_heap},
    report::{Cost, Figure, Report},
    sample,
    scale::{self, Size},
};

/// Sizes at which costs are measured, as fractions of one deployment.
const SIZE_FRACTIONS: [f64; 4] = [0.25, 0.5, 1.0, 1.5];
/// Number of copies held at the same time when resident memory is measured.
const RESIDENT_COPIES: usize = 32;
const PAGE_BYTES: f64 = 4_096.0;
const NOW: Time = Time::from_millis(1);
const LATER: Time = Time::from_millis(10_000);

/// Adds all measurements of this module to the report.
pub(crate) fn measure(report: &mut Report) {
    // Runs first: later, the allocator would reuse freed memory and the resident size would grow
    // less.
    measure_resident_memory(report);
    measure_parts(report);
    measure_value_sizes(report);
    measure_changes(report);
}

/// An active configuration with the indexes that requests use.
struct ActiveConfig {
    sync: ConfigSync,
    _rules: RuleSet,
    _index: IndexedConfig,
}

impl ActiveConfig {
    /// Activates the first value that a new VM reads from the platform.
    fn from_platform(json: &[u8]) -> ActiveConfig {
        let deployment = sample::deployment_name();
        let settings = sample::settings_without_first_value_grace();
        let mut sync = ConfigSync::new(sample::vm(0), deployment, settings, 1);
        let actions = sync.on_platform_value(NOW, Some(json));
        ActiveConfig::from_actions(sync, actions)
    }

    fn from_actions(sync: ConfigSync, actions: Vec<ConfigAction>) -> ActiveConfig {
        let config = actions.into_iter().find_map(|action| match action {
            ConfigAction::Activate(config) => Some(config),
            _ => None,
        });
        let config = config.expect("the sample is valid and newer");
        let rules = RuleSet::of_config(Arc::clone(&config));
        ActiveConfig { sync, _rules: rules, _index: IndexedConfig::new(config) }
    }

    /// Returns the configuration after a newer value from the platform.
    fn updated_from_platform(&self, json: &[u8]) -> ActiveConfig {
        let mut sync = self.sync.clone();
        let actions = sync.on_platform_value(LATER, Some(json));
        ActiveConfig::from_actions(sync, actions)
    }

    /// Returns the configuration after a peer's response to a pull.
    fn updated_from_peer(&self, response: &[u8]) -> ActiveConfig {
        let mut sync = self.sync.clone();
        let actions = sync.on_pull_response(LATER, &sample::vm(1).name, Some(response));
        ActiveConfig::from_actions(sync, actions)
    }
}

/// Returns the size of one deployment with one part scaled by `fraction` and the others small.
fn scaled(part: &str, fraction: f64) -> (f64, Size) {
    let full = scale::deployment();
    let small = Size { endpoints: 40, routes: 20, customers: 20, ..full };
    let scale = |count: usize| (count as f64 * fraction) as usize;
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

/// Measures value bytes, heap and processor time per endpoint, route and customer.
fn measure_parts(report: &mut Report) {
    let targets =
        [("endpoint", scale::ENDPOINTS), ("route", scale::ROUTES), ("customer", scale::CUSTOMERS)];
    for (part, whole) in targets {
        let mut value_points = Vec::new();
        let mut heap_points = Vec::new();
        let mut time_points = Vec::new();
        for fraction in SIZE_FRACTIONS {
            let (size, shape) = scaled(part, fraction);
            let json = sample::json(&sample::config(shape));
            value_points.push(Point { size, value: json.len() as f64 });
            let (_, heap_bytes) = measure_heap(|| ActiveConfig::from_platform(&json));
            heap_points.push(Point { size, value: heap_bytes });
            time_points.push(Point { size, value: cpu_us(|| ActiveConfig::from_platform(&json)) });
        }
        let sizes = (scale::per_deployment(whole), whole);
        let costs = [
            ("value", "B", value_points),
            ("heap", "B", heap_points),
            ("accept", "us", time_points),
        ];
        for (name, unit, points) in costs {
            let name = format!("config.{name}.{part}");
            report.costs.push(Cost::new(&name, part, unit, sizes, points));
        }
    }
}

/// Measures the bytes of complete values and VM lists; values are compared with the platform's
/// size limit.
fn measure_value_sizes(report: &mut Report) {
    let deployment = sample::config(scale::deployment());
    let two_contracts = with_second_contract(deployment.clone());
    let whole = sample::config(scale::single_deployment());
    let limit = MAX_VALUE_BYTES as f64;
    let values = [
        ("value.deployment", sample::json(&deployment)),
        ("value.deployment.two_contracts", sample::json(&two_contracts)),
        ("value.deployment.indented", sample::indented_json(&deployment)),
        ("value.deployment.every_field", sample::full_json(&deployment)),
        ("value.whole", sample::json(&whole)),
    ];
    for (name, json) in values {
        report.figures.push(Figure::new(name, "B", json.len() as f64).with_budget(limit));
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
        let is_taken = second.service == sample::service_name(last);
        second.service = sample::service_name(if is_taken { 0 } else { last });
        customer.contracts.push(second);
    }
    config
}

/// Replaces each digit by a random one, since sequential names and addresses compress better than
/// real ones.
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

/// Measures what a change of a deployment's full-size value costs a VM.
fn measure_changes(report: &mut Report) {
    let mut config = sample::config(scale::deployment());
    let first = sample::json(&config);
    config.version += 1;
    config.customers[7].contracts[0].slots += 1;
    let second = sample::json(&config);

    let (active, heap_bytes) = measure_heap(|| ActiveConfig::from_platform(&first));
    let response = delta_response(&active, &second);
    let peak = measure_peak_heap(|| {
        let value = second.clone();
        active.updated_from_platform(&value)
    });
    let peer_peak = measure_peak_heap(|| active.updated_from_peer(&response));
    let figures = [
        Figure::new("value.deployment.heap", "B", heap_bytes),
        Figure::new(
            "value.deployment.accept",
            "us",
            cpu_us(|| active.updated_from_platform(&second)),
        ),
        Figure::new("value.deployment.accept.more_heap", "B", peak),
        Figure::new("delta.deployment", "B", response.len() as f64),
        Figure::new(
            "delta.deployment.accept",
            "us",
            cpu_us(|| active.updated_from_peer(&response)),
        ),
        Figure::new("delta.deployment.accept.more_heap", "B", peer_peak),
    ];
    report.figures.extend(figures);
}

/// Measures the resident memory of one active configuration, which includes the allocator's
/// overhead.
fn measure_resident_memory(report: &mut Report) {
    let json = sample::json(&sample::config(scale::deployment()));
    let before = resident_bytes();
    let copies: Vec<ActiveConfig> =
        (0..RESIDENT_COPIES).map(|_| ActiveConfig::from_platform(&json)).collect();
    let bytes = (resident_bytes() - before) / copies.len() as f64;
    report.figures.push(Figure::new("value.deployment.resident", "B", bytes));
}

fn resident_bytes() -> f64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1).and_then(|pages| pages.parse::<f64>().ok());
    pages.unwrap_or(0.0) * PAGE_BYTES
}

/// Returns the pull response from a peer that has accepted `json` to a VM that has not.
fn delta_response(active: &ActiveConfig, json: &[u8]) -> Vec<u8> {
    let mut peer = active.updated_from_platform(json);
    let version = peer.sync.version().expect("it has an active configuration");
    let mut requester = active.sync.clone();
    let actions = requester.on_peer_version(LATER, &sample::vm(1), version);
    let request = actions.into_iter().find_map(|action| match action {
        ConfigAction::Pull { request, .. } => Some(request),
        _ => None,
    });
    let request = request.expect("a VM pulls newer versions");
    peer.sync.handle_pull(LATER, &request).expect("VMs decode what they encode")
}
