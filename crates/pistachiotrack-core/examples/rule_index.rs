//! Measures the time of decisions by [`RuleSet`] and by an ordered scan, by number of rules.
//!
//! Run with `cargo run --release -p pistachiotrack-core --example rule_index`.

use std::{hint::black_box, time::Instant};

use pistachiotrack_core::{
    name::Name,
    request::Class,
    rule::{
        Conditions, HeaderCondition, QueueWaitCondition, Refuse, RequestAttributes, Rule,
        RuleAction, RuleSet, ServiceState,
    },
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

const RULE_COUNTS: [u32; 3] = [1_000, 20_000, 210_000];
const CUSTOMERS: u32 = 460_000;
const SERVICES: u32 = 4_700;
const DECISIONS: usize = 200_000;
const SCANS: usize = 100;

struct IdleServices;

impl ServiceState for IdleServices {
    fn service_at_floor(&self, _service: &str) -> bool {
        false
    }

    fn queue_wait_ms(&self, _service: &str) -> u64 {
        0
    }
}

struct Request {
    customer: String,
    path: String,
    service: String,
    data_centre: String,
}

fn main() {
    println!("rules condition_sets build_ms index_p50_ns index_p99_ns index_mean_ns scan_mean_ns");
    for size in RULE_COUNTS {
        measure(size);
    }
}

fn measure(size: u32) {
    let mut rng = Pcg64Mcg::seed_from_u64(11);
    let rules: Vec<Rule> = (0..size).map(|index| rule(index, size, &mut rng)).collect();
    let requests: Vec<Request> = (0..DECISIONS).map(|_| request(&rules, &mut rng)).collect();
    let begin = Instant::now();
    let set = RuleSet::new(&rules);
    let build_ms = begin.elapsed().as_millis();

    let mut times_ns: Vec<u64> = Vec::with_capacity(requests.len());
    for request in &requests {
        let begin = Instant::now();
        black_box(request.with(|attributes| set.decide(attributes, &IdleServices).is_some()));
        times_ns.push(begin.elapsed().as_nanos() as u64);
    }
    let mean_ns = times_ns.iter().sum::<u64>() / times_ns.len() as u64;
    times_ns.sort_unstable();
    let percentile = |percent: usize| times_ns[times_ns.len() * percent / 100];

    let begin = Instant::now();
    for request in &requests[..SCANS] {
        black_box(request.with(|attributes| scan(&rules, attributes)));
    }
    let scan_ns = begin.elapsed().as_nanos() / SCANS as u128;
    let condition_sets = set.condition_set_count();
    println!(
        "{size} {condition_sets} {build_ms} {} {} {mean_ns} {scan_ns}",
        percentile(50),
        percentile(99)
    );
}

/// Most rules route one customer's path. Some match on service, header, class or
/// queue wait, and the last rule matches every request.
fn rule(index: u32, size: u32, rng: &mut Pcg64Mcg) -> Rule {
    let customer = Some(Name::from(format!("customer-{}", rng.random_range(0..CUSTOMERS))));
    let service = Name::from(format!("service-{}", rng.random_range(0..SERVICES)));
    let path = Some(Name::from(format!("/v1/{}/{}", index % 97, index)));
    let none = Conditions::default;
    let when = match index % 20 {
        _ if index + 1 == size => none(),
        0 => Conditions { service: Some(service.clone()), path_prefix: path, ..none() },
        1 => Conditions { customer, class: Some(Class::Batch), ..none() },
        2 => {
            let name = Name::from("x-mode");
            let header = HeaderCondition { name, value: Name::from(format!("mode-{index}")) };
            Conditions { customer, header: Some(header), ..none() }
        }
        3 => {
            let wait = QueueWaitCondition { service: service.clone(), wait_ms: 500 };
            Conditions { customer, queue_wait_at_least: Some(wait), ..none() }
        }
        4 => Conditions {
            service: Some(service.clone()),
            data_centre: Some(Name::from(format!("dc-{}", index % 17))),
            ..none()
        },
        5 => Conditions { customer, method: Some(Name::from("POST")), path_prefix: path, ..none() },
        _ => Conditions { customer, path_prefix: path, ..none() },
    };
    let then = RuleAction::Refuse(Refuse { status: 503, retry_after_ms: None });
    Rule { name: Name::from(format!("rule-{index}")), when, then }
}

/// A request that matches a randomly chosen rule, or only the last one.
fn request(rules: &[Rule], rng: &mut Pcg64Mcg) -> Request {
    let when = &rules[rng.random_range(0..rules.len())].when;
    let or_default = |value: &Option<Name>, any: &str| value.as_deref().unwrap_or(any).to_owned();
    Request {
        customer: or_default(&when.customer, "customer-1"),
        path: or_default(&when.path_prefix, "/v1/slots") + "/2026-12-02/morning",
        service: or_default(&when.service, "service-1"),
        data_centre: or_default(&when.data_centre, "dc-1"),
    }
}

impl Request {
    fn with<T>(&self, test: impl FnOnce(&RequestAttributes<'_>) -> T) -> T {
        test(&RequestAttributes {
            customer: &self.customer,
            host: "host",
            method: "GET",
            path: &self.path,
            headers: &[
                ("host", "entry"),
                ("accept", "application/json"),
                ("user-agent", "measurement"),
                ("x-mode", "plain"),
            ],
            class: Class::Interactive,
            service: Some(&self.service),
            data_centre: &self.data_centre,
        })
    }
}

/// Scans the rules in order.
fn scan(rules: &[Rule], attributes: &RequestAttributes<'_>) -> bool {
    rules.iter().any(|rule| {
        let when = &rule.when;
        let header_holds = |header: &HeaderCondition| {
            attributes.headers.contains(&(header.name.as_str(), header.value.as_str()))
        };
        when.customer.as_deref().is_none_or(|it| it == attributes.customer)
            && when.method.as_deref().is_none_or(|it| it == attributes.method)
            && when
                .path_prefix
                .as_deref()
                .is_none_or(|it| pistachiotrack_core::rule::path_starts_with(attributes.path, it))
            && when.header.as_ref().is_none_or(header_holds)
            && when.class.is_none_or(|it| it == attributes.class)
            && when.service.as_deref().is_none_or(|it| Some(it) == attributes.service)
            && when.data_centre.as_deref().is_none_or(|it| it == attributes.data_centre)
            && when.queue_wait_at_least.is_none()
    })
}
