//! Costs of the decisions that need no other VM: configuration, rules,
//! ownership and steering.

use std::io::Write;

use flate2::{Compression, write::GzEncoder};
use pistachiotrack_core::{
    config::{Config, MAX_VALUE_BYTES},
    membership::{Member, MemberState},
    ownership::{Ownership, OwnershipSettings},
    request::Class,
    rule::{Facts, RuleSet, Subject},
    steering,
    time::Time,
};

use super::{
    fit::Point,
    meter::{cpu_us, heap},
    report::{Cost, Figure, Report},
    sample,
    scale::{self, Size},
};

/// Sizes at which costs are measured, as shares of one deployment.
const SHARES: [f64; 4] = [0.25, 0.5, 1.0, 1.5];
/// Fleet sizes of the ownership and steering measurements.
const FLEETS: [usize; 6] = [12, 48, 192, 768, 2_400, 5_800];
/// Rules of the largest list that is measured.
const RULES: [usize; 5] = [217, 1_736, 6_944, 52_500, 210_000];

/// Measures all of them.
pub(crate) fn measure(report: &mut Report) {
    parts(report);
    values(report);
    rules(report);
    ownership(report);
    steering_answers(report);
}

/// Size of one deployment with one part scaled, the others small.
fn scaled(part: &str, share: f64) -> (f64, Size) {
    let full = scale::deployment();
    let small =
        Size { vms: full.vms, services: full.services, endpoints: 40, routes: 20, customers: 20 };
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
            let (_, heap_bytes) = heap(|| prepare(&json));
            held.push(Point { size, value: heap_bytes });
            time.push(Point { size, value: cpu_us(|| prepare(&json)) });
        }
        let sizes = (scale::share(whole), whole);
        let costs = [("value", "B", bytes), ("heap", "B", held), ("accept", "us", time)];
        for (name, unit, points) in costs {
            report.costs.push(Cost::new(
                &format!("config.{name}.{part}"),
                part,
                unit,
                sizes,
                points,
            ));
        }
    }
}

/// What a VM does with a new value: parse, check, index the rules.
fn prepare(json: &[u8]) -> (Config, RuleSet) {
    let config = Config::parse("platform", json).expect("the sample is valid");
    let rules = RuleSet::new(&config.rules);
    (config, rules)
}

/// Whole values of one deployment and of everything.
fn values(report: &mut Report) {
    let deployment = sample::config(scale::deployment());
    let json = sample::json(&deployment);
    let (_, held) = heap(|| prepare(&json));
    let two_contracts = sample::json(&with_second_contract(deployment.clone()));
    let indented = sample::indented_json(&deployment);
    let full = sample::full_json(&deployment);
    let list = serde_json::to_vec(&sample::vm_list(scale::VMS_PER_DEPLOYMENT as usize))
        .expect("a list has only string keys");
    let whole_list = serde_json::to_vec(&sample::vm_list(scale::VMS as usize)).expect("as above");
    let limit = MAX_VALUE_BYTES as f64;
    let figures = [
        Figure::new("value.deployment", "B", json.len() as f64).within(limit),
        Figure::new("value.deployment.two_contracts", "B", two_contracts.len() as f64)
            .within(limit),
        Figure::new("value.deployment.indented", "B", indented.len() as f64).within(limit),
        Figure::new("value.deployment.every_field", "B", full.len() as f64).within(limit),
        Figure::new("value.deployment.gzip", "B", gzip(&json)),
        Figure::new("value.whole", "B", sample::json(&sample::config(scale::whole())).len() as f64)
            .within(limit),
        Figure::new("value.deployment.heap", "B", held),
        Figure::new("value.deployment.accept", "us", cpu_us(|| prepare(&json))),
        Figure::new("vm_list.deployment", "B", list.len() as f64),
        Figure::new("vm_list.whole", "B", whole_list.len() as f64),
    ];
    report.figures.extend(figures);
}

fn with_second_contract(mut config: Config) -> Config {
    for customer in &mut config.customers {
        let mut second = customer.contracts[0].clone();
        second.service = sample::service_name(scale::deployment().services - 1);
        customer.contracts.push(second);
    }
    config
}

fn gzip(bytes: &[u8]) -> f64 {
    let mut encoder = GzEncoder::new(Vec::new(), Compression::default());
    encoder.write_all(bytes).expect("a vector takes all bytes");
    encoder.finish().expect("a vector takes all bytes").len() as f64
}

struct QuietFacts;

impl Facts for QuietFacts {
    fn service_at_floor(&self, _service: &str) -> bool {
        false
    }

    fn queue_wait_ms(&self, _service: &str) -> u64 {
        0
    }
}

/// Time to decide a request whose rule is the last of its list.
fn rules(report: &mut Report) {
    let mut time = Vec::new();
    let mut held = Vec::new();
    for routes in RULES {
        let customers = routes * 2;
        let shape = Size { routes, customers, endpoints: 40, ..scale::deployment() };
        let config = sample::config(shape);
        let (rules, heap_bytes) = heap(|| RuleSet::new(&config.rules));
        let customer = sample::customer_name(routes - 1);
        let subject = Subject {
            customer: &customer,
            method: "GET",
            path: "/calendar/v1/slots",
            headers: &[],
            class: Class::Interactive,
            service: None,
            data_centre: "oslo-1",
        };
        assert!(rules.decide(&subject, &QuietFacts).is_some(), "the last rule matches");
        let size = routes as f64;
        time.push(Point { size, value: cpu_us(|| rules.decide(&subject, &QuietFacts).is_some()) });
        held.push(Point { size, value: heap_bytes });
    }
    let sizes = (scale::share(scale::ROUTES), scale::ROUTES);
    report.costs.push(Cost::new("rule.decide", "rules", "us", sizes, time));
    report.costs.push(Cost::new("rule.heap", "rules", "B", sizes, held));
}

/// Returns members that are all alive.
fn members(count: usize) -> Vec<Member> {
    (1..count)
        .map(|index| Member {
            vm: sample::vm(index),
            state: MemberState::Alive,
            since: Time::ZERO,
            config_version: Some(1),
        })
        .collect()
}

fn update(config: &Config, members: &[Member]) -> Ownership {
    let mut ownership = Ownership::new(sample::vm(0), OwnershipSettings::default());
    ownership.update(Time::from_millis(60_000), config, members.iter());
    ownership
}

/// Working out all owners, against services x VMs.
fn ownership(report: &mut Report) {
    let mut time = Vec::new();
    let mut held = Vec::new();
    let deployment = sample::config(scale::deployment());
    for vms in FLEETS {
        let members = members(vms);
        let size = (vms * scale::deployment().services) as f64;
        time.push(Point { size, value: cpu_us(|| update(&deployment, &members)) });
        let (_, heap_bytes) = heap(|| update(&deployment, &members));
        held.push(Point { size, value: heap_bytes });
    }
    let sizes = (share_of_pairs(), scale::SERVICES * scale::VMS);
    report.costs.push(Cost::new("ownership.update", "services x VMs", "us", sizes, time));
    report.costs.push(Cost::new("ownership.heap", "services x VMs", "B", sizes, held));
    report.figures.extend(whole_ownership());
    report.figures.extend(skew(&deployment));
}

fn share_of_pairs() -> f64 {
    scale::share(scale::SERVICES) * scale::VMS_PER_DEPLOYMENT
}

/// Ownership of all services by all VMs in one membership, measured as it is.
fn whole_ownership() -> Vec<Figure> {
    let shape = Size { routes: 0, customers: 0, ..scale::whole() };
    let config = sample::config(shape);
    let members = members(scale::VMS as usize);
    let (ownership, held) = heap(|| update(&config, &members));
    drop(ownership);
    vec![
        Figure::new("ownership.whole.update", "us", cpu_us(|| update(&config, &members))),
        Figure::new("ownership.whole.heap", "B", held).within(scale::MEMORY_BUDGET_BYTES),
    ]
}

/// How unevenly the shards of one deployment fall on its VMs.
fn skew(config: &Config) -> Vec<Figure> {
    let vms = scale::VMS_PER_DEPLOYMENT as usize;
    let ownership = update(config, &members(vms));
    let mut shards = vec![0_u32; vms];
    for service in &config.services {
        for index in 0..pistachiotrack_core::ownership::shard_count(service) {
            let shard =
                pistachiotrack_core::ownership::ShardId { service: service.name.clone(), index };
            let owner = ownership.owner(&shard).expect("every shard has an owner");
            let place = (0..vms).find(|vm| sample::vm(*vm).name == owner.name);
            shards[place.expect("owners are members")] += 1;
        }
    }
    let total: u32 = shards.iter().sum();
    let busiest = shards.iter().copied().max().unwrap_or(0);
    let idle = shards.iter().filter(|count| **count == 0).count();
    vec![
        Figure::new("ownership.shards", "shards", f64::from(total)),
        Figure::new("ownership.busiest_vm", "shards", f64::from(busiest)),
        Figure::new("ownership.vms_without_shard", "VMs", idle as f64),
    ]
}

/// Answers to callers who ask which addresses to use.
fn steering_answers(report: &mut Report) {
    let config = sample::config(scale::deployment());
    let me = sample::vm(0);
    let service = sample::service_name(scale::deployment().services - 1);
    let mut points = Vec::new();
    for vms in FLEETS {
        let members = members(vms);
        let ownership = update(&config, &members);
        let answer = || steering::entries(&config, &ownership, &me, members.iter(), &service);
        points.push(Point { size: vms as f64, value: cpu_us(answer) });
    }
    let sizes = (scale::VMS_PER_DEPLOYMENT, scale::VMS);
    report.costs.push(Cost::new("steering.answer", "VMs", "us", sizes, points));
    let members = members(scale::VMS_PER_DEPLOYMENT as usize);
    let ownership = update(&config, &members);
    let answer = steering::entries(&config, &ownership, &me, members.iter(), &service);
    let bytes = serde_json::to_vec(&answer).expect("an answer has only string keys").len();
    report.figures.push(Figure::new("steering.answer.bytes", "B", bytes as f64));
}
